"""The reducer: ``step`` takes what happened and gives the effects to carry out."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable
from heapq import heappop
from typing import Protocol

from grebeproxy.net import admission, follower
from grebeproxy.net.events import (
    Address,
    AdminCallReceived,
    AdminClosed,
    AdminEvent,
    AdminOpened,
    AnswerAdmin,
    ChangeLogClosed,
    ChangeLogEvent,
    ChangeLogOpened,
    ChangeLogReceived,
    ClientClosed,
    ClientEvent,
    ClientMessageReceived,
    ClientMessageStarted,
    ClientOpened,
    Effect,
    Event,
    Exit,
    HalfCloseClient,
    LinkAnswerReceived,
    LinkAnswerStarted,
    LinkClosed,
    LinkEvent,
    LinkOpened,
    LinkPaused,
    LinkResumed,
    LogLine,
    OverridesRead,
    Reloaded,
    StopRequested,
    Woken,
    Write,
)
from grebeproxy.net.messages import Failed, ChangeLogUpdate, Rejected
from grebeproxy.net.router.base import on_sockets
from grebeproxy.net.router.operating import Operating
from grebeproxy.net.router.records import Link
from grebeproxy.policy import Choice
from grebeproxy.policy import interface as api
from grebeproxy.settings import WireLimits

PARTIAL_ANSWER_TIMEOUT = 0.3  # seconds from an answer's first byte after which it will not be whole any more


class Module(Protocol):
    """A decision module."""

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take the events of one moment, in order, and decide."""


Decide = Callable[[api.Settings, float, int], Module]  # makes a module for settings, at a time, with a seed


class Router(Operating):
    """One query router. ``decide`` makes its decision module; tests may put another in its place."""

    def __init__(
        self,
        settings: api.Settings,
        limits: WireLimits,
        *,
        changelog: Address,
        bounds: admission.Bounds,
        seed: int,
        now: float,
        known: Iterable[ChangeLogUpdate] = (),
        decide: Decide = Choice,
        shared: bool = False,
    ) -> None:
        super().__init__(settings, limits, changelog=changelog, bounds=bounds, now=now, shared=shared)
        self._choice = decide(self.settings, now, seed)
        for update in known:
            self._log.seq = update.seq
            self._apply(update)

    def start(self, now: float) -> list[Effect]:
        """The first effects."""
        self.now, self._effects = now, []
        self._dial_log(self._log.dials)
        self._at(now + follower.FIRST_EVENT_TIMEOUT, self._start_listening)
        return self._finish()

    def step(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Take what happened, in order; gives the effects to carry out."""
        self.now, self._effects, self._sockets_read = now, [], False
        for event in events:
            self._on(event)
        while self._timers and self._timers[0][0] <= now:
            _, _, call, args = heappop(self._timers)
            call(*args)
        return self._finish()

    def _finish(self) -> list[Effect]:
        if self._pending and self.now >= self._next_round:
            self._next_round = self.now + self.settings.tick
            events, self._pending = self._pending, []
            for action in self._decide(events):
                self._on_action(action)
        for waited_for in self._to_flush.values():
            self._flush(waited_for)
        self._to_flush.clear()
        self._half_close_idle_clients()
        if self._sockets_read and self._exit_when_answered and not self._done and self._all_answered():
            self._done, self._accept_until = True, self.now
            self._effects.append(Exit())
        for link, commands in self._commands.items():
            self._effects.append(Write(link, tuple(commands)))
        self._commands.clear()
        self._request_wake()
        return self._effects

    def _half_close_idle_clients(self) -> None:
        """End connections between requests, where clients are moved off.

        Guards what a client has sent and is not read yet: each is looked at once more before its end.
        """
        idle = (
            {client.conn for client in admission.to_half_close(self._clients)} if self._draining() else set()
        )
        if self._sockets_read:
            for conn in sorted(idle & self._idle_clients):
                self._clients[conn].half_closed_at = self.now
                self._effects.append(HalfCloseClient(conn))
            idle -= self._idle_clients
        self._idle_clients = idle

    def _decide(self, events: list[api.Event]) -> list[api.Action]:
        """Ask the module. Guards against a fault in it: the router goes on, and ``_overdue`` answers."""
        try:
            return self._choice.handle(self.now, events)
        except Exception:  # whatever it is, the requests that are open are still owed an answer
            self._effects.append(LogLine(traceback.format_exc()))
            return []

    def _on(self, event: Event) -> None:
        match event:
            case ClientOpened() | ClientMessageReceived() | ClientMessageStarted() | ClientClosed():
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
        """Events of the process itself: overrides read, settings reloaded, a stop asked for, a wake-up."""
        match event:
            case OverridesRead(calls):
                self._merge_overrides(calls)
            case Reloaded(address, settings, limits):
                self._retune(on_sockets(settings), limits)
                self._migrate_change_log(address)
            case StopRequested():
                if not self._stopping:
                    self._stop()
            case Woken():
                self._wake_at, self._sockets_read = None, True

    def _on_client_event(self, event: ClientEvent) -> None:
        match event:
            case ClientOpened(conn):
                self._admit(conn)
            case ClientMessageReceived(conn, message):
                # What came behind a message that made us close names no connection that is left.
                if (client := self._clients.get(conn)) is not None and client.half_closed_at is None:
                    self._on_client(client, message)
            case ClientMessageStarted(conn):
                if (client := self._clients.get(conn)) is not None and client.half_closed_at is None:
                    if client.message_started_at is None:
                        client.message_started_at = self.now
            case ClientClosed(conn):
                self._leave(conn)

    def _on_change_log_event(self, event: ChangeLogEvent) -> None:
        """What an earlier connection still reports of itself is left out."""
        match event:
            case ChangeLogOpened(dial) if dial == self._log.dials:
                follower.opened(self._log, self.now)
            case ChangeLogReceived(update):
                self._read_log(update)
            case ChangeLogClosed(reason, dial) if dial == self._log.dials:
                self._lose_log(reason)

    def _on_admin_event(self, event: AdminEvent) -> None:
        match event:
            case AdminOpened(conn):
                self._on_admin_opened(conn)
            case AdminCallReceived(conn, call):
                if self._admins.pop(conn, None) is not None:
                    reply = self._on_admin_call(call)
                    self._effects.append(AnswerAdmin(conn, reply.done, reply.text))
            case AdminClosed(conn):
                self._admins.pop(conn, None)

    def _on_link_event(self, event: LinkEvent) -> None:
        # One that crossed our closing names no connection that is left.
        if (link := self._links.get(event.link)) is not None:
            self._on_link(link, event)

    def _on_link(self, link: Link, event: LinkEvent) -> None:
        match event:
            case LinkAnswerReceived(_, answer):
                link.answer_started_at = None
                self._on_engine_answer(link, answer)
            case LinkAnswerStarted():
                if link.answer_started_at is None:
                    link.answer_started_at = self.now
                    self._at(self.now + PARTIAL_ANSWER_TIMEOUT, self._check_answer_complete, link, self.now)
            case LinkOpened():
                link.up = True
                self._to_flush[link.id] = link
            case LinkClosed(_, local_shortage):
                self._drop(link, close=False, local_shortage=local_shortage)
            case LinkPaused():
                link.paused = True
            case LinkResumed():
                link.paused = False
                self._to_flush[link.id] = link

    def _on_action(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.SetTimer():
                self._at(self.now + action.delay, self._fire, action.name)
            case api.Log():
                self._effects.append(LogLine(action.text))
            case _:
                self._on_request_action(action)

    def _on_request_action(self, action: api.Action) -> None:
        """Carry out what the module decided of one open request: its terms, its answer, its cancellation."""
        match action:
            case api.SetTerms():
                if action.id in self._requests:
                    self._requests[action.id].memory_mb = action.memory_mb
            case api.Reject():
                if (request := self._requests.get(action.id)) is not None:
                    self._answer(request, Rejected(request.call.msg, action.retry_after))
            case api.Fail():
                if (request := self._requests.get(action.id)) is not None:
                    self._answer(request, Failed(request.call.msg))
            case api.Cancel():
                request = self._requests.get(action.id)
                if request and request.in_flight and request.in_flight.number == action.attempt:
                    self._give_up(request.in_flight, api.Outcome.CANCELLED)

    def _fire(self, name: str) -> None:
        self._pending.append(api.TimerFired(name))
