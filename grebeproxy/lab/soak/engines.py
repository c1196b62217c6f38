"""Stand-ins for engines that fail in a chosen way, and record every attempt that reaches them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from enum import StrEnum
from random import Random
from typing import Any, cast

import hiredis

from grebeproxy.lab.scale.addresses import LOOPBACK_HOST, Address
from grebeproxy.lab.scale.deployment import GONE, UP, EngineRecord
from grebeproxy.lab.scale.hollow_engines import PAGE
from grebeproxy.units import MS_PER_SECOND
from grebeproxy.lab.soak.recording import Attempt, End

RUN_TIME_S = (0.005, 0.06)  # range of a statement's run time
PAGES = 2  # pages of about a third of the results, so that routers also fetch results page by page
LOAD_REPORT = b"gauges=cpu_share:0.1;pending:0;x0:0.05"
HALF_DIVISOR = 2  # divisor of an answer's length for half an answer


class Mode(StrEnum):
    """How an engine answers statements."""

    WELL = "well"
    HANGING = "hanging"  # accepts statements and never answers
    REFUSING = "refusing"
    FAILING = "failing"
    HALF_ANSWERS = "half answers"  # sends the first half of an answer, and then nothing more


class Engine:
    """One engine, across its restarts."""

    def __init__(self, number: int, rng: Random, record: Callable[[Attempt], None]) -> None:
        self.number = number
        self.rng = rng
        self.record = record
        self.mode = Mode.WELL
        self.started_ms = 0
        self.state = UP
        self.connections: set[EngineConnection] = set()
        self._address: Address = (LOOPBACK_HOST, 0)
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Begin to serve, at the earlier address if the engine has listened before."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: EngineConnection(self), *self._address, reuse_address=True
        )
        self._address = (LOOPBACK_HOST, int(self._server.sockets[0].getsockname()[1]))

    async def restart(self) -> None:
        """Act as a new process at the same address: reset the connections and set a new start time."""
        self.close()
        await asyncio.sleep(0.0)  # The transports close in the next iteration of the event loop.
        self.started_ms = int(time.time() * MS_PER_SECOND)
        self.mode = Mode.WELL
        self.state = UP
        await self.listen()

    def close(self) -> None:
        """Stop serving, and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.abort()

    def leave(self) -> None:
        """Stop serving permanently, as an engine that is gone."""
        self.state = GONE
        self.close()

    def entry(self) -> EngineRecord:
        """The engine's entry in the change log."""
        return EngineRecord(self.number, self._address, self.state, self.started_ms)


class EngineConnection(asyncio.Protocol):
    """One connection from a router."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._reader = hiredis.Reader()
        self._transport: asyncio.Transport | None = None
        self._attempts: dict[bytes, Attempt] = {}  # attempts in flight on this connection, by txn
        self._cut_short = False  # Half an answer was written, so nothing more may follow.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._engine.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempts in flight on the connection."""
        self._engine.connections.discard(self)
        self._end_all()

    def abort(self) -> None:
        """Reset the connection."""
        self._end_all()
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Handle each complete command."""
        self._reader.feed(data)
        while (command := self._reader.gets()) is not False:
            match command:
                case [b"REQ", txn, _, _]:
                    self._start_attempt(txn)
                case [b"STOP" | b"END", txn]:
                    self._end(txn, End.STOPPED)
                case [b"FETCH", txn, page]:
                    self._send_page(txn, page)
                case [b"HELO", tag]:
                    self._write(tag, b"yes", b"-", b"")

    def _start_attempt(self, txn: bytes) -> None:
        attempt = Attempt(txn.decode(), self._engine.number, time.monotonic())
        self._engine.record(attempt)
        self._attempts[txn] = attempt
        match self._engine.mode:
            case Mode.REFUSING:
                self._finish(txn, End.NEVER_RAN, b"refused", b"-", b"")
            case Mode.HANGING:
                pass
            case _:
                delay = self._engine.rng.uniform(*RUN_TIME_S)
                asyncio.get_running_loop().call_later(delay, self._answer, txn)

    def _answer(self, txn: bytes) -> None:
        if txn not in self._attempts:
            return  # The attempt ended before its answer was due.
        match self._engine.mode:
            case Mode.FAILING:
                self._finish(txn, End.ANSWERED, b"error", b"-", b"it failed")
            case Mode.HALF_ANSWERS:
                self._write_half(txn)
            case Mode.HANGING:
                pass
            case _ if int(txn, 16) % 3 == 0:
                self._write(txn, b"ok", b"count=%d,%s" % (PAGES, LOAD_REPORT), PAGE)
            case _:
                self._finish(txn, End.ANSWERED, b"ok", b"count=1," + LOAD_REPORT, PAGE)

    def _send_page(self, txn: bytes, page: bytes) -> None:
        if txn in self._attempts:
            self._finish(txn, End.ANSWERED, b"batch", b"pos=" + page, PAGE)

    def _write_half(self, txn: bytes) -> None:
        data = _pack_command(txn, b"ok", b"count=1," + LOAD_REPORT, PAGE)
        if self._transport is not None and not self._transport.is_closing() and not self._cut_short:
            self._cut_short = True
            self._transport.write(data[: len(data) // HALF_DIVISOR])

    def _finish(self, txn: bytes, end: End, *words: bytes) -> None:
        self._write(txn, *words)
        self._end(txn, end)

    def _write(self, *words: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing() and not self._cut_short:
            self._transport.write(_pack_command(*words))

    def _end(self, txn: bytes, end: End) -> None:
        attempt = self._attempts.pop(txn, None)
        if attempt is not None:
            attempt.ended_at, attempt.end = time.monotonic(), end

    def _end_all(self) -> None:
        for txn in list(self._attempts):
            self._end(txn, End.CLOSED)


def _pack_command(*words: Any) -> bytes:
    packed: bytes = hiredis.pack_command(words)
    return packed
