"""The connection to the change log."""

from __future__ import annotations

from typing import cast

from grebeproxy.net import changelog, events
from grebeproxy.net.connections.base import Connection, Host
from grebeproxy.net.messages import ChangeLogUpdate


class ChangeLogConnection(Connection):
    """The connection to the change log; asks for what came after the event ``seq``."""

    def __init__(self, host: Host, decoder: changelog.Decoder, seq: int, dial: int) -> None:
        super().__init__(host, decoder)
        self._seq, self._dial = seq, dial

    def opened(self) -> None:
        """Ask for what came after the last event."""
        assert self.transport is not None
        self.transport.write(changelog.hello(self._seq))
        self.host.feed(events.ChangeLogOpened(self._dial))

    def received(self, message: object) -> events.Event:
        """An event of the log."""
        return events.ChangeLogReceived(cast(ChangeLogUpdate, message))

    def closed(self, reason: str) -> events.Event:
        """The connection is gone."""
        return events.ChangeLogClosed(reason, self._dial)
