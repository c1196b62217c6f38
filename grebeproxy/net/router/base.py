"""What all parts of the reducer share: its state, its timers and its effects."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from heapq import heappush
from itertools import count
from typing import Any

from grebeproxy.net import admission, follower
from grebeproxy.net.events import Address, Effect, StartListening, StopListening, Wake
from grebeproxy.net.manual_overrides import ManualOverrides
from grebeproxy.net.messages import ToEngine
from grebeproxy.net.router.records import Link, Place, Request
from grebeproxy.policy import interface as api
from grebeproxy.settings import WireLimits


def on_sockets(settings: api.Settings) -> api.Settings:
    """Probes, messages between routers and asking for the list have no form on sockets."""
    return replace(settings, may_health_check=False, may_gossip=False, polls_engine_list=False)


def deadlines(settings: api.Settings) -> dict[str, float]:
    """Seconds for which each class's clients wait at most."""
    return {cls.name: cls.deadline for cls in settings.classes}


class Core:
    """What all parts of the reducer share: its state, its timers and its effects."""

    def __init__(
        self,
        settings: api.Settings,
        limits: WireLimits,
        *,
        changelog: Address,
        bounds: admission.Bounds,
        now: float,
        shared: bool,
    ) -> None:
        self.settings, self.limits, self.now = on_sockets(settings), limits, now
        self._bounds = bounds
        self._deadlines = deadlines(settings)
        self._requests: dict[str, Request] = {}
        self._bodies = self._paged = 0  # bytes of open statements, and of results that are not whole
        self._clients: dict[int, admission.Client[Request]] = {}
        self._sweeping = False
        self._links: dict[int, Link] = {}
        self._engine_links: dict[str, list[Link]] = {}
        self._places: dict[str, Place] = {}
        self._engine_at: dict[Address, str] = {}  # the engine that was last listed at an address
        self._pending: list[api.Event] = []
        self._next_round = now
        self._timers: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = count(1)
        self._commands: dict[int, list[ToEngine]] = {}
        self._to_flush: dict[int, Link] = {}  # connections that may have something to write
        self._sockets_read = False  # all that had come on sockets is read in this step
        # Clients that were between requests before the sockets were read last.
        self._idle_clients: set[int] = set()
        self._effects: list[Effect] = []
        self._wake_at: float | None = None
        self._log = follower.Follower(changelog, now)
        self._shared = shared  # clients come on a socket that another process hears as well
        self._listening = self._stopping = self._exit_when_answered = self._done = False
        self._accept_until = float("inf")  # then what comes is refused: clients are to go elsewhere
        self._standby_since: float | None = None  # when operators asked for clients to go elsewhere
        self._overrides, self._disabled_engines = ManualOverrides(), frozenset[str]()
        self._admins: dict[int, float] = {}  # operators' connections, the oldest first

    def _at(self, at: float, call: Callable[..., None], *args: Any) -> None:
        heappush(self._timers, (at, next(self._numbers), call, args))

    def _request_wake(self) -> None:
        at = self._timers[0][0] if self._timers else None
        if self._idle_clients or (self._exit_when_answered and not self._done and self._all_answered()):
            at = self.now  # they end behind one more look at the sockets
        if self._pending:
            at = self._next_round if at is None else min(at, self._next_round)
        if at is not None and (self._wake_at is None or at < self._wake_at or self._wake_at <= self.now):
            self._wake_at = at
            self._effects.append(Wake(at))

    def _all_answered(self) -> bool:
        return not any(request.owed for request in self._requests.values())

    def _draining(self) -> bool:
        """Clients are moved off: they find no readiness, and connections end between requests."""
        return self._stopping or self._standby_since is not None

    def _start_listening(self) -> None:
        """Take clients once the change log has been heard, or has had its time.

        Guards the order of keys: what comes while a start still needs the CPU would be read all at once, on
        several connections in any order. And a start that all make together begins with the newest list.
        """
        if not self._listening and not self._stopping:
            self._listening = True
            self._effects.append(StartListening())

    def _stop_listening(self) -> None:
        self._effects.append(StopListening())
