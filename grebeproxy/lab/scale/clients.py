"""Clients of real routers: an open loop of small statements, each answer timed."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from itertools import cycle
from random import Random
from typing import cast

import msgpack

from grebeproxy.lab.scale.deployment import TENANT, Address

REQUEST = 0
LIMIT_MS = 2000
LAST_ANSWERS_S = LIMIT_MS / 1000 + 0.5
STATEMENT = b"SELECT n FROM ops_%d.t"
TABLE_GROUPS = 50


@dataclass(frozen=True, slots=True)
class ClientFigures:
    """How the clients of one router were served.

    Times in milliseconds, of what was served; the limit of a statement where nothing was.
    """

    asked: int
    served: int
    refused: int
    failed: int
    unanswered: int
    p50_ms: float
    p99_ms: float
    most_ms: float


class ClientConnection(asyncio.Protocol):
    """One connection to a router."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker()
        self._transport: asyncio.Transport | None = None
        self._asked: dict[int, float] = {}
        self._number = 0
        self.latencies: list[float] = []
        self.refused = self.failed = self.asked = 0

    @property
    def waits(self) -> bool:
        """An answer is still to come."""
        return self._transport is not None and bool(self._asked)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The router is there."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """What is out stays without an answer."""
        self._transport = None

    def ask(self, rng: Random) -> None:
        """Send one statement."""
        self.asked += 1
        if self._transport is None:
            return
        self._number += 1
        fields = {
            "txn": f"{rng.getrandbits(64):016x}",
            "limit": str(LIMIT_MS),
            "team": TENANT,
            "cpu": "5.0",
            "mb": "16",
        }
        body = STATEMENT % rng.randrange(TABLE_GROUPS)
        self._asked[self._number] = time.monotonic()
        self._transport.write(msgpack.packb([REQUEST, self._number, "lookup", [fields, body]]))

    def data_received(self, data: bytes) -> None:
        """Take answers."""
        self._unpacker.feed(data)
        for _, number, error, _ in self._unpacker:
            asked_at = self._asked.pop(number)
            if error is None:
                self.latencies.append(time.monotonic() - asked_at)
            elif error[0] == "TryLater":
                self.refused += 1
            else:
                self.failed += 1

    def close(self) -> None:
        """End the connection."""
        if self._transport is not None:
            self._transport.abort()


class Clients:
    """The service: clients of some routers."""

    def __init__(self, routers: list[Address], connections: int, seed: int) -> None:
        self._routers, self._each, self._rng = routers, connections, Random(seed)
        self._connections: list[list[ClientConnection]] = []

    async def _connect(self) -> None:
        """Connect to all routers anew: they close on connections that were silent for a while."""
        await self.close()
        self._connections = []
        loop = asyncio.get_running_loop()
        for address in self._routers:
            made = []
            for _ in range(self._each):
                _, connection = await loop.create_connection(ClientConnection, *address)
                made.append(connection)
            self._connections.append(made)

    async def close(self) -> None:
        """End all connections."""
        for connection in self._all():
            connection.close()
        await asyncio.sleep(0.0)

    def _all(self) -> list[ClientConnection]:
        return [connection for made in self._connections for connection in made]

    async def run(self, seconds: float, rate: float) -> list[ClientFigures]:
        """Ask each router so often a second, at random moments; how each was served."""
        await self._connect()
        end = time.monotonic() + seconds
        await asyncio.gather(*(self._ask(made, rate, end) for made in self._connections))
        await self._last_answers()
        return [_figures(made) for made in self._connections]

    async def _last_answers(self) -> None:
        deadline = time.monotonic() + LAST_ANSWERS_S
        while time.monotonic() < deadline and any(connection.waits for connection in self._all()):
            await asyncio.sleep(0.05)

    async def _ask(self, made: list[ClientConnection], rate: float, end: float) -> None:
        due, turns = time.monotonic(), cycle(made)
        while (due := due + self._rng.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            next(turns).ask(self._rng)


def _figures(made: list[ClientConnection]) -> ClientFigures:
    latencies = sorted(latency for connection in made for latency in connection.latencies)
    asked = sum(connection.asked for connection in made)
    refused = sum(connection.refused for connection in made)
    failed = sum(connection.failed for connection in made)
    return ClientFigures(
        asked,
        len(latencies),
        refused,
        failed,
        asked - len(latencies) - refused - failed,
        1000 * _quantile(latencies, 0.5),
        1000 * _quantile(latencies, 0.99),
        1000 * _quantile(latencies, 1.0),
    )


def _quantile(ordered: list[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else LIMIT_MS / 1000
