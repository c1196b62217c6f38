"""Connections that the router is closing, while their peers may still read data that was sent."""

from __future__ import annotations

import asyncio
from typing import Protocol

from grebeproxy.net.timers import Cancellable, LoopTimers

CLOSE_TIMEOUT = 0.5  # seconds in which the peer may read the data sent to it and close its side
MAX_CLOSING = 16  # closing connections; beyond this number the oldest one is aborted
UNSENT_GRACE = 2.0  # seconds from the close, or from the start of the exit, for unsent bytes
POLL_INTERVAL = 0.005  # seconds between two checks for open connections and unsent bytes during the exit


class ClosingConnection(Protocol):
    """A connection that may need some time to close."""

    def unsent_bytes(self) -> int:
        """The number of bytes that were written and are not sent yet."""

    def abort(self) -> None:
        """Close at once and discard unsent bytes."""


class ClosingConnections:
    """Limits how long connections may be closing, how many, and their unsent bytes together."""

    def __init__(self, timers: LoopTimers, max_unsent_bytes: int) -> None:
        self._timers = timers
        self._max_unsent_bytes = max_unsent_bytes
        self._exit_deadline: float | None = None  # set when the program exits; no connection outlasts it
        self._timeouts: dict[ClosingConnection, Cancellable] = {}  # by connection, oldest first

    def __len__(self) -> int:
        """The number of closing connections."""
        return len(self._timeouts)

    def add(self, connection: ClosingConnection) -> None:
        """Abort the connection if its peer does not close in time, and the oldest ones beyond the limits."""
        if connection not in self._timeouts:
            self._start_timeout(connection, CLOSE_TIMEOUT, self._timers.now() + UNSENT_GRACE)
        while self._exit_deadline is None and self._exceeds_limits():
            self.abort(next(iter(self._timeouts)))

    def _exceeds_limits(self) -> bool:
        """Whether too many connections are closing, or with too many unsent bytes."""
        unsent = sum(connection.unsent_bytes() for connection in self._timeouts)
        return len(self._timeouts) > MAX_CLOSING or unsent > self._max_unsent_bytes

    def _start_timeout(self, connection: ClosingConnection, delay: float, deadline: float) -> None:
        """Check the connection after ``delay`` seconds; unsent bytes may be sent until ``deadline``."""
        self._timeouts[connection] = self._timers.call_later(
            delay, lambda: self._time_out(connection, deadline)
        )

    def _time_out(self, connection: ClosingConnection, deadline: float) -> None:
        """Abort the connection; one with unsent bytes gets more time."""
        interval = CLOSE_TIMEOUT
        if self._exit_deadline is not None:
            interval, deadline = POLL_INTERVAL, self._exit_deadline
        if connection.unsent_bytes() and self._timers.now() < deadline:
            self._start_timeout(connection, interval, deadline)
        else:
            self.abort(connection)

    def abort(self, connection: ClosingConnection) -> None:
        """Abort a connection, and remove it here: ``connection_lost`` is called one iteration later."""
        self.remove(connection)
        connection.abort()

    def remove(self, connection: ClosingConnection) -> None:
        """Cancel the timeout of a closed connection; an unknown connection is ignored."""
        if (timeout := self._timeouts.pop(connection, None)) is not None:
            timeout.cancel()

    def abort_all(self) -> None:
        """Abort all connections to free their descriptors."""
        for connection in list(self._timeouts):
            self.abort(connection)

    def begin_exit(self) -> None:
        """For the exit, lift the limits and give connections with unsent bytes more time."""
        self._exit_deadline = self._timers.now() + UNSENT_GRACE

    async def wait_until_closed(self) -> None:
        """Wait until no connection is left; timeouts abort those that do not close."""
        while self._timeouts:
            await asyncio.sleep(POLL_INTERVAL)
