"""Many hollow engines in one process: they answer the engines' protocol at once, with a fixed row."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass
from typing import cast

import hiredis

from grebeproxy.lab.scale.addresses import Address, loopback_host

HOST_GROUP = 30  # 127.30.0.0/16
ENGINES_PER_HOST = 200  # listening sockets on one host, so that no host runs out of ports
PAGE = b"1\tone row\tmade up\n"
FIELDS = b"count=1,gauges=cpu_share:0.1;pending:0;x0:0.05"


@dataclass(frozen=True, slots=True)
class EngineTotals:
    """What the engines of one process have done since their start. CPU in seconds."""

    connections: int  # open now
    requests: int
    engines_used: int  # engines with at least one request
    cpu_s: float


class EngineConnection(asyncio.Protocol):
    """One connection from a router."""

    def __init__(self, engines: HollowEngines, number: int) -> None:
        self._engines = engines
        self._number = number
        self._reader = hiredis.Reader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._engines.connections.add(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        if self._transport is not None:
            self._engines.connections.discard(self._transport)

    def data_received(self, data: bytes) -> None:
        """Answer each command at once. A cancellation needs no answer: its request is already answered."""
        self._reader.feed(data)
        answers: list[bytes] = []
        while (command := self._reader.gets()) is not False:
            match command:
                case [b"REQ", txn, _, _]:
                    self._engines.count_request(self._number)
                    answers.append(hiredis.pack_command((txn, b"ok", FIELDS, PAGE)))
                case [b"HELO", tag]:
                    answers.append(hiredis.pack_command((tag, b"yes", b"-", b"")))
        if answers and self._transport is not None:
            self._transport.write(b"".join(answers))


class HollowEngines:
    """The service of one process: ``count`` engines from number ``first`` on."""

    def __init__(self, first: int, count: int) -> None:
        self._first = first
        self._count = count
        self._servers: list[asyncio.Server] = []
        self._requests: Counter[int] = Counter()  # by engine number
        self.connections: set[asyncio.Transport] = set()

    async def listen(self) -> list[Address]:
        """Begin to serve; returns the address of each engine."""
        end = self._first + self._count
        return [await self._listen(number) for number in range(self._first, end)]

    async def _listen(self, number: int) -> Address:
        loop = asyncio.get_running_loop()
        host = loopback_host(HOST_GROUP, number // ENGINES_PER_HOST)
        server = await loop.create_server(lambda: EngineConnection(self, number), host, 0)
        self._servers.append(server)
        return host, server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop serving and cut all connections."""
        for server in self._servers:
            server.close()
        for transport in list(self.connections):
            transport.abort()
        await asyncio.sleep(0.0)  # The transports close in the next iteration of the event loop.

    def count_request(self, number: int) -> None:
        """Count one request to that engine."""
        self._requests[number] += 1

    def totals(self) -> EngineTotals:
        """What the engines have done until now."""
        return EngineTotals(
            len(self.connections), self._requests.total(), len(self._requests), time.process_time()
        )
