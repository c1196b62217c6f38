"""Real routers that each keep to a subset of engines, while racks come and go and routers are restarted.

Engines and the change log live in the test's process and speak the real protocols. A request's ``txn``
carries its router's number, so an engine knows who sent it what.
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

BALANCERS, INDEXES = 200, (0, 67, 121, 199)  # routers in all, and those of them that run here
ZONES, ENGINES, RACK = ("room-1", "room-2", "room-3"), 72, 8
CLIENTS, PAUSE = 3, 0.025  # connections to each router, and seconds between two requests of one
RUNS = 0.02  # seconds that an engine takes
GRACE = 2.0  # seconds in which a router is to stop sending; `stopSendingWithin` of the example
SETTLED = 0.5  # seconds after a change from which routers keep to the new subset
SIGN_OF_LIFE = 0.5  # seconds from one frame of the change log to the next where nothing is new
STATES = {EngineState.UP: 0, EngineState.DRAINING: 1, EngineState.GONE: 2}
STATUS = "Ready"
TXN_BITS = 32  # of a request's number; the router's index is above them


def expected_subset(settings: Settings, engines: Iterable[Engine]) -> set[str]:
    """The engines that the decision module works with by this list."""
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
                self.take(name)
            elif command == b"STOP" and name in self.running:
                self.running.pop(name).cancel()
            elif command == b"HELO":
                self.answer(name, b"yes", b"-", b"")

    def take(self, txn: bytes) -> None:
        router = int(txn, 16) >> TXN_BITS
        self.engine.received.append(Received(time.monotonic(), router, self.engine.id))
        self.running[txn] = asyncio.get_running_loop().call_later(RUNS, self.served, txn)

    def served(self, txn: bytes) -> None:
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
    """Tells every router the whole list first, then changes; a sign of life where there are none."""

    def __init__(self, engines: list[HollowEngine]) -> None:
        self.frames = [self.frame(FULL, 1, engines)]
        self.told: list[tuple[float, str, EngineState]] = []
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @staticmethod
    def frame(kind: int, seq: int, engines: Iterable[HollowEngine] = ()) -> bytes:
        records = b"".join(engine.record() for engine in engines)
        return HEAD.pack(HEAD.size - 4 + len(records), seq, kind) + records

    async def listen(self) -> str:
        self.server = await asyncio.start_server(self.follow, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def tell(self, engines: list[HollowEngine], state: EngineState) -> None:
        for engine in engines:
            engine.state = state
            engine.started_ms = int(time.time() * 1000) if state is EngineState.UP else engine.started_ms
        self.frames.append(self.frame(CHANGES, len(self.frames) + 1, engines))
        self.told += [(time.monotonic(), engine.id, state) for engine in engines]

    async def follow(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
                until = time.monotonic() + SIGN_OF_LIFE
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
    """One router, over all its lives."""

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
        told = with_changes(
            {
                "name": f"router-{index}",
                "listen": f"127.0.0.1:{self.port}",
                "changelog": changelog,
                "known.results.0.fleet.endpoints": endpoints,
                "settings.balancers": BALANCERS,
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
        self.config.write_bytes(orjson.dumps(told))
        self.settings = parse(told).settings
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
    """What clients of one router were told."""

    asked: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    crossed: int = 0  # requests that were asked again, as their connection ended first


class Client:
    """Asks one router steadily over one connection at a time, one request after the other."""

    def __init__(self, router: RouterProcess, number: int, tally: Tally) -> None:
        self.router, self.tally, self.next = router, tally, number
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.unpacker = msgpack.Unpacker()

    async def run(self, stopped: asyncio.Event) -> None:
        while not stopped.is_set():
            self.tally.asked += 1
            self.tally.answers[await asyncio.wait_for(self.ask(), 15)] += 1
            self.next += CLIENTS
            await asyncio.sleep(PAUSE)
        if self.writer is not None:
            self.writer.close()

    async def ask(self) -> str:
        """The one answer to one request, which is asked again where its connection ends first."""
        fields = {
            "txn": f"{(self.router.index << TXN_BITS) + self.next:016x}",
            "limit": "2000",
            "team": "city",
            "cpu": "5.0",
        }
        while True:
            try:
                if self.writer is None:
                    await self.connect()
                return await self.exchange(
                    msgpack.packb([0, self.next, "lookup", [fields, b"SELECT n FROM ops_3.t"]])
                )
            except (OSError, asyncio.IncompleteReadError):
                if self.writer is not None:
                    self.tally.crossed += 1
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
        # Exactly one, and to this request: a second answer would be read here, or before the next.
        assert [message[1] for message in messages] == [self.next]
        error = messages[0][2]
        return "served" if error is None else str(error[0])


@dataclass(frozen=True, slots=True)
class Span:
    """A time in which the list stays as it is, and routers keep to its subsets."""

    since: float
    until: float
    engines: tuple[Engine, ...]


class Scenario:
    """Routers, engines, change log and clients, and what came of them."""

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
        # The engines' ports are known only now, and belong to the first event of the log.
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
            await self.until(lambda: all(self.tallies[index].answers for index in INDEXES))
            await self.fault_and_return()
            self.stopped.set()
            await asyncio.gather(*clients)
        finally:
            for router in self.routers:
                router.end()
            self.log.close()
            for engine in self.engines:
                engine.stop()

    async def fault_and_return(self) -> None:
        in_first_zone = [engine for engine in self.engines if engine.zone == 0]
        rack, drained = in_first_zone[:RACK], in_first_zone[RACK : 2 * RACK]
        await self.settled(2.0)
        for engine in rack:
            engine.stop()
        await asyncio.sleep(0.4)
        self.log.tell(rack, EngineState.GONE)
        self.log.tell(drained, EngineState.DRAINING)
        restarts = asyncio.gather(self.kill(self.routers[1]), self.restart(self.routers[2]))
        await self.settled(3.5)
        await restarts
        self.log.tell(drained, EngineState.GONE)
        await self.settled(1.5)
        for engine in rack:
            await engine.listen()
        self.log.tell(rack + drained, EngineState.UP)
        await self.settled(3.0)

    async def kill(self, router: RouterProcess) -> None:
        await router.stop(signal.SIGKILL)
        router.start()

    async def restart(self, router: RouterProcess) -> None:
        self.statuses.append(await router.stop(signal.SIGTERM))
        router.start()

    async def settled(self, seconds: float) -> None:
        """Let time pass on one list, and remember it."""
        await asyncio.sleep(SETTLED)
        since = time.monotonic()
        await asyncio.sleep(seconds - SETTLED)
        entries = tuple(engine.entry() for engine in self.engines)
        self.spans.append(Span(since, time.monotonic(), entries))

    async def until(self, reached: Callable[[], bool], most: float = 15.0) -> None:
        until = time.monotonic() + most
        while not reached():
            assert time.monotonic() < until, "the routers do not serve"
            await asyncio.sleep(0.02)

    def sent_in(self, span: Span) -> dict[int, set[str]]:
        """The engines to which each router sent something in a span."""
        sent: dict[int, set[str]] = defaultdict(set)
        for received in self.received:
            if span.since <= received.at <= span.until:
                sent[received.router].add(received.engine)
        return sent

    def late_sends(self) -> list[Received]:
        """What reached an engine later than the grace after it was told gone or draining."""
        late = []
        for received in self.received:
            told = [(at, state) for at, engine, state in self.log.told if engine == received.engine]
            before = [(at, state) for at, state in told if at <= received.at]
            if before and before[-1][1] is not EngineState.UP:
                out_since = max([at for at, state in before if state is EngineState.UP], default=0.0)
                first = min(at for at, state in before if at > out_since)
                if received.at > first + GRACE:
                    late.append(received)
        return late


def test_routers_keep_to_their_subsets_through_racks_and_restarts(tmp_path: Path) -> None:
    async def play() -> Scenario:
        scenario = Scenario(tmp_path)
        await scenario.play()
        return scenario

    scenario = asyncio.run(play())
    check_answers(scenario)
    assert scenario.late_sends() == []
    check_subsets(scenario)


def check_answers(scenario: Scenario) -> None:
    """Every request has one answer, nearly all are served, and none is asked again but of stopped routers."""
    killed, restarted = INDEXES[1], INDEXES[2]
    for index in INDEXES:
        tally = scenario.tallies[index]
        refused = tally.answers["TryLater"]
        assert sum(tally.answers.values()) == tally.asked > 200
        # One that is being stopped refuses what it could not answer in time, and ends the connection.
        assert tally.answers["served"] >= (0.9 if index == restarted else 0.97) * tally.asked, tally.answers
        most_crossed = {killed: CLIENTS, restarted: CLIENTS + refused}.get(index, 0)
        assert tally.crossed <= most_crossed, (index, tally)
    assert scenario.statuses == [0]


def check_subsets(scenario: Scenario) -> None:
    """Whenever the list stands, routers send to their subset alone."""
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
    assert len(set(subsets)) > len(INDEXES)  # they differ between routers, and changed with the list
