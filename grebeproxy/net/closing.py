"""Connections that the router has ended, and whose peers may still read what they were sent."""

from __future__ import annotations

import asyncio
from typing import Protocol

from grebeproxy.net.timers import Cancellable, LoopTimers

CLOSE_TIMEOUT = 0.5  # seconds in which the peer may read what it was sent, and end its side
MAX_CLOSING = 16  # closing connections, beyond which the oldest is cut
EXIT_GRACE = 2.0  # seconds from the program's end in which what is unsent may still be read
POLL_INTERVAL = 0.005  # seconds between looks at whether all have ended, or have sent all


class ClosingConnection(Protocol):
    """A connection that may take some time to end."""

    def unsent_bytes(self) -> int:
        """Bytes that were written and are not sent yet."""

    def abort(self) -> None:
        """End at once, also what is written and not sent."""


class ClosingConnections:
    """Bounds closing connections in time and number."""

    def __init__(self, timers: LoopTimers) -> None:
        self._timers = timers
        self._exit_deadline: float | None = None  # the program ends, and no connection outlasts this
        self._connections: dict[ClosingConnection, Cancellable] = {}  # the oldest first

    def __len__(self) -> int:
        """How many there are."""
        return len(self._connections)

    def add(self, connection: ClosingConnection) -> None:
        """The router has ended it: it is cut where its peer does not end it soon, or too many are closing."""
        if self._exit_deadline is None and len(self._connections) >= MAX_CLOSING:
            self.cut(next(iter(self._connections)))
        if connection not in self._connections:
            self._cut_later(connection, CLOSE_TIMEOUT)

    def _cut_later(self, connection: ClosingConnection, delay: float) -> None:
        self._connections[connection] = self._timers.call_later(delay, lambda: self._time_out(connection))

    def _time_out(self, connection: ClosingConnection) -> None:
        """Its time is over; while the program ends, what is unsent gets some more."""
        deadline = self._exit_deadline
        if deadline is not None and self._timers.now() < deadline and connection.unsent_bytes():
            self._cut_later(connection, POLL_INTERVAL)
        else:
            self.cut(connection)

    def cut(self, connection: ClosingConnection) -> None:
        """End one at once."""
        self.discard(connection)
        connection.abort()

    def discard(self, connection: ClosingConnection) -> None:
        """One has ended by itself."""
        if (timer := self._connections.pop(connection, None)) is not None:
            timer.cancel()

    def cut_all(self) -> None:
        """End all at once, for the descriptors that they hold."""
        for connection in list(self._connections):
            self.cut(connection)

    def begin_exit(self) -> None:
        """The program ends: any number may be closing, and those with unsent bytes for longer."""
        self._exit_deadline = self._timers.now() + EXIT_GRACE

    async def wait_until_ended(self) -> None:
        """Wait until none is left; each is cut when its time is over."""
        while self._connections:
            await asyncio.sleep(POLL_INTERVAL)
