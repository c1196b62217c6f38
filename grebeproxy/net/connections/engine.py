"""Connections to engines."""

from __future__ import annotations

from typing import cast

from grebeproxy.net import events, resp
from grebeproxy.net.connections.base import Connection, Host
from grebeproxy.net.messages import EngineAnswer


class EngineConnection(Connection):
    """A connection to an engine."""

    def __init__(self, host: Host, number: int, links: dict[int, EngineConnection]) -> None:
        super().__init__(host, resp.Decoder())
        self.number, self._links = number, links

    def opened(self) -> None:
        """Report it; with no high-water mark, a pause means that the last write was not sent whole."""
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)
        self.host.feed(events.LinkOpened(self.number))

    def received(self, message: object) -> events.Event:
        """An engine's answer."""
        return events.LinkAnswerReceived(self.number, cast(EngineAnswer, message))

    def received_part(self) -> list[events.Event]:
        """A part of an answer."""
        return [events.LinkAnswerStarted(self.number)]

    def closed(self, reason: str) -> events.Event:
        """The connection is gone."""
        self._links.pop(self.number, None)
        return events.LinkClosed(self.number, self.local_shortage)

    def pause_writing(self) -> None:
        """The last write is not sent whole."""
        self.host.feed(events.LinkPaused(self.number))

    def resume_writing(self) -> None:
        """All is sent."""
        if not self.ended:
            self.host.feed(events.LinkResumed(self.number))
