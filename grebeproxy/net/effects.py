"""Executes the effects that the router's state machine returns."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from grebeproxy.net import events, manual_overrides, msgpack_rpc, resp
from grebeproxy.net.connections import AdminConnection, ClientConnections, EngineConnection


class EffectTarget(Protocol):
    """The connections, timers, log and process on which effects act."""

    clients: ClientConnections
    links: dict[int, EngineConnection]
    admins: dict[int, AdminConnection]

    def open_link(self, number: int, address: events.Address) -> None:
        """Connect to an engine."""

    def open_change_log(self, effect: events.OpenChangeLog) -> None:
        """Connect to the change log and close an earlier connection."""

    def save_overrides(self, calls: manual_overrides.Calls) -> None:
        """Save the manual overrides for the other processes of this router."""

    def wake_at(self, due: float) -> None:
        """Feed a ``Woken`` event at the time ``due``."""

    def log(self, text: str) -> None:
        """Write a log line."""

    def log_limited(self, text: str) -> None:
        """Write a log line that peers can cause, at most one per second."""

    def start_listening(self) -> None:
        """Accept clients from now on."""

    def stop_listening(self) -> None:
        """Stop accepting clients."""

    def exit(self) -> None:
        """End the program after all written bytes are sent."""


def carry_out(target: EffectTarget, effects: Iterable[events.Effect]) -> None:
    """Execute the effects in order."""
    for effect in effects:
        match effect:
            case events.AnswerClient() | events.CloseClient() | events.HalfCloseClient():
                _on_client(target, effect)
            case events.OpenLink() | events.Write() | events.CloseLink():
                _on_engine(target, effect)
            case events.AnswerAdmin() | events.CloseAdmin():
                _on_admin(target, effect)
            case _:
                _on_process(target, effect)


def _on_process(target: EffectTarget, effect: events.Effect) -> None:
    """Execute an effect on the change log, overrides, wake-up, log, listener or process."""
    match effect:
        case events.OpenChangeLog():
            target.open_change_log(effect)
        case events.SaveOverrides(calls):
            target.save_overrides(calls)
        case events.Wake(due):
            target.wake_at(due)
        case events.LogLine(text, limited):
            (target.log_limited if limited else target.log)(text)
        case events.StartListening():
            target.start_listening()
        case events.StopListening():
            target.stop_listening()
        case events.Exit():
            target.exit()


def _on_client(
    target: EffectTarget, effect: events.AnswerClient | events.CloseClient | events.HalfCloseClient
) -> None:
    client = target.clients.get(effect.conn)
    if client is None:
        return
    match effect:
        case events.AnswerClient(_, message):
            client.write(msgpack_rpc.encode(message))
        case events.HalfCloseClient():
            client.half_close()
        case events.CloseClient(number):
            del target.clients[number]
            client.close_or_abort()


def _on_engine(target: EffectTarget, effect: events.OpenLink | events.Write | events.CloseLink) -> None:
    match effect:
        case events.OpenLink(number, address):
            target.open_link(number, address)
        case events.Write(number, commands):
            link = target.links.get(number)
            if link is not None:
                link.write(b"".join(map(resp.encode, commands)))
        case events.CloseLink(number):
            link = target.links.pop(number, None)
            if link is not None:
                link.close()


def _on_admin(target: EffectTarget, effect: events.AnswerAdmin | events.CloseAdmin) -> None:
    connection = target.admins.pop(effect.conn, None)
    if connection is None:
        return
    match effect:
        case events.AnswerAdmin(_, done, text):
            connection.answer(done, text)
        case events.CloseAdmin():
            connection.close()
