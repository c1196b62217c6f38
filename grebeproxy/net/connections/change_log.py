"""The connection to the change log."""

from __future__ import annotations

from typing import cast

from grebeproxy.net import changelog, events
from grebeproxy.net.connections.base import Connection, Host
from grebeproxy.net.messages import ChangeLogUpdate
from grebeproxy.policy.interface import Settings


class ChangeLogConnection(Connection):
    """A connection to the change log, which subscribes to the events after number ``seq``.

    ``dial`` is the connection's number from ``events.OpenChangeLog``. The events that report on it carry it.
    """

    peer = "change-log"
    decoder: changelog.Decoder

    def __init__(self, host: Host, decoder: changelog.Decoder, seq: int, dial: int) -> None:
        super().__init__(host, decoder)
        self._seq = seq
        self._dial = dial

    def on_open(self) -> None:
        """Subscribe to the events after the router's last one, and report the connection as open."""
        assert self.transport is not None
        self.transport.write(changelog.hello(self._seq))
        self.host.feed(events.ChangeLogOpened(self._dial))

    def message_event(self, message: object) -> events.Event:
        """Return the event that reports an event of the change log."""
        return events.ChangeLogReceived(cast(ChangeLogUpdate, message))

    def close_event(self, reason: str) -> events.Event:
        """Return the event that reports that the connection has ended or could not be opened."""
        return events.ChangeLogClosed(reason, self._dial)

    def apply_settings(self, settings: Settings) -> None:
        """Decode with these settings, starting with the next event."""
        self.decoder.apply_settings(settings)
