"""The change log client of a hollow router: the product's codec, follower and decision module."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import cast

from grebeproxy.lab.scale.addresses import Address
from grebeproxy.lab.scale.clock import SkewedClock
from grebeproxy.lab.scale.meter import Meter
from grebeproxy.net import changelog
from grebeproxy.net.follower import Follower
from grebeproxy.net.messages import BadFrameError
from grebeproxy.policy import Choice
from grebeproxy.policy.interface import EngineList, Settings

TIMER_TOLERANCE_S = 1e-6


class LogConnection(asyncio.Protocol):
    """One connection to the change log."""

    def __init__(self, watcher: Watcher, seq: int) -> None:
        self._watcher = watcher
        self._seq = seq
        self.decoder = changelog.Decoder(watcher.settings, watcher.clock.from_unix_ms)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Request the events after the last one that was applied."""
        self.transport = cast(asyncio.Transport, transport)
        hello = changelog.hello(self._seq)
        self.transport.write(hello)
        self._watcher.opened(self, len(hello))

    def data_received(self, data: bytes) -> None:
        """Pass the bytes to the watcher. A frame may arrive in several pieces."""
        self._watcher.received(self, data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Let the watcher connect again."""
        self._watcher.lost(self)


class Watcher:
    """Follows the change log as the router does, and applies each list to a decision module."""

    def __init__(
        self, address: Address, settings: Settings, seed: int, clock: SkewedClock, meter: Meter
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.choice = Choice(settings, clock.now(), seed)
        self.applied_at: dict[int, float] = {}  # by sequence number of the event, on the machine's clock
        # Addresses are stored as in the product's router, so that memory and CPU time are comparable.
        self.addresses: dict[str, Address] = {}
        self.lost_connections = 0
        self._meter = meter
        self._follower = Follower(address, clock.now())
        self._connection: LogConnection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._timers: set[asyncio.TimerHandle] = set()
        self._closed = False

    def start(self) -> None:
        """Connect to the change log and follow it."""
        self._dial(self._follower.dials)

    def close(self) -> None:
        """Stop at once, as if the process were killed."""
        self._closed = True
        for timer in self._timers:
            timer.cancel()
        self._disconnect()

    def _disconnect(self) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
        connection = self._connection
        self._connection = None
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    def _dial(self, dials: int) -> None:
        """Connect, unless another connection was begun since this call was scheduled."""
        if self._closed or dials != self._follower.dials:
            return
        self._disconnect()
        request = self._follower.dial(self.clock.now())
        self._connection = LogConnection(self, request.seq)
        self._connecting = asyncio.get_running_loop().create_task(self._connect(self._connection))
        self._schedule(self._silence_ends_at(), self._check_silence)

    async def _connect(self, connection: LogConnection) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: connection, *self._follower.address)
        except OSError:
            self.lost(connection)

    def _silence_ends_at(self) -> float:
        """The time on the router's clock at which a connection without new data is given up."""
        return self._follower.silence_deadline(self.settings.rules.drain_grace)

    def _schedule(self, router_time: float, call: Callable[[int], None]) -> None:
        """Schedule ``call`` with the number of the current dial, which shows it whether it is outdated."""
        loop = asyncio.get_running_loop()
        dials = self._follower.dials

        def fire() -> None:
            # As in the product's runtime, data that has arrived meanwhile is read before the timer acts. Many
            # routers share this process, so its timers often fire later than the change log's silence limit
            # although data is waiting.
            self._timers.discard(timer)
            loop.call_soon(loop.call_soon, call, dials)

        timer = loop.call_later(max(0.0, self.clock.delay_until(router_time)), fire)
        self._timers.add(timer)

    def _check_silence(self, dials: int) -> None:
        """Connect again if the change log was silent for too long."""
        if self._closed or not self._follower.open or dials != self._follower.dials:
            return
        due_at = self._silence_ends_at()
        if self.clock.now() < due_at - TIMER_TOLERANCE_S:
            self._schedule(due_at, self._check_silence)
            return
        self._follower.timed_out()
        self.lost_connections += 1
        self._dial(dials)

    def opened(self, connection: LogConnection, hello_bytes: int) -> None:
        """Record that the connection is established and its hello is sent."""
        if connection is self._connection:
            self._meter.sent(hello_bytes)
            self._follower.opened(self.clock.now())

    def received(self, connection: LogConnection, data: bytes) -> None:
        """Decode the received bytes and apply new events. A protocol error ends the connection."""
        if connection is not self._connection or self._closed or not self._follower.open:
            return
        self._meter.received(len(data))
        try:
            with self._meter:
                for update in connection.decoder.feed(data):
                    is_new = self._follower.receive(update, self.clock.now())
                    if is_new and update.change is not None:
                        self._apply(update.seq, update.change, update.addresses or {})
        except (BadFrameError, ValueError):
            self.lost(connection)

    def _apply(self, seq: int, change: EngineList, addresses: dict[str, Address]) -> None:
        self.addresses.update(addresses)
        self.choice.handle(self.clock.now(), [change])
        self.applied_at[seq] = time.monotonic()

    def lost(self, connection: LogConnection) -> None:
        """Connect again after the follower's backoff."""
        if connection is not self._connection or self._closed or not self._follower.open:
            return
        self.lost_connections += 1
        retry_at = self.clock.now() + self._follower.give_up()
        self._schedule(retry_at, self._dial)
