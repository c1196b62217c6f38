"""Connections that were closed on, and whose peers may still read what they were sent."""

from __future__ import annotations

import asyncio
from typing import Protocol

from grebeproxy.net.timers import Cancellable, LoopTimers

LINGER = 0.5  # seconds in which a peer that is closed on may read what it was sent, and end its side
MAX_LINGERING = 16  # connections that are closed on and not ended yet, beyond which the oldest is cut
POLL_INTERVAL = 0.005  # seconds between looks at whether all have ended


class Lingering(Protocol):
    """A connection that can be aborted."""

    def abort(self) -> None:
        """End at once, also what is written and not sent."""


class LingeringConnections:
    """Bounds in time and number the connections that were closed on and have not ended."""

    def __init__(self, timers: LoopTimers) -> None:
        self._timers = timers
        self._bounded = True
        self._connections: dict[Lingering, Cancellable] = {}  # the oldest first

    def __len__(self) -> int:
        """How many there are."""
        return len(self._connections)

    def add(self, connection: Lingering) -> None:
        """It was closed on: it is cut where its peer does not end it soon, or where too many are."""
        if self._bounded and len(self._connections) >= MAX_LINGERING:
            self.cut(next(iter(self._connections)))
        if connection not in self._connections:
            self._connections[connection] = self._timers.call_later(LINGER, lambda: self.cut(connection))

    def cut(self, connection: Lingering) -> None:
        """It may linger no more."""
        self.discard(connection)
        connection.abort()

    def discard(self, connection: Lingering) -> None:
        """It has ended."""
        if (timer := self._connections.pop(connection, None)) is not None:
            timer.cancel()

    def cut_all(self) -> None:
        """End all at once, for the descriptors that they hold."""
        for connection in list(self._connections):
            self.cut(connection)

    def stop_bounding(self) -> None:
        """The program ends: from now on any number may linger."""
        self._bounded = False

    async def wait_until_ended(self) -> None:
        """Wait until none is left; each is cut when its time is over."""
        while self._connections:
            await asyncio.sleep(POLL_INTERVAL)
