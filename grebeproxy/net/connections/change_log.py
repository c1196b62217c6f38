"""The connection to the change log."""

from __future__ import annotations

from typing import cast

from grebeproxy.net import changelog, events
from grebeproxy.net.connections.base import Connection, Host
from grebeproxy.net.messages import ChangeLogUpdate
from grebeproxy.policy.interface import Settings


class ChangeLogConnection(Connection):
    """The connection to the change log; subscribes to what came after the event ``seq``.

    ``dial`` is the number of the dial (see ``events.OpenChangeLog``) that its events carry.
    """

    peer = "change-log"
    decoder: changelog.Decoder

    def __init__(self, host: Host, decoder: changelog.Decoder, seq: int, dial: int) -> None:
        super().__init__(host, decoder)
        self._seq = seq
        self._dial = dial

    def on_open(self) -> None:
        """Subscribe to what came after the last event."""
        assert self.transport is not None
        self.transport.write(changelog.hello(self._seq))
        self.host.feed(events.ChangeLogOpened(self._dial))

    def message_event(self, message: object) -> events.Event:
        """An event of the log."""
        return events.ChangeLogReceived(cast(ChangeLogUpdate, message))

    def close_event(self, reason: str) -> events.Event:
        """The connection is closed, or could not be made."""
        return events.ChangeLogClosed(reason, self._dial)

    def retune(self, settings: Settings) -> None:
        """Decode by these settings from the next event on."""
        self.decoder.apply_settings(settings)
