"""Clients of real routers: an open loop of small statements, with the latency of each answer."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from itertools import cycle
from random import Random
from typing import cast

import msgpack

from grebeproxy.lab.scale.addresses import Address
from grebeproxy.lab.scale.deployment import TENANT
from grebeproxy.units import MS_PER_SECOND

REQUEST = 0  # the message type of a request in MessagePack-RPC
REJECTED = "TryLater"  # the error of a router that sheds load
DEADLINE_MS = 2000  # shorter than the deadline of the query class, as clients' timeouts often are
MAX_ANSWER_WAIT_S = DEADLINE_MS / MS_PER_SECOND + 0.5
POLL_INTERVAL_S = 0.05
STATEMENT = b"SELECT n FROM ops_%d.t"
TABLE_GROUPS = 50


@dataclass(frozen=True, slots=True)
class ClientTotals:
    """How the clients of one router were served.

    Latencies are in milliseconds and cover the answered statements. If none was answered, they are the
    deadline.
    """

    sent: int
    answered: int
    rejected: int
    failed: int
    unanswered: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class ClientConnection(asyncio.Protocol):
    """One connection to a router."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker()
        self._transport: asyncio.Transport | None = None
        self._sent_at: dict[int, float] = {}  # by message number, of the statements that are not answered yet
        self._last_number = 0
        self.latencies_s: list[float] = []
        self.sent = 0
        self.rejected = 0
        self.failed = 0

    @property
    def is_waiting(self) -> bool:
        """Whether an answer is still expected."""
        return self._transport is not None and bool(self._sent_at)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, on which statements are sent."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Expect no more answers."""
        self._transport = None

    def send_statement(self, rng: Random) -> None:
        """Send one statement. On a lost connection it counts as sent and stays unanswered."""
        self.sent += 1
        if self._transport is None:
            return
        self._last_number += 1
        fields = {
            "txn": f"{rng.getrandbits(64):016x}",
            "limit": str(DEADLINE_MS),
            "team": TENANT,
            "cpu": "5.0",
            "mb": "16",
        }
        body = STATEMENT % rng.randrange(TABLE_GROUPS)
        self._sent_at[self._last_number] = time.monotonic()
        self._transport.write(msgpack.packb([REQUEST, self._last_number, "lookup", [fields, body]]))

    def data_received(self, data: bytes) -> None:
        """Count the answers."""
        self._unpacker.feed(data)
        for _, number, error, _ in self._unpacker:
            sent_at = self._sent_at.pop(number)
            if error is None:
                self.latencies_s.append(time.monotonic() - sent_at)
            elif error[0] == REJECTED:
                self.rejected += 1
            else:
                self.failed += 1

    def close(self) -> None:
        """Cut the connection."""
        if self._transport is not None:
            self._transport.abort()


class Clients:
    """The service of one process: the clients of some routers, with ``connections`` to each of them."""

    def __init__(self, routers: list[Address], connections: int, seed: int) -> None:
        self._routers = routers
        self._connections_per_router = connections
        self._rng = Random(seed)
        self._connections: list[list[ClientConnection]] = []  # by router

    async def run(self, seconds: float, rate: float) -> list[ClientTotals]:
        """Send ``rate`` statements a second to each router, at random moments; returns totals by router."""
        await self._connect()
        end = time.monotonic() + seconds
        async with asyncio.TaskGroup() as senders:
            for connections in self._connections:
                senders.create_task(self._send_statements(connections, rate, end))
        await self._wait_for_answers()
        return [_totals(connections) for connections in self._connections]

    async def _connect(self) -> None:
        """Replace all connections by new ones, since routers close connections that were idle for a while."""
        await self.close()
        self._connections = [await self._connect_to(router) for router in self._routers]

    async def _connect_to(self, router: Address) -> list[ClientConnection]:
        loop = asyncio.get_running_loop()
        connections = []
        for _ in range(self._connections_per_router):
            _, connection = await loop.create_connection(ClientConnection, *router)
            connections.append(connection)
        return connections

    async def close(self) -> None:
        """Cut all connections."""
        for connection in self._all_connections():
            connection.close()
        await asyncio.sleep(0.0)  # The transports close in the next iteration of the event loop.

    def _all_connections(self) -> list[ClientConnection]:
        return [connection for connections in self._connections for connection in connections]

    async def _send_statements(self, connections: list[ClientConnection], rate: float, end: float) -> None:
        next_connection = cycle(connections)
        due_at = time.monotonic() + self._rng.expovariate(rate)
        while due_at < end:
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            next(next_connection).send_statement(self._rng)
            due_at += self._rng.expovariate(rate)

    async def _wait_for_answers(self) -> None:
        deadline = time.monotonic() + MAX_ANSWER_WAIT_S
        while time.monotonic() < deadline and self._is_waiting():
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_waiting(self) -> bool:
        return any(connection.is_waiting for connection in self._all_connections())


def _totals(connections: list[ClientConnection]) -> ClientTotals:
    latencies_s = sorted(latency for connection in connections for latency in connection.latencies_s)
    sent = sum(connection.sent for connection in connections)
    answered = len(latencies_s)
    rejected = sum(connection.rejected for connection in connections)
    failed = sum(connection.failed for connection in connections)
    return ClientTotals(
        sent,
        answered,
        rejected,
        failed,
        unanswered=sent - answered - rejected - failed,
        p50_ms=MS_PER_SECOND * _quantile(latencies_s, 0.5),
        p99_ms=MS_PER_SECOND * _quantile(latencies_s, 0.99),
        max_ms=MS_PER_SECOND * _quantile(latencies_s, 1.0),
    )


def _quantile(ordered: list[float], fraction: float) -> float:
    if not ordered:
        return DEADLINE_MS / MS_PER_SECOND
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
