"""The router's state machine: ``step`` takes events and returns the effects to carry out."""

from __future__ import annotations

from collections.abc import Iterable

from grebeproxy.net import follower
from grebeproxy.net.events import (
    AdminCallReceived,
    AdminClosed,
    AdminOpened,
    ChangeLogClosed,
    ChangeLogOpened,
    ChangeLogReceived,
    ClientClosed,
    ClientInputQueued,
    ClientMessageReceived,
    ClientMessageStarted,
    ClientOpened,
    ClientUnreadable,
    Effect,
    Event,
    LinkAnswerReceived,
    LinkAnswerStarted,
    LinkClosed,
    LinkOpened,
    LinkPaused,
    LinkResumed,
    OverridesRead,
    Reloaded,
    StopRequested,
    Wake,
    Woken,
    Write,
)
from grebeproxy.net.router.decisions import DecisionModuleFactory, Decisions
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.policy import Choice


class Router(Decisions):
    """One query router.

    ``now`` is the time in seconds, on the clock that ``start`` and ``step`` are called with.
    ``make_decision_module`` creates the decision module; tests pass another one.
    """

    def __init__(
        self, options: RouterOptions, now: float, make_decision_module: DecisionModuleFactory = Choice
    ) -> None:
        super().__init__(options, now, make_decision_module)
        self._wake_at: float | None = None  # time of the latest ``Wake``, until its ``Woken`` arrives
        for update in options.known:
            self._change_log.seq = update.seq
            self._apply(update)

    def start(self, now: float) -> list[Effect]:
        """Return the first effects. This is called once, before any ``step``."""
        self.now = now
        self._effects = []
        self._dial_change_log(self._change_log.dials)
        self._timers.add(now + follower.FIRST_EVENT_TIMEOUT, self._start_listening)
        return self._finish_step()

    def step(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Process events in order, and return the effects to carry out, in order."""
        self.now = now
        self._effects = []
        self._sockets_read = False
        for event in events:
            self._on_event(event)
        self._timers.run_due(now)
        return self._finish_step()

    def _finish_step(self) -> list[Effect]:
        self._decide_if_due()
        for link in self._links_to_flush.values():
            self._flush(link)
        self._links_to_flush.clear()
        self._half_close_idle_clients()
        self._exit_if_answered()
        for link_id, commands in self._commands.items():
            self._effects.append(Write(link_id, tuple(commands)))
        self._commands.clear()
        self._request_wake()
        return self._effects

    def _request_wake(self) -> None:
        """Ask to be woken when something is due, unless an earlier ``Wake`` covers it."""
        due = self._timers.next_due()
        if self._idle_clients or self._may_exit():
            due = self.now  # Idle clients and the exit wait until the sockets were read once more.
        if self._module_events:
            due = self._next_decision_at if due is None else min(due, self._next_decision_at)
        if due is not None and (self._wake_at is None or due < self._wake_at or self._wake_at <= self.now):
            self._wake_at = due
            self._effects.append(Wake(due))

    def _on_event(self, event: Event) -> None:
        match event:
            case ClientOpened() | ClientMessageReceived() | ClientMessageStarted():
                self._on_client_event(event)
            case ClientInputQueued() | ClientUnreadable() | ClientClosed():
                self._on_client_event(event)
            case LinkOpened() | LinkClosed() | LinkPaused() | LinkResumed():
                self._on_link_event(event)
            case LinkAnswerReceived() | LinkAnswerStarted():
                self._on_link_event(event)
            case ChangeLogOpened() | ChangeLogReceived() | ChangeLogClosed():
                self._on_change_log_event(event)
            case AdminOpened() | AdminCallReceived() | AdminClosed():
                self._on_admin_event(event)
            case _:
                self._on_process_event(event)

    def _on_process_event(self, event: Event) -> None:
        """Process an event of the process itself: overrides read, configuration reloaded, stop or wake-up."""
        match event:
            case OverridesRead(calls):
                self._merge_overrides(calls)
            case Reloaded():
                self._reload(event)
            case StopRequested(requested_at):
                self._stop(self.now if requested_at is None else requested_at)
            case Woken():
                self._wake_at = None
                self._sockets_read = True
