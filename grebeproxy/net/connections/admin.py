"""Connections of operators to the admin endpoint."""

from __future__ import annotations

from typing import cast

from grebeproxy.net import admin_protocol, events
from grebeproxy.net.connections.base import Connection, Host
from grebeproxy.net.messages import AdminCall


class AdminConnection(Connection):
    """An operator's connection: one call, one answer."""

    def __init__(self, host: Host, number: int, admins: dict[int, AdminConnection]) -> None:
        super().__init__(host, admin_protocol.Decoder())
        self.number, self._admins = number, admins

    def opened(self) -> None:
        """Count it in."""
        self._admins[self.number] = self
        self.host.feed(events.AdminOpened(self.number))

    def received(self, message: object) -> events.Event:
        """A call."""
        return events.AdminCallReceived(self.number, cast(AdminCall, message))

    def log_unreadable(self, text: str) -> None:
        """Some callers send nothing else."""
        self.host.log_limited(text)

    def closed(self, reason: str) -> events.Event:
        """Count it out."""
        self._admins.pop(self.number, None)
        return events.AdminClosed(self.number)

    def answer(self, done: bool, text: str) -> None:
        """The answer, and the end behind it."""
        if self.transport is not None and not self.ended:
            self.transport.write(admin_protocol.encode(done, text))
            self.finish()
