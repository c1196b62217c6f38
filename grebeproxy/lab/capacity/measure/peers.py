"""Stand-ins for a router's peers in one event loop: engines, the change log and clients."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable, Iterable
from typing import Any, cast

import hiredis
import msgpack

from grebeproxy.lab.capacity.measure.process import HOST, RouterFailedError, RouterProcess
from grebeproxy.lab.capacity.measure.workload import Statements, engine_host

PAGE = b"1\trow 1\tmade up\n2\trow 2\tmade up\n3\trow 3\tmade up\n" * 8
REPORT = "count=1,gauges=cpu_share:0.1;pending:0;x0:0.05"
BACKLOG = 1024
HEARTBEAT = 1.0  # seconds between frames of the change log
SERVES_WITHIN = 60.0  # seconds from its start until a router is given up
AT_ONCE = 100  # connections made side by side
ANSWERED_WITHIN = 30.0
TICK = 0.002  # seconds between looks at which statements are due


def free_ports(count: int) -> tuple[int, ...]:
    """Ports of the loopback address that are free now."""
    held = [socket.create_server((HOST, 0)) for _ in range(count)]
    ports = tuple(int(one.getsockname()[1]) for one in held)
    for one in held:
        one.close()
    return ports


class Engine(asyncio.Protocol):
    """A router's connection to an engine that answers each request after ``delay`` seconds."""

    def __init__(self, delay: Callable[[], float]) -> None:
        self._delay, self._reader = delay, hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer what can be answered at once, and the rest after the delay."""
        self._reader.feed(data)
        while (words := self._reader.gets()) is not False:
            assert isinstance(words, list)
            if words[0] == b"REQ":
                delay = self._delay()
                asyncio.get_running_loop().call_later(delay, self._answer, words[1], "ok", REPORT, PAGE)
            elif words[0] == b"HELO":
                self._answer(words[1], "yes", "-", b"")

    def _answer(self, *words: Any) -> None:
        if not self._transport.is_closing():
            self._transport.write(hiredis.pack_command(words))


class ChangeLog(asyncio.Protocol):
    """A router's connection to a change log in which nothing is new."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """The number of the last event that the router has."""
        self._beat(data[:8])

    def _beat(self, seq: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(struct.pack(">I", 9) + seq + b"\0")
            asyncio.get_running_loop().call_later(HEARTBEAT, self._beat, seq)


class Peers:
    """The change log and engines that listen, each engine at a loopback address of its own."""

    def __init__(self, engines: int, delay: Callable[[], float]) -> None:
        self._engines, self._delay = engines, delay
        self.ports: tuple[int, int, int] = (0, 0, 0)  # for clients, of the change log, of the engines
        self._servers: list[asyncio.Server] = []

    async def __aenter__(self) -> Peers:
        """Listen."""
        listen, changelog, engine_port = free_ports(3)
        self.ports = (listen, changelog, engine_port)
        loop = asyncio.get_running_loop()
        self._servers.append(await loop.create_server(ChangeLog, HOST, changelog))
        for number in range(self._engines):
            server = await loop.create_server(
                lambda: Engine(self._delay), engine_host(number), engine_port, backlog=BACKLOG
            )
            self._servers.append(server)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Listen no more."""
        for server in self._servers:
            server.close()


class ClientConnection(asyncio.Protocol):
    """A client's connection; counts what it is answered, and how long that took."""

    def __init__(self) -> None:
        self.open: dict[int, float] = {}
        self.served = self.refused = 0
        self.closed = False
        self.latencies: list[float] = []
        self._unpacker = msgpack.Unpacker()
        self._message = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Count answers."""
        self._unpacker.feed(data)
        for _, message, error, _result in self._unpacker:
            self.latencies.append(time.monotonic() - self.open.pop(message))
            self.served, self.refused = self.served + (error is None), self.refused + (error is not None)

    def connection_lost(self, exc: Exception | None) -> None:
        """The router has closed it, or this side has."""
        self.closed = True

    def ask(self, statements: Statements) -> None:
        """Send the next statement of the mix."""
        self._send(statements.request(self._next()))

    def probe(self) -> None:
        """Ask whether the router serves, which keeps the connection from being closed as silent."""
        self._send(msgpack.packb([0, self._next(), "probe", []]))

    def close(self) -> None:
        """Hang up."""
        self._transport.close()

    def _next(self) -> int:
        self._message += 1
        self.open[self._message] = time.monotonic()
        return self._message

    def _send(self, data: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(data)


async def connect(port: int) -> ClientConnection:
    """A client's connection. Raises ``OSError``."""
    _, client = await asyncio.get_running_loop().create_connection(ClientConnection, HOST, port)
    return client


async def connected(port: int, count: int) -> list[ClientConnection]:
    """So many connections, each of which has asked once and was answered."""
    clients: list[ClientConnection] = []
    while len(clients) < count:
        wanted = min(AT_ONCE, count - len(clients))
        made = await asyncio.gather(*(connect(port) for _ in range(wanted)))
        for client in made:
            client.probe()
        clients += made
    await answered(clients)
    return clients


async def answered(clients: list[ClientConnection]) -> None:
    """Wait until nothing is open any more."""
    until = time.monotonic() + ANSWERED_WITHIN
    while any(client.open and not client.closed for client in clients) and time.monotonic() < until:
        await asyncio.sleep(0.01)


async def serving(router: RouterProcess, port: int) -> float:
    """Seconds from its start until the router answers a client's probe. Raises ``RouterFailedError``."""
    while time.monotonic() < router.began + SERVES_WITHIN:
        router.check()
        try:
            client = await connect(port)
        except OSError:
            await asyncio.sleep(TICK)
            continue
        client.probe()
        while client.open and not client.closed:
            await asyncio.sleep(TICK)
        took = time.monotonic() - router.began
        client.close()
        if client.served:
            return took
    raise RouterFailedError(f"does not serve after {SERVES_WITHIN:g} s: {router.log()}")


async def offer(clients: list[ClientConnection], statements: Statements, rate: float, seconds: float) -> None:
    """Send statements at an even rate over the clients in turn, whether they are answered or not."""
    began, sent = time.monotonic(), 0
    while (now := time.monotonic()) < began + seconds:
        for number in range(sent, int((now - began) * rate)):
            clients[number % len(clients)].ask(statements)
            sent = number + 1
        await asyncio.sleep(TICK)


def total(clients: Iterable[ClientConnection]) -> tuple[int, int]:
    """Requests served and refused so far."""
    counted = list(clients)
    return sum(client.served for client in counted), sum(client.refused for client in counted)
