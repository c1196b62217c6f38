"""Real router processes send only to their subsets of engines while racks fail and routers restart.

Engines and the change log run in the test's process and use the real protocols. A request's ``txn`` contains
the index of its router, which tells an engine who sent a statement.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import hiredis
import msgpack
import orjson
from exchange import with_changes

from grebeproxy import Choice, Settings
from grebeproxy.config import parse
from grebeproxy.net.changelog import CHANGES, FULL, HEAD, HEARTBEAT, RECORD
from grebeproxy.policy.interface import Engine, EngineList, EngineState, ListKind

ROUTERS, INDEXES = 200, (0, 67, 121, 199)  # routers in the settings, and the indexes of those that run
ZONES, ENGINES, RACK = ("room-1", "room-2", "room-3"), 72, 8  # zones, engines in all, engines in a rack
CLIENTS, PAUSE = 3, 0.025  # clients of each router, and seconds between two requests of a client
RUN_TIME = 0.02  # seconds that an engine needs for a statement
DRAIN_GRACE = 2.0  # seconds in which a router has to stop sending; `stopSendingWithin` of the example
SETTLE_TIME = 0.5  # seconds after a change until routers send only to the new subset
HEARTBEAT_INTERVAL = 0.5  # seconds between two frames of the change log without changes
STATES = {EngineState.UP: 0, EngineState.DRAINING: 1, EngineState.GONE: 2}
STATUS = "Ready"
TXN_BITS = 32  # low bits of a txn, which hold the request's number; the high bits hold the router's index


def expected_subset(settings: Settings, engines: Iterable[Engine]) -> set[str]:
    """The engines that the decision module uses, given this list of engines."""
    choice = Choice(settings, now=0.0, seed=1)
    choice.handle(0.0, [EngineList(ListKind.FULL, tuple(engines))])
    return {engine for engine, node in choice.engines.items() if choice.is_usable(node)}


@dataclass(frozen=True, slots=True)
class Received:
    """A statement that reached an engine."""

    at: float
    router: int
    engine: str


@dataclass(slots=True)
class HollowEngine:
    """An engine that answers every statement with one row."""

    number: int
    zone: int
    received: list[Received]
    port: int = 0
    state: EngineState = EngineState.UP
    started_ms: int = 0
    server: asyncio.Server | None = None
    connections: set[asyncio.Transport] = field(default_factory=set)

    @property
    def id(self) -> str:
        return f"s-{self.number:08x}"

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: EngineConnection(self), "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        assert self.server is not None
        self.server.close()
        for connection in list(self.connections):
            connection.abort()

    def entry(self) -> Engine:
        return Engine(self.id, "typ-a", ZONES[self.zone], 0, self.state)

    def record(self) -> bytes:
        host = int.from_bytes(socket.inet_aton("127.0.0.1"), "big")
        state = STATES[self.state]
        return RECORD.pack(self.number, host, self.port, state, self.zone, 0, 0, 1000, self.started_ms)


class EngineConnection(asyncio.Protocol):
    """One connection from a router."""

    def __init__(self, engine: HollowEngine) -> None:
        self.engine, self.reader = engine, hiredis.Reader()
        self.running: dict[bytes, asyncio.TimerHandle] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.engine.connections.add(self.transport)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (words := self.reader.gets()) is not False:
            command, name = words[0], words[1]
            if command == b"REQ":
                self.run_statement(name)
            elif command == b"STOP" and name in self.running:
                self.running.pop(name).cancel()
            elif command == b"HELO":
                self.answer(name, b"yes", b"-", b"")

    def run_statement(self, txn: bytes) -> None:
        router = int(txn, 16) >> TXN_BITS
        self.engine.received.append(Received(time.monotonic(), router, self.engine.id))
        self.running[txn] = asyncio.get_running_loop().call_later(RUN_TIME, self.send_result, txn)

    def send_result(self, txn: bytes) -> None:
        del self.running[txn]
        self.answer(txn, b"ok", b"count=1,gauges=cpu_share:0.1;pending:0;x0:0.05", b"1\trow\tmade up\n")

    def answer(self, *words: Any) -> None:
        if not self.transport.is_closing():
            self.transport.write(hiredis.pack_command(words))

    def connection_lost(self, exc: Exception | None) -> None:
        self.engine.connections.discard(self.transport)
        for run in self.running.values():
            run.cancel()


class ChangeLog:
    """Sends every router the full list, then changes, and heartbeats while there are no changes."""

    def __init__(self, engines: list[HollowEngine]) -> None:
        self.frames = [self.frame(FULL, 1, engines)]
        self.announced: list[tuple[float, str, EngineState]] = []
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @staticmethod
    def frame(kind: int, seq: int, engines: Iterable[HollowEngine] = ()) -> bytes:
        records = b"".join(engine.record() for engine in engines)
        return HEAD.pack(HEAD.size - 4 + len(records), seq, kind) + records

    async def listen(self) -> str:
        self.server = await asyncio.start_server(self.serve_router, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def announce(self, engines: list[HollowEngine], state: EngineState) -> None:
        for engine in engines:
            engine.state = state
            engine.started_ms = int(time.time() * 1000) if state is EngineState.UP else engine.started_ms
        self.frames.append(self.frame(CHANGES, len(self.frames) + 1, engines))
        self.announced += [(time.monotonic(), engine.id, state) for engine in engines]

    async def serve_router(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            seq = int.from_bytes(await reader.readexactly(8), "big")
            while True:
                frames = self.frames[seq:] or [self.frame(HEARTBEAT, seq)]
                writer.write(b"".join(frames))
                await writer.drain()
                seq = len(self.frames)
                until = time.monotonic() + HEARTBEAT_INTERVAL
                while len(self.frames) == seq and time.monotonic() < until:
                    await asyncio.sleep(0.01)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    def close(self) -> None:
        assert self.server is not None
        self.server.close()
        for task in self.tasks:
            task.cancel()


class RouterProcess:
    """One router, over all its restarts."""

    def __init__(self, folder: Path, index: int, changelog: str, engines: list[HollowEngine]) -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.index, self.log = index, folder / f"router-{index}.log"
        endpoints = [
            {
                "name": engine.id,
                "address": f"127.0.0.1:{engine.port}",
                "zone": ZONES[engine.zone],
                "type": "typ-a",
                "group": 0,
                "status": STATUS,
                "weight": 1,
                "since_ms": 0,
            }
            for engine in engines
        ]
        document = with_changes(
            {
                "name": f"router-{index}",
                "listen": f"127.0.0.1:{self.port}",
                "changelog": changelog,
                "known.results.0.fleet.endpoints": endpoints,
                "settings.balancers": ROUTERS,
                "settings.me": index,
                "settings.zone": ZONES[index % len(ZONES)],
                "settings.zones": list(ZONES),
                "settings.obligations.rampTime": 1000.0,
                "settings.obligations.overloadFor": 1000.0,
                "settings.orgs.0.allowancePerS": 40000.0,
                "settings.orgs.1.allowancePerS": 40000.0,
            }
        )
        self.config = folder / f"router-{index}.json"
        self.config.write_bytes(orjson.dumps(document))
        self.settings = parse(document).settings
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "grebeproxy"],
                stdout=log,
                stderr=log,
                env={**os.environ, "BALANCER_CONFIG": str(self.config)},
            )

    async def stop(self, number: signal.Signals) -> int:
        assert self.process is not None
        self.process.send_signal(number)
        return await asyncio.to_thread(self.process.wait, 20)

    def end(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()


@dataclass(slots=True)
class Tally:
    """Counts of the requests to one router and of their answers."""

    asked: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    retried: int = 0  # requests that were retried because their connection ended first


class Client:
    """Sends requests to one router one after the other, over one connection at a time."""

    def __init__(self, router: RouterProcess, number: int, tally: Tally) -> None:
        self.router, self.tally, self.next_number = router, tally, number
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.unpacker = msgpack.Unpacker()

    async def run(self, stopped: asyncio.Event) -> None:
        while not stopped.is_set():
            self.tally.asked += 1
            self.tally.answers[await asyncio.wait_for(self.ask(), 15)] += 1
            self.next_number += CLIENTS
            await asyncio.sleep(PAUSE)
        if self.writer is not None:
            self.writer.close()

    async def ask(self) -> str:
        """The only answer to one request, which is retried if its connection ends first."""
        fields = {
            "txn": f"{(self.router.index << TXN_BITS) + self.next_number:016x}",
            "limit": "2000",
            "team": "city",
            "cpu": "5.0",
        }
        while True:
            try:
                if self.writer is None:
                    await self.connect()
                return await self.exchange(
                    msgpack.packb([0, self.next_number, "lookup", [fields, b"SELECT n FROM ops_3.t"]])
                )
            except (OSError, asyncio.IncompleteReadError):
                if self.writer is not None:
                    self.tally.retried += 1
                    self.writer.close()
                    self.writer = None
                fields["second"] = "1"
                await asyncio.sleep(0.05)

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.router.port)
        self.unpacker = msgpack.Unpacker()

    async def exchange(self, request: bytes) -> str:
        assert self.reader is not None and self.writer is not None
        self.writer.write(request)
        messages: list[Any] = []
        while not messages:
            if not (data := await self.reader.read(65536)):
                raise asyncio.IncompleteReadError(b"", None)
            self.unpacker.feed(data)
            messages = list(self.unpacker)
        # There is exactly one answer, to this request. A second one would be read here or before the next.
        assert [message[1] for message in messages] == [self.next_number]
        error = messages[0][2]
        return "served" if error is None else str(error[0])


@dataclass(frozen=True, slots=True)
class Span:
    """A period in which the engine list does not change and routers send only to their subsets."""

    since: float
    until: float
    engines: tuple[Engine, ...]


class Scenario:
    """Routers, engines, the change log and clients, and what was observed of them."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.received: list[Received] = []
        self.engines = [HollowEngine(n + 1, n % len(ZONES), self.received) for n in range(ENGINES)]
        self.log = ChangeLog(self.engines)
        self.routers: list[RouterProcess] = []
        self.tallies: dict[int, Tally] = defaultdict(Tally)
        self.spans: list[Span] = []
        self.statuses: list[int] = []
        self.stopped = asyncio.Event()

    async def play(self) -> None:
        for engine in self.engines:
            await engine.listen()
        # The first event of the change log contains the engines' ports, which are known only now.
        self.log.frames[0] = ChangeLog.frame(FULL, 1, self.engines)
        changelog = await self.log.listen()
        self.routers = [RouterProcess(self.folder, index, changelog, self.engines) for index in INDEXES]
        try:
            for router in self.routers:
                router.start()
            clients = [
                asyncio.create_task(Client(router, number, self.tallies[router.index]).run(self.stopped))
                for router in self.routers
                for number in range(1, CLIENTS + 1)
            ]
            await self.wait_until(lambda: all(self.tallies[index].answers for index in INDEXES))
            await self.fail_and_restore_racks()
            self.stopped.set()
            await asyncio.gather(*clients)
        finally:
            for router in self.routers:
                router.end()
            self.log.close()
            for engine in self.engines:
                engine.stop()

    async def fail_and_restore_racks(self) -> None:
        in_first_zone = [engine for engine in self.engines if engine.zone == 0]
        rack, drained = in_first_zone[:RACK], in_first_zone[RACK : 2 * RACK]
        await self.record_span(2.0)
        for engine in rack:
            engine.stop()
        await asyncio.sleep(0.4)
        self.log.announce(rack, EngineState.GONE)
        self.log.announce(drained, EngineState.DRAINING)
        restarts = asyncio.gather(self.kill(self.routers[1]), self.restart(self.routers[2]))
        await self.record_span(3.5)
        await restarts
        self.log.announce(drained, EngineState.GONE)
        await self.record_span(1.5)
        for engine in rack:
            await engine.listen()
        self.log.announce(rack + drained, EngineState.UP)
        await self.record_span(3.0)

    async def kill(self, router: RouterProcess) -> None:
        await router.stop(signal.SIGKILL)
        router.start()

    async def restart(self, router: RouterProcess) -> None:
        self.statuses.append(await router.stop(signal.SIGTERM))
        router.start()

    async def record_span(self, seconds: float) -> None:
        """Wait while the engine list does not change, and record the span without its settle time."""
        await asyncio.sleep(SETTLE_TIME)
        since = time.monotonic()
        await asyncio.sleep(seconds - SETTLE_TIME)
        entries = tuple(engine.entry() for engine in self.engines)
        self.spans.append(Span(since, time.monotonic(), entries))

    async def wait_until(self, reached: Callable[[], bool], timeout: float = 15.0) -> None:
        until = time.monotonic() + timeout
        while not reached():
            assert time.monotonic() < until, "the routers do not serve"
            await asyncio.sleep(0.02)

    def sent_in(self, span: Span) -> dict[int, set[str]]:
        """The engines to which each router sent statements in a span, by router index."""
        sent: dict[int, set[str]] = defaultdict(set)
        for received in self.received:
            if span.since <= received.at <= span.until:
                sent[received.router].add(received.engine)
        return sent

    def late_sends(self) -> list[Received]:
        """Statements that reached an engine after the drain grace since it was announced gone or draining."""
        late = []
        for received in self.received:
            announced = [(at, state) for at, engine, state in self.log.announced if engine == received.engine]
            earlier = [(at, state) for at, state in announced if at <= received.at]
            if earlier and earlier[-1][1] is not EngineState.UP:
                up_since = max([at for at, state in earlier if state is EngineState.UP], default=0.0)
                first = min(at for at, state in earlier if at > up_since)
                if received.at > first + DRAIN_GRACE:
                    late.append(received)
        return late


def test_routers_send_only_to_their_subsets_through_rack_failures_and_restarts(tmp_path: Path) -> None:
    async def play() -> Scenario:
        scenario = Scenario(tmp_path)
        await scenario.play()
        return scenario

    scenario = asyncio.run(play())
    check_answers(scenario)
    assert scenario.late_sends() == []
    check_subsets(scenario)


def check_answers(scenario: Scenario) -> None:
    """Every request has one answer, nearly all are served, and only those to stopped routers are retried."""
    killed, restarted = INDEXES[1], INDEXES[2]
    for index in INDEXES:
        tally = scenario.tallies[index]
        refused = tally.answers["TryLater"]
        assert sum(tally.answers.values()) == tally.asked > 200
        # A stopping router rejects requests that it cannot answer in time, and ends their connections.
        assert tally.answers["served"] >= (0.9 if index == restarted else 0.97) * tally.asked, tally.answers
        max_retried = {killed: CLIENTS, restarted: CLIENTS + refused}.get(index, 0)
        assert tally.retried <= max_retried, (index, tally)
    assert scenario.statuses == [0]


def check_subsets(scenario: Scenario) -> None:
    """While the engine list does not change, routers send only to their subsets."""
    assert len(scenario.spans) == 4
    subsets = []
    for span in scenario.spans:
        sent = scenario.sent_in(span)
        for router in scenario.routers:
            subset = expected_subset(router.settings, span.engines)
            usable = {engine.id for engine in span.engines if engine.state is EngineState.UP}
            assert subset <= usable and len(subset) < len(usable)
            assert sent[router.index] <= subset, (router.index, sent[router.index] - subset)
            assert sent[router.index]
            subsets.append(frozenset(subset))
    assert len(set(subsets)) > len(INDEXES)  # Subsets differ between routers and change with the list.
