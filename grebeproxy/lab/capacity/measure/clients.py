"""Clients of a measured router: connections that send statements and count the answers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from typing import NamedTuple, cast

import msgpack

from grebeproxy.lab.capacity.measure.process import HOST, RouterFailedError, RouterProcess
from grebeproxy.lab.capacity.measure.workload import Statements

MAX_START_SECONDS = 60.0  # the longest time from a router's start until it serves
CONNECTIONS_AT_ONCE = 100  # connections opened concurrently
MAX_ANSWER_SECONDS = 30.0  # the longest wait for pending answers
ANSWER_POLL_SECONDS = 0.01
TICK_SECONDS = 0.002  # between two checks of which statements are due


class Answers(NamedTuple):
    """Numbers of requests that were served and rejected."""

    served: int
    rejected: int

    def since(self, earlier: Answers) -> Answers:
        """Return the answers received after an earlier reading."""
        return Answers(self.served - earlier.served, self.rejected - earlier.rejected)


class ClientConnection(asyncio.Protocol):
    """A client's connection; counts the answers and records their latencies in seconds."""

    def __init__(self) -> None:
        self.pending: dict[int, float] = {}  # time of sending by message id
        self.served = 0
        self.rejected = 0
        self.closed = False
        self.latencies: list[float] = []
        self._unpacker = msgpack.Unpacker()
        self._last_message = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Count the answers and record their latencies."""
        self._unpacker.feed(data)
        for _, message, error, _result in self._unpacker:
            self.latencies.append(time.monotonic() - self.pending.pop(message))
            if error is None:
                self.served += 1
            else:
                self.rejected += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is closed, by either side."""
        self.closed = True

    def send_statement(self, statements: Statements) -> None:
        """Send the next statement of the mix."""
        self._send(statements.request(self._next_message()))

    def send_health_check(self) -> None:
        """Send a health check, which also keeps the router from closing the connection as idle."""
        self._send(msgpack.packb([0, self._next_message(), "probe", []]))

    def close(self) -> None:
        """Close the connection."""
        self._transport.close()

    def _next_message(self) -> int:
        self._last_message += 1
        self.pending[self._last_message] = time.monotonic()
        return self._last_message

    def _send(self, data: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(data)


async def connect(port: int) -> ClientConnection:
    """Open a client's connection; raises ``OSError`` if the router does not accept it."""
    _, client = await asyncio.get_running_loop().create_connection(ClientConnection, HOST, port)
    return client


async def open_connections(port: int, count: int) -> list[ClientConnection]:
    """Open connections, send a health check on each, and wait for the answers."""
    clients: list[ClientConnection] = []
    while len(clients) < count:
        batch = min(CONNECTIONS_AT_ONCE, count - len(clients))
        opened = await asyncio.gather(*(connect(port) for _ in range(batch)))
        for client in opened:
            client.send_health_check()
        clients += opened
    await wait_until_answered(clients)
    return clients


async def wait_until_answered(clients: list[ClientConnection]) -> None:
    """Wait until no request is pending on an open connection, or ``MAX_ANSWER_SECONDS`` have passed."""
    deadline = time.monotonic() + MAX_ANSWER_SECONDS
    while any_pending(clients) and time.monotonic() < deadline:
        await asyncio.sleep(ANSWER_POLL_SECONDS)


def any_pending(clients: Iterable[ClientConnection]) -> bool:
    """Whether a request is pending on an open connection."""
    return any(client.pending and not client.closed for client in clients)


async def wait_until_serving(router: RouterProcess, port: int) -> float:
    """Wait for the first answered health check; returns the seconds since the router's start.

    Raises ``RouterFailedError`` if the router ends, or does not serve within ``MAX_START_SECONDS``.
    """
    while time.monotonic() < router.started_at + MAX_START_SECONDS:
        router.check()
        try:
            client = await connect(port)
        except OSError:
            await asyncio.sleep(TICK_SECONDS)
            continue
        client.send_health_check()
        while any_pending([client]):
            await asyncio.sleep(TICK_SECONDS)
        seconds = time.monotonic() - router.started_at
        client.close()
        if client.served:
            return seconds
    raise RouterFailedError(f"router does not serve after {MAX_START_SECONDS:g} s: {router.log()}")


async def send_at_rate(
    clients: list[ClientConnection], statements: Statements, rate: float, seconds: float
) -> None:
    """Send statements at an even rate, round robin over the clients, without waiting for answers."""
    started_at = time.monotonic()
    sent = 0
    while (now := time.monotonic()) < started_at + seconds:
        for number in range(sent, int((now - started_at) * rate)):
            clients[number % len(clients)].send_statement(statements)
            sent = number + 1
        await asyncio.sleep(TICK_SECONDS)


def total_answers(clients: Iterable[ClientConnection]) -> Answers:
    """Return the number of answers that all clients have received so far."""
    counted = list(clients)
    return Answers(sum(client.served for client in counted), sum(client.rejected for client in counted))
