"""Whether the router accepts connections and requests."""

from __future__ import annotations

from grebeproxy.net.events import StartListening, StopListening
from grebeproxy.net.router.core import Core
from grebeproxy.net.router.options import RouterOptions


class Serving(Core):
    """Holds whether the router accepts connections and requests. Other layers change it."""

    def __init__(self, options: RouterOptions, now: float) -> None:
        super().__init__(options, now)
        self._listening = False
        self._stopping = False
        self._standby_since: float | None = None  # time at which an operator put this process on standby
        self._accept_until = float("inf")  # Requests that arrive later are rejected.

    def _draining(self) -> bool:
        """Whether clients are moved elsewhere: pings get "not serving", and idle connections are closed."""
        return self._stopping or self._standby_since is not None

    def _start_listening(self) -> None:
        """Accept clients, once the first event of the change log was received or has timed out.

        Accepting clients earlier could break the order of requests with the same key: connections that queue
        up while the process starts are all read at once, in any order. Requests would also be sent by an
        outdated engine list, on all routers of a fleet that start together.
        """
        if not self._listening and not self._stopping:
            self._listening = True
            self._effects.append(StartListening())

    def _stop_listening(self) -> None:
        self._effects.append(StopListening())
