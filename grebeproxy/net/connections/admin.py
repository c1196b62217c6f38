"""Connections of operators to the admin endpoint."""

from __future__ import annotations

from typing import cast

from grebeproxy.net import admin_protocol, events
from grebeproxy.net.connections.base import Connection, Host
from grebeproxy.net.messages import AdminCall


class AdminConnection(Connection):
    """An operator's connection, which carries one call and one answer."""

    peer = "operator"

    def __init__(self, host: Host, number: int, admins: dict[int, AdminConnection]) -> None:
        super().__init__(host, admin_protocol.Decoder())
        self.number = number
        self._admins = admins

    def on_open(self) -> None:
        """Register the connection and report it."""
        self._admins[self.number] = self
        self.host.feed(events.AdminOpened(self.number))

    def message_event(self, message: object) -> events.Event:
        """Return the event that reports an operator's call."""
        return events.AdminCallReceived(self.number, cast(AdminCall, message))

    def close_event(self, reason: str) -> events.Event:
        """Unregister the connection, and return the event that reports its end."""
        self._admins.pop(self.number, None)
        return events.AdminClosed(self.number)

    def log_malformed(self, text: str) -> None:
        """Write the line with a rate limit, because some callers send nothing but malformed bytes."""
        self.host.log_limited(text)

    def answer(self, done: bool, text: str) -> None:
        """Send the answer, then close the connection."""
        if self.transport is not None and not self.detached:
            self.transport.write(admin_protocol.encode(done, text))
            self.close_gracefully()
