"""Many hollow engines in one process: they answer the engines' protocol at once, without any work."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import cast

import hiredis

from grebeproxy.lab.scale.deployment import Address, loopback_host

HOST_GROUP = 30  # 127.30.0.0/16
ENGINES_AN_ADDRESS = 200  # listening sockets on one address, so that no address runs out of ports
PAGE = b"1\tone row\tmade up\n"
FIELDS = b"count=1,gauges=cpu_share:0.1;pending:0;x0:0.05"


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """What the engines of one process have done. CPU in seconds."""

    connections: int
    requests: int
    engines_asked: int
    cpu_s: float


class EngineConnection(asyncio.Protocol):
    """One connection from a router."""

    def __init__(self, engines: HollowEngines, number: int) -> None:
        self._engines, self._number = engines, number
        self._reader = hiredis.Reader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A router has connected."""
        self._transport = cast(asyncio.Transport, transport)
        self._engines.connections.add(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """It has gone."""
        if self._transport is not None:
            self._engines.connections.discard(self._transport)

    def data_received(self, data: bytes) -> None:
        """Answer each command at once; what is called off was answered already."""
        self._reader.feed(data)
        answers: list[bytes] = []
        while (words := self._reader.gets()) is not False:
            match words:
                case [b"REQ", txn, _, _]:
                    self._engines.count(self._number)
                    answers.append(hiredis.pack_command((txn, b"ok", FIELDS, PAGE)))
                case [b"HELO", tag]:
                    answers.append(hiredis.pack_command((tag, b"yes", b"-", b"")))
        if answers and self._transport is not None:
            self._transport.write(b"".join(answers))


class HollowEngines:
    """The service of one process: engines from number ``first`` on."""

    def __init__(self, first: int, count: int) -> None:
        self._first, self._count = first, count
        self._servers: list[asyncio.Server] = []
        self._requests: dict[int, int] = {}
        self.connections: set[asyncio.Transport] = set()

    async def listen(self) -> list[Address]:
        """Begin to serve; the address of each engine."""
        addresses = []
        for number in range(self._first, self._first + self._count):
            addresses.append(await self._listen(number))
        return addresses

    async def _listen(self, number: int) -> Address:
        loop = asyncio.get_running_loop()
        host = loopback_host(HOST_GROUP, number // ENGINES_AN_ADDRESS)
        server = await loop.create_server(lambda: EngineConnection(self, number), host, 0)
        self._servers.append(server)
        return host, server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """End all."""
        for server in self._servers:
            server.close()
        for transport in list(self.connections):
            transport.abort()
        await asyncio.sleep(0.0)

    def count(self, number: int) -> None:
        """One request for that engine."""
        self._requests[number] = self._requests.get(number, 0) + 1

    def figures(self) -> EngineFigures:
        """What was done until now."""
        requests = sum(self._requests.values())
        return EngineFigures(len(self.connections), requests, len(self._requests), time.process_time())
