"""Stand-ins of the second review: engines, a change log, clients and router processes on loopback addresses.

They speak the operators' protocol and do nothing that its pages do not allow. One event loop plays all of
them; the routers are separate processes, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import hiredis
import msgpack

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROW = b"1\ta\tb\n"
PAGE_BYTES = 6000
UP, DRAINING, GONE = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played; this says nothing about the rule."""


FAULTS: list[str] = []  # of the script and its stand-ins


def guarded(handler: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., Coroutine[Any, Any, None]]:
    """The handler of a connection, which notes a fault of its own; asyncio would keep it to itself."""

    async def handle(*args: Any) -> None:
        try:
            await handler(*args)
        except OSError:
            pass  # The other side has ended the connection.
        except Exception as error:
            FAULTS.append(f"a stand-in failed: {type(error).__name__} {error}")
            raise

    return handle


class Record:
    """What was sent, answered and run, written to the case's ``record.txt`` line by line as it is seen."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as bound:
        bound.bind((HOST, 0))
        return int(bound.getsockname()[1])


# --- engines


@dataclass
class Run:
    """One attempt that has reached an engine whole."""

    engine: str
    txn: str
    fields: dict[str, str]
    statement: bytes
    began: float
    ended: float | None = None
    end: str = "running"  # then: answered, stopped or closed


class Engine:
    """An engine that runs all that it is sent at once; ``run_time`` gives the seconds that a run takes."""

    def __init__(self, number: int, record: Record, run_time: Callable[[Run], float]) -> None:
        self.number = number
        self.name = f"s-{number:08x}"
        self.record = record
        self.run_time = run_time
        self.runs: list[Run] = []
        self.port = 0
        self.result: Callable[[Run], bytes] = lambda run: ROW
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        self._server = await asyncio.start_server(guarded(self._serve), HOST, self.port)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        commands = hiredis.Reader()
        open_runs: dict[bytes, tuple[Run, asyncio.TimerHandle]] = {}
        pages: dict[bytes, list[bytes]] = {}  # of the results of which more than one page is asked for
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(65536):
                commands.feed(data)
                while (command := commands.gets()) is not False:
                    self._on_command(command, writer, open_runs, pages)
        for run, timer in open_runs.values():
            timer.cancel()
            self._end(run, "closed")
        writer.close()

    def _on_command(
        self,
        command: Any,
        writer: asyncio.StreamWriter,
        open_runs: dict[bytes, tuple[Run, asyncio.TimerHandle]],
        pages: dict[bytes, list[bytes]],
    ) -> None:
        match command:
            case [b"REQ", txn, fields, statement]:
                run = Run(self.name, txn.decode(), _fields(fields), statement, time.monotonic())
                self.runs.append(run)
                self.record.note(f"{self.name} runs {run.txn} {fields.decode()} {statement[:60]!r}")

                def answer() -> None:
                    del open_runs[txn]
                    self._end(run, "answered")
                    pages[txn] = _pages(self.result(run))
                    _send(writer, txn, b"ok", b"count=%d" % len(pages[txn]), pages[txn][0])

                timer = asyncio.get_running_loop().call_later(self.run_time(run), answer)
                open_runs[txn] = (run, timer)
            case [b"FETCH", txn, number]:
                found = pages.get(txn, [])[int(number) :][:1]
                _send(writer, txn, b"batch" if found else b"error", b"pos=" + number, *(found or [b""]))
            case [b"END", txn] if txn in pages:
                del pages[txn]
            case [b"STOP" | b"END", txn] if txn in open_runs:
                run, timer = open_runs.pop(txn)
                timer.cancel()
                self._end(run, "stopped")
            case [b"HELO", tag]:
                _send(writer, tag, b"yes", b"-", b"")

    def _end(self, run: Run, end: str) -> None:
        run.ended, run.end = time.monotonic(), end
        self.record.note(f"{self.name} {run.txn} {end} after {run.ended - run.began:.3f} s")


def _pages(result: bytes) -> list[bytes]:
    """The result in pages of whole rows, of which each has 6,000 bytes at most."""
    pages = [b""]
    for row in result.splitlines(keepends=True):
        if len(pages[-1]) + len(row) > PAGE_BYTES:
            pages.append(b"")
        pages[-1] += row
    return pages


def _fields(text: bytes) -> dict[str, str]:
    if text == b"-":
        return {}
    return dict(item.split("=", 1) for item in text.decode().split(","))


def _send(writer: asyncio.StreamWriter, *words: bytes) -> None:
    if not writer.is_closing():
        writer.write(hiredis.pack_command(words))


# --- the change log


class ChangeLog:
    """The change log of a fleet whose first event the configuration holds; an empty frame each second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.seq = 1
        self.port = 0
        self._events: list[bytes] = []  # frames of the events from 2 on
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        self._server = await asyncio.start_server(guarded(self._serve), HOST, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    def tell(self, *records: tuple[Engine, int, int]) -> None:
        """Tell changes: each is an engine, its state and its start as a Unix time in milliseconds."""
        payload = b"".join(
            struct.pack(
                ">I4sHBBBHIQ",
                engine.number,
                socket.inet_aton(HOST),
                engine.port,
                state,
                0,
                0,
                0,
                1000,
                started,
            )
            for engine, state, started in records
        )
        self.seq += 1
        frame = struct.pack(">IQB", 9 + len(payload), self.seq, 2) + payload
        self._events.append(frame)
        self.record.note(f"change log tells event {self.seq}: {[(e.name, state) for e, state, _ in records]}")
        for writer in self._writers:
            writer.write(frame)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            (last,) = struct.unpack(">Q", await reader.readexactly(8))
            writer.write(b"".join(self._events[max(0, last - 1) :]))
            self._writers.add(writer)
            while not writer.is_closing():
                writer.write(struct.pack(">IQB", 9, self.seq, 0))
                await asyncio.sleep(1.0)
        except (OSError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


# --- clients


@dataclass
class Asked:
    """One request of a client, and what became of it."""

    txn: str
    query_class: str
    sent_at: float
    limit: float
    answer: asyncio.Future[str]  # served, TryLater, another error, or lost


@dataclass
class Client:
    """One connection of a client to a router."""

    name: str
    record: Record
    port: int
    tenant: str = "city"
    asked: dict[int, Asked] = field(default_factory=dict)
    ended: bool = False
    _last_id: int = 0
    _writer: asyncio.StreamWriter | None = None
    _task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        reader, self._writer = await asyncio.open_connection(HOST, self.port)
        self._task = asyncio.create_task(guarded(self._read)(reader))

    def prepare(
        self, query_class: str, limit_ms: int, statement: bytes, **fields: str
    ) -> tuple[Asked, list[Any]]:
        """A request with the next message id, and its message, which the caller has to write at once."""
        self._last_id += 1
        txn = os.urandom(8).hex()
        values = {
            "txn": txn,
            "limit": str(limit_ms),
            "team": self.tenant,
            "cpu": "50.0",
            "mb": "16",
            **fields,
        }
        answer: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        asked = Asked(txn, query_class, time.monotonic(), limit_ms / 1000, answer)
        self.asked[self._last_id] = asked
        self.record.note(f"{self.name} asks {self._last_id} {query_class} {txn} {fields} {statement[:60]!r}")
        return asked, [0, self._last_id, query_class, [values, statement]]

    def write(self, data: bytes) -> None:
        assert self._writer is not None
        self._writer.write(data)

    def ask(self, query_class: str, limit_ms: int, statement: bytes, **fields: str) -> Asked:
        asked, message = self.prepare(query_class, limit_ms, statement, **fields)
        self.write(msgpack.packb(message))
        return asked

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        unpacker = msgpack.Unpacker()
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                unpacker.feed(data)
                for message in unpacker:
                    self._on_answer(message)
        self.ended = True
        self.record.note(f"{self.name}: the connection has ended")
        for number, asked in self.asked.items():
            if not asked.answer.done():
                self.record.note(f"{self.name} {number} {asked.query_class} {asked.txn} has no answer")
                asked.answer.set_result("lost")

    def _on_answer(self, message: Any) -> None:
        _, number, error, result = message
        asked = self.asked.get(number)
        word = f"served {result[0][:40]!r}" if error is None else f"{error[0]} {error[1]}"
        self.record.note(f"{self.name} is answered {number}: {word}")
        if asked is not None and not asked.answer.done():
            asked.answer.set_result("served" if error is None else str(error[0]))


async def probe(port: int) -> bool:
    """Whether the router at this port answers ``probe`` with true."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                writer.write(msgpack.packb([0, 1, "probe", [{}]]))
                answer = msgpack.unpackb(await reader.read(1024))
                return bool(answer[3][0])
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError, TypeError):
        return False


# --- routers


def configuration(name: str, port: int, change_log: ChangeLog, engines: list[Engine]) -> dict[str, Any]:
    """The configuration of a small deployment, by the project's example."""
    document: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())
    document |= {"name": name, "listen": f"{HOST}:{port}", "changelog": f"{HOST}:{change_log.port}"}
    fleet = document["known"]["results"][0]["fleet"]
    model = fleet["endpoints"][0]
    fleet["endpoints"] = [
        {**model, "name": engine.name, "address": f"{HOST}:{engine.port}"} for engine in engines
    ]
    return document


class Router:
    """One router, across the processes that run it one after another."""

    def __init__(
        self, record: Record, document: dict[str, Any], folder: Path, peers: str | None = None
    ) -> None:
        self.record = record
        self.name = str(document["name"])
        self.port = int(document["listen"].rpartition(":")[2])
        self.folder = folder / self.name
        self.folder.mkdir()
        self.environment = {key: value for key, value in os.environ.items() if "BALANCER_" not in key}
        self.environment["BALANCER_CONFIG"] = str(self.folder / "config.json")
        self.write(document)
        if peers is not None:
            (self.folder / "peers.hcl").write_text(peers)
            self.environment["BALANCER_PEERS"] = str(self.folder / "peers.hcl")
        self.processes: list[subprocess.Popen[bytes]] = []

    def write(self, document: dict[str, Any]) -> None:
        """Replace the file of the configuration at once, as a sound editor does."""
        new = self.folder / "config.new"
        new.write_text(json.dumps(document))
        new.replace(self.folder / "config.json")

    @property
    def process(self) -> subprocess.Popen[bytes]:
        return self.processes[-1]

    def launch(self, descriptor: int | None = None, **environment: str) -> subprocess.Popen[bytes]:
        """Start a process with the command of the deploy file."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        with (self.folder / f"log-{len(self.processes)}").open("wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={**self.environment, "TMPDIR": str(temporary), **environment},
                stdout=log,
                stderr=log,
                pass_fds=() if descriptor is None else (descriptor,),
            )
        self.processes.append(process)
        self.record.note(f"{self.name}: process {len(self.processes)} starts")
        return process

    async def start(self) -> None:
        """Start a process, and wait until it answers probes with true."""
        process = self.launch()
        deadline = time.monotonic() + 30.0
        while not await probe(self.port):
            if process.poll() is not None or time.monotonic() > deadline:
                raise CannotRunError(f"{self.name} does not get ready: {self.log()}")
            await asyncio.sleep(0.05)
        self.record.note(f"{self.name}: ready")

    def send_signal(self, number: signal.Signals) -> None:
        self.record.note(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    async def wait_for_end(self, seconds: float) -> int | None:
        """The status of the latest process once it has ended; ``None`` if it still runs after the time."""
        deadline = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        status = self.process.poll()
        self.record.note(f"{self.name}: " + ("still runs" if status is None else f"ended with {status}"))
        return status

    def log(self) -> str:
        return (self.folder / f"log-{len(self.processes) - 1}").read_text(errors="replace")

    def end(self) -> None:
        """Kill the processes that still run."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for number in range(len(self.processes)):
            text = (self.folder / f"log-{number}").read_text(errors="replace")
            for line in text.splitlines()[:60]:
                self.record.note(f"log of {self.name}, process {number + 1}: {line[:300]}")


class Case:
    """What one case has started; all of it ends with the case."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.routers: list[Router] = []
        self.engines: list[Engine] = []
        self.change_log = ChangeLog(record)
        self.clients: list[Client] = []

    async def add_engines(self, count: int, run_time: Callable[[Run], float]) -> None:
        for _ in range(count):
            engine = Engine(len(self.engines) + 1, self.record, run_time)
            await engine.listen()
            self.engines.append(engine)
        if not self.change_log.port:
            await self.change_log.listen()

    def configuration(self, name: str, port: int | None = None) -> dict[str, Any]:
        return configuration(name, port or free_port(), self.change_log, self.engines)

    def add_router(self, document: dict[str, Any], peers: str | None = None) -> Router:
        router = Router(self.record, document, self.folder, peers)
        self.routers.append(router)
        return router

    async def add_client(self, name: str, router: Router) -> Client:
        client = Client(name, self.record, router.port)
        await client.connect()
        self.clients.append(client)
        return client

    def runs(self, statement: bytes) -> list[Run]:
        """The runs of a statement, on all engines, in the order of their beginning."""
        runs = [run for engine in self.engines for run in engine.runs if run.statement == statement]
        return sorted(runs, key=lambda run: run.began)

    def end(self) -> None:
        for client in self.clients:
            client.close()
        for router in self.routers:
            router.end()
        for engine in self.engines:
            engine.close()
        self.change_log.close()


def play(
    record_file: Path, scenario: Callable[[Case], Coroutine[Any, Any, list[str]]], seconds: float = 110.0
) -> None:
    """Play a scenario, which returns how the rule was broken, and exit with the case's status.

    A fault of the script or of a stand-in, or a signal that ends the script, is no broken rule: the case
    could not run.
    """
    record = Record(record_file)
    record.note(f"TROUBLE={int(WITH_TROUBLE)}")

    def on_fault(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None and not isinstance(error, OSError):
            FAULTS.append(f"a stand-in failed: {type(error).__name__} {error}")

    async def run() -> list[str]:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None
        loop.set_exception_handler(on_fault)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory(prefix="review-", ignore_cleanup_errors=True) as temporary:
            case = Case(record, Path(temporary))
            try:
                async with asyncio.timeout(seconds):
                    return await scenario(case)
            finally:
                case.end()

    try:
        lines = asyncio.run(run())
        status = BROKEN if lines else HELD
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        FAULTS.append(f"{type(error).__name__} {error}")
    if FAULTS:
        lines, status = [f"could not run: {fault}" for fault in dict.fromkeys(FAULTS)], COULD_NOT_RUN
    for line in lines:
        record.note(line)
        print(line)
    words = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "the case could not run"}
    record.note(f"exit {status}: {words[status]}")
    print(words[status])
    sys.exit(status)
