"""Clients of one router: they keep asking over open connections, and record what they are told."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, cast

import msgpack

from grebeproxy.lab.scale.addresses import Address
from grebeproxy.lab.scale.deployment import TENANT
from grebeproxy.units import MS_PER_SECOND
from grebeproxy.lab.soak.recording import Answer, Recording, Reply, Request

REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2  # message types of MessagePack-RPC
MAX_OPEN_REQUESTS = 32  # on one connection
REJECTED_ERROR = "TryLater"
RECONNECT_S = 0.05  # between two attempts to connect
KEY_INTERVAL_S = 0.08  # between two writes of requests with one key
NEW_CONNECTION_KEY_INTERVAL_S = 0.3  # the same after the first one on a new connection
KEY_PAUSE_S = 0.4  # at most, beyond that
TABLE_GROUPS = 50
CONNECT_TIMEOUT_S = 1.0
LEAVES_EARLY = 0.02  # part of requests whose clients cancel them
LEAVES_WITHIN_S = 0.3
LIMIT_FRACTION = (0.7, 1.0)  # of a class's deadline, that a client waits


@dataclass(frozen=True, slots=True)
class ClientClass:
    """How clients ask for one class. ``deadline`` in seconds, ``work`` in core-seconds."""

    name: str
    deadline: float
    work: float


class ClientConnection(asyncio.Protocol):
    """One connection to a router."""

    def __init__(self, number: int, router: int, record: Callable[[Request], None]) -> None:
        self.number = number
        self.router = router
        self.requests_sent = 0
        self._record = record
        self._unpacker = msgpack.Unpacker()
        self._transport: asyncio.Transport | None = None
        self._requests: dict[int, Request] = {}  # all that were sent, by number

    @property
    def is_open(self) -> bool:
        """Whether requests can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def open_requests(self) -> list[Request]:
        """Requests that still wait for an answer."""
        return [request for request in self._requests.values() if request.over_at is None]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Be ready to send."""
        self._transport = cast(asyncio.Transport, transport)

    def eof_received(self) -> bool:
        """The router has closed its side: a request without an answer gets none any more."""
        self._lose_requests()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self._lose_requests()
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Record each answer."""
        self._unpacker.feed(data)
        for message in self._unpacker:
            self._on_message(message)

    def _on_message(self, message: Any) -> None:
        now = time.monotonic()
        if isinstance(message, list) and message[:1] == [RESPONSE] and message[1] in self._requests:
            _, number, error, result = message
            self._requests[number].answers.append(Answer(now, _reply(error, result)))
            return
        for request in self.open_requests:
            request.answers.append(Answer(now, Reply.UNREADABLE))

    def send(self, cls: ClientClass, rng: Random, key: str | None = None) -> Request | None:
        """Send one request; ``None`` where the connection cannot take any."""
        if not self.is_open or len(self.open_requests) >= MAX_OPEN_REQUESTS:
            return None
        assert self._transport is not None
        self.requests_sent += 1
        limit = cls.deadline * rng.uniform(*LIMIT_FRACTION)
        txn = f"{rng.getrandbits(64):016x}"
        fields = {
            "txn": txn,
            "limit": str(int(limit * MS_PER_SECOND)),
            "team": TENANT,
            "cpu": f"{cls.work * MS_PER_SECOND:.1f}",
            "mb": "16",
        }
        if key is not None:
            fields |= {"item": key, "unique": txn + txn}
        statement = b"SELECT n FROM ops_%d.t" % rng.randrange(TABLE_GROUPS)
        request = Request(
            txn,
            self.router,
            self.number,
            self.requests_sent,
            cls.name,
            key,
            cls.work,
            limit,
            time.monotonic(),
        )
        self._transport.write(msgpack.packb([REQUEST, self.requests_sent, cls.name, [fields, statement]]))
        self._requests[self.requests_sent] = request
        self._record(request)
        return request

    def cancel(self, request: Request) -> None:
        """Give a request up."""
        if request.over_at is None and self.is_open and self._transport is not None:
            self._transport.write(msgpack.packb([NOTIFICATION, "giveUp", [request.number]]))
            request.left_at = time.monotonic()

    def write_half_message(self) -> None:
        """Write the beginning of a message, on a connection that sends nothing else any more."""
        if self._transport is not None:
            self._transport.write(msgpack.packb([REQUEST, 1, "lookup", [{}, b"x" * 100]])[:40])

    def close(self, *, reset: bool = False) -> None:
        """Leave, with all that is open."""
        now = time.monotonic()
        for request in self.open_requests:
            request.left_at = now
        if self._transport is not None:
            if reset:
                self._transport.abort()
            else:
                self._transport.close()

    def _lose_requests(self) -> None:
        now = time.monotonic()
        for request in self.open_requests:
            request.lost_at = now


def _reply(error: Any, result: Any) -> Reply:
    match error, result:
        case None, [bytes(), dict()]:
            return Reply.SERVED
        case [[str(word), dict()], _]:
            return Reply.REJECTED if word == REJECTED_ERROR else Reply.FAILED
    return Reply.UNREADABLE


class Clients:
    """The clients of one router, from ``run`` until ``stop``."""

    def __init__(
        self,
        router: int,
        address: Address,
        classes: dict[str, ClientClass],
        rng: Random,
        recording: Recording,
    ) -> None:
        self.router = router
        self.may_connect = True  # the front sends new connections
        self._address = address
        self._classes = classes
        self._rng = rng
        self._recording = recording
        self._connections: list[ClientConnection] = []
        self._extra: list[ClientConnection] = []  # idle ones, and those with half a message
        self._stopped = False

    async def run(self, connections: int, rate: float, keys: int, mix: dict[str, float]) -> None:
        """Ask until stopped: ``rate`` requests a second of the mix, and loads of each key in turn."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(connections):
                tasks.create_task(self._ask(rate / connections, mix))
            for number in range(keys):
                tasks.create_task(self._ask_by_key(f"{self.router:08x}{number:08x}"))

    def stop(self) -> None:
        """Ask nothing more, and connect no more."""
        self._stopped = True

    def close(self) -> None:
        """Close everything."""
        for connection in (*self._connections, *self._extra):
            connection.close()

    async def _ask(self, rate: float, mix: dict[str, float]) -> None:
        names, weights = list(mix), list(mix.values())
        connection: ClientConnection | None = None
        while not self._stopped:
            await asyncio.sleep(self._rng.expovariate(rate))
            connection = await self._open(connection)
            if connection is None:
                continue
            [name] = self._rng.choices(names, weights)
            request = connection.send(self._classes[name], self._rng)
            if request is not None and self._rng.random() < LEAVES_EARLY:
                delay = self._rng.uniform(0.0, LEAVES_WITHIN_S)
                asyncio.get_running_loop().call_later(delay, connection.cancel, request)

    async def _ask_by_key(self, key: str) -> None:
        connection: ClientConnection | None = None
        while not self._stopped:
            connection = await self._open(connection)
            if connection is None:
                await asyncio.sleep(RECONNECT_S)
                continue
            first = connection.requests_sent == 0
            connection.send(self._classes["load"], self._rng, key)
            interval = NEW_CONNECTION_KEY_INTERVAL_S if first else KEY_INTERVAL_S
            await asyncio.sleep(interval + self._rng.uniform(0.0, KEY_PAUSE_S))

    async def _open(self, connection: ClientConnection | None) -> ClientConnection | None:
        """The connection, or a new one where it has ended and the front still sends new ones."""
        if connection is not None and connection.is_open:
            return connection
        if connection in self._connections:
            self._connections.remove(connection)
        if self._stopped or not self.may_connect:
            return None
        opened = await self.connect()
        if opened is not None:
            self._connections.append(opened)
        return opened

    async def connect(self) -> ClientConnection | None:
        """Connect once; ``None`` where the router does not accept."""
        loop = asyncio.get_running_loop()
        connection = ClientConnection(
            self._recording.new_connection(), self.router, self._recording.requests.append
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: connection, *self._address)
        except (OSError, TimeoutError):
            return None
        return connection

    # --- faults

    async def fill(self, count: int) -> None:
        """Open connections that never send anything."""
        for _ in range(count):
            connection = await self.connect()
            if connection is not None:
                self._extra.append(connection)

    async def write_half_messages(self, count: int) -> None:
        """Open connections that stop in the middle of their first message."""
        for _ in range(count):
            connection = await self.connect()
            if connection is not None:
                connection.write_half_message()
                self._extra.append(connection)

    def leave(self, count: int, *, reset: bool) -> None:
        """Some clients close their connections with all that is open."""
        for connection in self._connections[:count]:
            connection.close(reset=reset)

    def cancel(self, count: int) -> None:
        """Some clients cancel all that they wait for."""
        for connection in self._connections[:count]:
            for request in connection.open_requests:
                connection.cancel(request)

    def burst(self, count: int) -> None:
        """Many requests at once on every connection."""
        lookup = self._classes["lookup"]
        for connection in self._connections:
            for _ in range(count):
                connection.send(lookup, self._rng)
