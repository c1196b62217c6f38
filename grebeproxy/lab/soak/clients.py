"""Clients of one router, which send requests over open connections and record the answers."""

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
MAX_OPEN_REQUESTS = 32  # unanswered requests on one connection
REJECTED_ERROR = "TryLater"
RECONNECT_INTERVAL_S = 0.05  # time between two attempts to connect
KEY_INTERVAL_S = 0.08  # shortest time between two requests with the same key
NEW_CONNECTION_KEY_INTERVAL_S = 0.3  # shortest time between the first and second request on a new connection
MAX_KEY_PAUSE_S = 0.4  # longest random time added to the interval between requests with the same key
TABLE_GROUPS = 50
CONNECT_TIMEOUT_S = 1.0
CANCEL_FRACTION = 0.02  # fraction of requests that their clients cancel
CANCEL_WITHIN_S = 0.3  # longest time from a request to its cancellation
DEADLINE_FRACTION = (0.7, 1.0)  # A client waits for a fraction of its class's deadline in this range.


@dataclass(frozen=True, slots=True)
class ClientClass:
    """A query class as clients request it. ``deadline`` is in seconds, ``work`` in core-seconds."""

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
        self._requests: dict[int, Request] = {}  # all requests sent on this connection, by number

    @property
    def is_open(self) -> bool:
        """Whether requests can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def open_requests(self) -> list[Request]:
        """The requests that still wait for an answer."""
        return [request for request in self._requests.values() if request.finished_at is None]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, so that requests can be sent."""
        self._transport = cast(asyncio.Transport, transport)

    def eof_received(self) -> bool:
        """Mark the open requests as lost: the router has closed its side and will not answer them."""
        self._lose_requests()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the open requests as lost, and drop the transport."""
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
            self._requests[number].answers.append(Answer(now, _parse_reply(error, result)))
            return
        for request in self.open_requests:
            request.answers.append(Answer(now, Reply.UNREADABLE))

    def send(self, cls: ClientClass, rng: Random, key: str | None = None) -> Request | None:
        """Send one request; return ``None`` if the connection is closed or has too many open requests."""
        if not self.is_open or len(self.open_requests) >= MAX_OPEN_REQUESTS:
            return None
        assert self._transport is not None
        self.requests_sent += 1
        limit = cls.deadline * rng.uniform(*DEADLINE_FRACTION)
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
        """Cancel a request that is still open."""
        if request.finished_at is None and self.is_open and self._transport is not None:
            self._transport.write(msgpack.packb([NOTIFICATION, "giveUp", [request.number]]))
            request.left_at = time.monotonic()

    def write_half_message(self) -> None:
        """Write only the beginning of a message; the caller sends nothing more on this connection."""
        if self._transport is not None:
            self._transport.write(msgpack.packb([REQUEST, 1, "lookup", [{}, b"x" * 100]])[:40])

    def close(self, *, reset: bool = False) -> None:
        """Close or reset the connection, and give up its open requests."""
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


def _parse_reply(error: Any, result: Any) -> Reply:
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
        self.may_connect = True  # The platform's front end sends new connections to this router.
        self._address = address
        self._classes = classes
        self._rng = rng
        self._recording = recording
        self._connections: list[ClientConnection] = []
        self._extra: list[ClientConnection] = []  # connections that are idle or sent half a message
        self._stopped = False

    async def run(self, connections: int, rate: float, keys: int, mix: dict[str, float]) -> None:
        """Send requests until stopped: ``rate`` per second weighted by ``mix``, and loads of each key."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(connections):
                tasks.create_task(self._ask(rate / connections, mix))
            for number in range(keys):
                tasks.create_task(self._ask_by_key(f"{self.router:08x}{number:08x}"))

    def stop(self) -> None:
        """Send no more requests, and open no more connections."""
        self._stopped = True

    def close(self) -> None:
        """Close all connections."""
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
            if request is not None and self._rng.random() < CANCEL_FRACTION:
                delay = self._rng.uniform(0.0, CANCEL_WITHIN_S)
                asyncio.get_running_loop().call_later(delay, connection.cancel, request)

    async def _ask_by_key(self, key: str) -> None:
        connection: ClientConnection | None = None
        while not self._stopped:
            connection = await self._open(connection)
            if connection is None:
                await asyncio.sleep(RECONNECT_INTERVAL_S)
                continue
            first = connection.requests_sent == 0
            connection.send(self._classes["load"], self._rng, key)
            interval = NEW_CONNECTION_KEY_INTERVAL_S if first else KEY_INTERVAL_S
            await asyncio.sleep(interval + self._rng.uniform(0.0, MAX_KEY_PAUSE_S))

    async def _open(self, connection: ClientConnection | None) -> ClientConnection | None:
        """Return the connection if it is open, else a new one; ``None`` if none can be opened."""
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
        """Try once to connect; return ``None`` if the router does not accept the connection."""
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

    async def open_idle_connections(self, count: int) -> None:
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
        """Close or reset some connections together with their open requests."""
        for connection in self._connections[:count]:
            connection.close(reset=reset)

    def cancel(self, count: int) -> None:
        """Cancel all open requests on some connections."""
        for connection in self._connections[:count]:
            for request in connection.open_requests:
                connection.cancel(request)

    def burst(self, count: int) -> None:
        """Send ``count`` lookups at once on every connection."""
        lookup = self._classes["lookup"]
        for connection in self._connections:
            for _ in range(count):
                connection.send(lookup, self._rng)
