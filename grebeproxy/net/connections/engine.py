"""Connections to engines."""

from __future__ import annotations

from typing import cast

from grebeproxy.net import events, resp
from grebeproxy.net.connections.base import Connection, Host
from grebeproxy.net.messages import EngineAnswer


class EngineConnection(Connection):
    """A connection to an engine."""

    peer = "engine"

    def __init__(self, host: Host, number: int, links: dict[int, EngineConnection]) -> None:
        super().__init__(host, resp.Decoder())
        self.number = number
        self._links = links

    def on_open(self) -> None:
        """Report the connection as open.

        The high-water mark is set to 0, so that a pause means that part of the last write is unsent.
        """
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)
        self.host.feed(events.LinkOpened(self.number))

    def message_event(self, message: object) -> events.Event:
        """Return the event that reports an engine's answer."""
        return events.LinkAnswerReceived(self.number, cast(EngineAnswer, message))

    def partial_message_events(self) -> list[events.Event]:
        """Return the event that reports the start of an answer."""
        return [events.LinkAnswerStarted(self.number)]

    def close_event(self, reason: str) -> events.Event:
        """Unregister the connection, and return the event that reports its end."""
        self._links.pop(self.number, None)
        return events.LinkClosed(self.number, self.local_shortage)

    def write(self, data: bytes) -> None:
        """Send commands. They are dropped if the connection is not open."""
        if self.transport is not None:
            self.transport.write(data)

    def pause_writing(self) -> None:
        """Report that part of the last write is unsent."""
        self.host.feed(events.LinkPaused(self.number))

    def resume_writing(self) -> None:
        """Report that all written bytes are sent."""
        if not self.detached:
            self.host.feed(events.LinkResumed(self.number))
