"""Connections that the router has closed, while their peers may still read what they were sent."""

from __future__ import annotations

import asyncio
from typing import Protocol

from grebeproxy.net.timers import Cancellable, LoopTimers

CLOSE_TIMEOUT = 0.5  # seconds in which the peer may read what it was sent, and close its side
MAX_CLOSING = 16  # closing connections, beyond which the oldest is aborted
EXIT_GRACE = 2.0  # seconds after the exit began in which unsent bytes may still be read
POLL_INTERVAL = 0.005  # seconds between checks whether all are closed, or have sent all


class ClosingConnection(Protocol):
    """A connection that may take some time to close."""

    def unsent_bytes(self) -> int:
        """Bytes that were written and are not sent yet."""

    def abort(self) -> None:
        """Close at once and drop what is written and not sent."""


class ClosingConnections:
    """Bounds closing connections in time and number."""

    def __init__(self, timers: LoopTimers) -> None:
        self._timers = timers
        self._exit_deadline: float | None = None  # set once the program exits; no connection outlasts it
        self._timeouts: dict[ClosingConnection, Cancellable] = {}  # by connection, the oldest first

    def __len__(self) -> int:
        """How many there are."""
        return len(self._timeouts)

    def add(self, connection: ClosingConnection) -> None:
        """Abort it where its peer does not close soon, and the oldest one where too many are closing."""
        if self._exit_deadline is None and len(self._timeouts) >= MAX_CLOSING:
            self.abort(next(iter(self._timeouts)))
        if connection not in self._timeouts:
            self._start_timeout(connection, CLOSE_TIMEOUT)

    def _start_timeout(self, connection: ClosingConnection, delay: float) -> None:
        self._timeouts[connection] = self._timers.call_later(delay, lambda: self._time_out(connection))

    def _time_out(self, connection: ClosingConnection) -> None:
        """Abort it; while the program exits, a connection with unsent bytes gets more time."""
        deadline = self._exit_deadline
        if deadline is not None and self._timers.now() < deadline and connection.unsent_bytes():
            self._start_timeout(connection, POLL_INTERVAL)
        else:
            self.abort(connection)

    def abort(self, connection: ClosingConnection) -> None:
        """Close one at once. It is removed here as well, since ``connection_lost`` comes a turn later."""
        self.remove(connection)
        connection.abort()

    def remove(self, connection: ClosingConnection) -> None:
        """Stop the timeout of one that is closed; one that is not here is ignored."""
        if (timeout := self._timeouts.pop(connection, None)) is not None:
            timeout.cancel()

    def abort_all(self) -> None:
        """Close all at once, to free the descriptors that they hold."""
        for connection in list(self._timeouts):
            self.abort(connection)

    def begin_exit(self) -> None:
        """The program exits: any number may be closing, and those with unsent bytes for longer."""
        self._exit_deadline = self._timers.now() + EXIT_GRACE

    async def wait_until_closed(self) -> None:
        """Wait until none is left; each is aborted by its timeout."""
        while self._timeouts:
            await asyncio.sleep(POLL_INTERVAL)
