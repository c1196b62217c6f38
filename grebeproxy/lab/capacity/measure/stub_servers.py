"""Stubs of the servers that a router connects to, in one event loop: engines and the change log."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import ExitStack
from typing import cast

import hiredis

from grebeproxy.lab.capacity.measure.engines import engine_host
from grebeproxy.lab.capacity.measure.process import HOST, Ports
from grebeproxy.lab.capacity.measure.workload import LOAD_REPORT, RESULT_PAGE, pack_words

BACKLOG = 1024
HEARTBEAT_SECONDS = 1.0  # between two heartbeats of the change log
HEARTBEAT_HEAD = struct.Struct(">I")  # length of the rest of the frame
HEARTBEAT_LENGTH = 9  # bytes of a sequence number and an event kind
SEQUENCE_BYTES = 8
NO_EVENTS = b"\0"  # event kind of a heartbeat


def free_ports() -> Ports:
    """Return currently free ports of the loopback address."""
    with ExitStack() as sockets:
        bound = [sockets.enter_context(socket.create_server((HOST, 0))) for _ in Ports._fields]
        return Ports(*(int(listener.getsockname()[1]) for listener in bound))


class EngineStub(asyncio.Protocol):
    """A router's connection to an engine, which answers each request after ``delay()`` seconds."""

    def __init__(self, delay: Callable[[], float]) -> None:
        self._delay = delay
        self._reader = hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer the handshake at once, and each request after the delay."""
        self._reader.feed(data)
        while (words := self._reader.gets()) is not False:
            assert isinstance(words, list)  # Routers send only arrays of strings.
            if words[0] == b"REQ":
                loop = asyncio.get_running_loop()
                loop.call_later(self._delay(), self._answer, words[1], "ok", LOAD_REPORT, RESULT_PAGE)
            elif words[0] == b"HELO":
                self._answer(words[1], "yes", "-", b"")

    def _answer(self, *words: str | bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(pack_words(*words))


class ChangeLogStub(asyncio.Protocol):
    """A router's connection to a change log that has no new events and sends only heartbeats."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Read the sequence number of the router's last event, and repeat that number in heartbeats."""
        self._send_heartbeat(data[:SEQUENCE_BYTES])

    def _send_heartbeat(self, sequence: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(HEARTBEAT_HEAD.pack(HEARTBEAT_LENGTH) + sequence + NO_EVENTS)
            asyncio.get_running_loop().call_later(HEARTBEAT_SECONDS, self._send_heartbeat, sequence)


class StubServers:
    """Listening stubs: one change log, and engines that each have their own loopback address."""

    def __init__(self, engines: int, delay: Callable[[], float]) -> None:
        self._engines = engines
        self._delay = delay
        self._servers: list[asyncio.Server] = []
        self.ports = free_ports()

    async def __aenter__(self) -> StubServers:
        """Start listening as the change log and as each engine."""
        loop = asyncio.get_running_loop()
        self._servers.append(await loop.create_server(ChangeLogStub, HOST, self.ports.changelog))
        for number in range(self._engines):
            server = await loop.create_server(
                lambda: EngineStub(self._delay), engine_host(number), self.ports.engines, backlog=BACKLOG
            )
            self._servers.append(server)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close all listening sockets."""
        for server in self._servers:
            server.close()
