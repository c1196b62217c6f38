"""The part of a hollow router that follows the change log: the product's codec, follower and decisions."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import cast

from grebeproxy.lab.scale.clock import SlackClock
from grebeproxy.lab.scale.meter import Meter
from grebeproxy.net import changelog, follower
from grebeproxy.net.messages import BadFrameError
from grebeproxy.policy import Choice
from grebeproxy.policy.interface import EngineList, Settings

Address = tuple[str, int]


class LogConnection(asyncio.Protocol):
    """One connection to the change log."""

    def __init__(self, watcher: Watcher, seq: int, dial: int) -> None:
        self._watcher, self._seq, self.dial = watcher, seq, dial
        self.decoder = changelog.Decoder(watcher.settings, watcher.clock.from_unix_ms)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for what came after the last event."""
        self.transport = cast(asyncio.Transport, transport)
        hello = changelog.hello(self._seq)
        self.transport.write(hello)
        self._watcher.opened(self, len(hello))

    def data_received(self, data: bytes) -> None:
        """Frames, however they are cut."""
        self._watcher.received(self, data)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self._watcher.lost(self)


class Watcher:
    """Follows the change log as the router does, and lets the decision module take each list."""

    def __init__(
        self, address: Address, settings: Settings, seed: int, clock: SlackClock, meter: Meter
    ) -> None:
        self.settings, self.clock, self.meter = settings, clock, meter
        self.choice = Choice(settings, clock.now(), seed)
        self.addresses: dict[str, Address] = {}
        self.applied_at: dict[int, float] = {}  # by event, on the machine's clock
        self.lost_connections = 0
        self._log = follower.Follower(address, clock.now())
        self._connection: LogConnection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._timers: set[asyncio.TimerHandle] = set()
        self._closed = False

    @property
    def seq(self) -> int:
        """The last event that was applied."""
        return self._log.seq

    def start(self) -> None:
        """Connect and follow."""
        self._dial(self._log.dials)

    def close(self) -> None:
        """End without a word."""
        self._closed = True
        for timer in self._timers:
            timer.cancel()
        self._drop()

    def _drop(self) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
        connection, self._connection = self._connection, None
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    def _dial(self, dials: int) -> None:
        if self._closed or dials != self._log.dials:
            return
        self._drop()
        asked = self._log.dial(self.clock.now())
        self._connection = LogConnection(self, asked.seq, self._log.dials)
        self._connecting = asyncio.get_running_loop().create_task(self._connect(self._connection))
        self._later(self._due(), self._check, self._log.dials)

    async def _connect(self, connection: LogConnection) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, *self._log.address)
        except OSError:
            self.lost(connection)

    def _due(self) -> float:
        return self._log.due(self.settings.rules.drain_grace)

    def _later(self, at: float, call: Callable[[int], None], dials: int) -> None:
        loop = asyncio.get_running_loop()

        def fire() -> None:
            # As the product's runtime does: first what has come meanwhile is read, and only then the timer
            # acts. A process that many routers share is often later than the change log's silence allows.
            self._timers.discard(timer)
            loop.call_soon(loop.call_soon, call, dials)

        timer = loop.call_later(max(0.0, self.clock.delay(at)), fire)
        self._timers.add(timer)

    def _check(self, dials: int) -> None:
        if self._closed or not self._log.open or dials != self._log.dials:
            return
        due = self._due()
        if self.clock.now() < due - 1e-6:
            self._later(due, self._check, dials)
            return
        self._log.timed_out()
        self.lost_connections += 1
        self._dial(dials)

    def opened(self, connection: LogConnection, hello_bytes: int) -> None:
        """The connection is up."""
        if connection is self._connection:
            self.meter.sent(hello_bytes)
            self._log.opened(self.clock.now())

    def received(self, connection: LogConnection, data: bytes) -> None:
        """Decode what came and apply it."""
        if connection is not self._connection or self._closed or not self._log.open:
            return
        self.meter.received(len(data))
        try:
            with self.meter:
                for update in connection.decoder.feed(data):
                    if self._log.read(update, self.clock.now()) and update.change is not None:
                        self._apply(update.seq, update.change, update.addresses or {})
        except (BadFrameError, ValueError):
            self.lost(connection)

    def _apply(self, seq: int, change: EngineList, addresses: dict[str, Address]) -> None:
        self.addresses.update(addresses)
        self.choice.handle(self.clock.now(), [change])
        self.applied_at[seq] = time.monotonic()

    def lost(self, connection: LogConnection) -> None:
        """The connection is of no more use; connect anew after a while."""
        if connection is not self._connection or self._closed or not self._log.open:
            return
        self.lost_connections += 1
        at = self.clock.now() + self._log.lose()
        self._later(at, self._dial, self._log.dials)
