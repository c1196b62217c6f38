"""Stand-ins for engines, the change log and clients, and the processes of routers, for the cases in review/.

The stand-ins follow the protocol page. Everything listens on loopback addresses with free ports.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
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
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import hiredis
import msgpack

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be run, so that its result says nothing about the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._start = time.time()

    def now(self) -> float:
        return time.time() - self._start

    def __call__(self, text: str) -> None:
        self._file.write(f"{self.now():9.3f}  {text}\n")


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


# --- engines


@dataclass
class Run:
    """One request that an engine received whole."""

    engine: Engine
    txn: str
    cls: str
    token: str | None
    body: str
    began: float
    ended: float | None = None
    end: str = ""


Behaviour = Callable[[Run], Awaitable[list[bytes] | str | None]]


class Engine:
    """An engine. ``behaviour`` returns a result's pages, the word of another answer, or nothing at all.

    It keeps each result until all of its pages were fetched or given up.
    """

    def __init__(self, record: Record, name: str, behaviour: Behaviour) -> None:
        self.record, self.name, self.behaviour = record, name, behaviour
        self.port = free_port()
        self.runs: list[Run] = []
        self.connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def stop(self) -> None:
        """End as a process does: nothing listens, and open connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader()
        tasks: dict[str, tuple[asyncio.Task[None], Run]] = {}
        results: dict[str, list[bytes]] = {}
        self.connections.add(writer)

        def send(*parts: bytes) -> None:
            if not writer.is_closing():
                writer.write(hiredis.pack_command(parts))

        async def execute(run: Run) -> None:
            outcome = await self.behaviour(run)
            if outcome is None:
                return
            run.ended = self.record.now()
            run.end = outcome if isinstance(outcome, str) else "ok"
            self.record(f"engine {self.name}: {run.end} {run.txn}")
            tasks.pop(run.txn, None)
            if isinstance(outcome, str):
                send(run.txn.encode(), outcome.encode(), b"-", b"")
                return
            results[run.txn] = outcome
            gauges = b"gauges=cpu_share:0.3;pending:0;x0:0.1"
            send(run.txn.encode(), b"ok", b"count=%d,%s" % (len(outcome), gauges), outcome[0])

        try:
            while data := await reader.read(65536):
                parser.feed(data)
                while (command := parser.gets()) is not False:
                    match command:
                        case [b"REQ", txn, fields, body]:
                            values = dict(item.split("=", 1) for item in fields.decode().split(","))
                            run = Run(
                                self,
                                txn.decode(),
                                values["kind"],
                                values.get("token"),
                                body.decode(),
                                self.record.now(),
                            )
                            self.runs.append(run)
                            self.record(f"engine {self.name}: REQ {run.txn} {fields.decode()} {run.body}")
                            tasks[run.txn] = (asyncio.create_task(execute(run)), run)
                        case [b"STOP", txn]:
                            self.record(f"engine {self.name}: STOP {txn.decode()}")
                            if (running := tasks.pop(txn.decode(), None)) is not None:
                                running[0].cancel()
                                running[1].ended, running[1].end = self.record.now(), "stopped"
                        case [b"FETCH", txn, page]:
                            pages = results.get(txn.decode(), [])
                            if int(page) < len(pages):
                                send(txn, b"batch", b"pos=" + page, pages[int(page)])
                            else:
                                send(txn, b"error", b"-", b"")
                        case [b"END", txn]:
                            results.pop(txn.decode(), None)
                        case [b"HELO", tag]:
                            send(tag, b"yes", b"-", b"")
        except (OSError, asyncio.CancelledError):
            pass  # The last one comes at the end of the case.
        finally:
            self.connections.discard(writer)
            for task, run in tasks.values():
                task.cancel()
                if run.ended is None:
                    run.ended, run.end = self.record.now(), "connection closed"
                    self.record(f"engine {self.name}: connection closed under {run.txn}")
            writer.close()


def after(seconds: float, rows: int = 6) -> Behaviour:
    """Answer each request with its own rows after some seconds."""

    async def behaviour(run: Run) -> list[bytes]:
        await asyncio.sleep(seconds)
        return result_of(run.txn, rows)

    return behaviour


def result_of(txn: str, rows: int = 6) -> list[bytes]:
    """The pages of a result, which are made from the request's id."""
    lines = [f"{txn}\trow {row}\tvalue\n".encode() for row in range(rows)]
    return [b"".join(lines[: rows // 2]), b"".join(lines[rows // 2 :])]


# --- the change log


STATES = {"Ready": 0, "Terminating": 1, "Gone": 2}


@dataclass
class Entry:
    """An engine as the change log lists it."""

    name: str
    port: int
    zone: int = 0
    cell: int = 0
    state: str = "Ready"
    started_ms: int = 0


class ChangeLog:
    """The change log: numbered events, and an empty frame each second."""

    def __init__(self, record: Record, entries: list[Entry]) -> None:
        self.record = record
        self.port = free_port()
        self.entries = {entry.name: entry for entry in entries}
        self.events: list[list[Entry]] = [[copy.copy(entry) for entry in entries]]
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def publish(self, name: str, state: str) -> None:
        entry = self.entries[name]
        entry.state = state
        self.events.append([copy.copy(entry)])
        self.record(f"change log: {name} is {state}")
        self._changed.set()
        self._changed = asyncio.Event()

    def known(self, zones: list[str], kind: str) -> dict[str, Any]:
        endpoints = [
            {
                "name": entry.name,
                "address": f"{HOST}:{entry.port}",
                "zone": zones[entry.zone],
                "type": kind,
                "group": entry.cell,
                "status": entry.state,
                "weight": 1,
                "since_ms": entry.started_ms,
            }
            for entry in self.events[0]
        ]
        fleet = {"index": 1, "snapshot": True, "endpoints": endpoints}
        return {"seq": 1, "results": [{"seq": 1, "fleet": fleet}]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            (seq,) = struct.unpack(">Q", await reader.readexactly(8))
            while True:
                changed = self._changed
                while seq < len(self.events):
                    seq += 1
                    writer.write(self._frame(seq))
                writer.write(struct.pack(">IQB", 9, seq, 0))
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), 1.0)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _frame(self, seq: int) -> bytes:
        records = b"".join(
            struct.pack(
                ">IIHBBBHIQ",
                int(entry.name[2:], 16),
                int.from_bytes(socket.inet_aton(HOST), "big"),
                entry.port,
                STATES[entry.state],
                entry.zone,
                0,
                entry.cell,
                1000,
                entry.started_ms,
            )
            for entry in self.events[seq - 1]
        )
        return struct.pack(">IQB", 9 + len(records), seq, 1 if seq == 1 else 2) + records


# --- clients


@dataclass
class Asked:
    """A request of a client, and what came of it."""

    number: int
    txn: str
    cls: str
    written: float = 0.0  # when its last byte was written
    limit: float = 0.0  # seconds
    answer: Any = None
    answered: float | None = None
    lost: float | None = None  # when the connection ended without an answer
    done: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def outcome(self) -> str:
        if self.answer is None:
            return "none"
        error, result = self.answer
        if error is not None:
            return f"{error[0]}"
        expected = b"".join(result_of(self.txn))
        return "served" if result[0] == expected else "served wrongly"


CLIENTS: list[Client] = []  # all that were made, since a task that nobody holds may vanish


class Client:
    """A client's connection."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.asked: dict[int, Asked] = {}
        self.pongs: asyncio.Queue[bool] = asyncio.Queue()
        self.ended: float | None = None
        self._number = 0
        CLIENTS.append(self)

    async def connect(self, port: int) -> Client:
        self._reader, self._writer = await asyncio.open_connection(HOST, port)
        self._task = asyncio.create_task(self._read())
        return self

    def request(self, cls: str, limit: float, **fields: str) -> tuple[Asked, bytes]:
        """A new request and its bytes, which are not written yet."""
        self._number += 1
        asked = Asked(self._number, os.urandom(8).hex(), cls, limit=limit)
        values = {
            "txn": asked.txn,
            "limit": str(int(limit * 1000)),
            "team": "city",
            "cpu": "80.0",
            "mb": "64",
        }
        body = b"SELECT n FROM ops_3.t"
        packed: bytes = msgpack.packb([0, asked.number, cls, [{**values, **fields}, body]])
        self.asked[asked.number] = asked
        return asked, packed

    async def write(self, asked: Asked, *pieces: bytes, pause: float = 0.0) -> Asked:
        """Write a request, with a pause between its pieces."""
        for position, piece in enumerate(pieces):
            if position:
                await asyncio.sleep(pause)
            if self.ended is not None:
                return asked
            self._writer.write(piece)
            with contextlib.suppress(ConnectionError):
                await self._writer.drain()
            self.record(
                f"{self.name}: piece {position + 1} of {len(pieces)} of {asked.txn}, {len(piece)} bytes"
            )
        asked.written = self.record.now()
        self.record(f"{self.name}: sent {asked.number} {asked.cls} {asked.txn} limit {asked.limit} s")
        return asked

    async def ask(self, cls: str, limit: float, **fields: str) -> Asked:
        asked, packed = self.request(cls, limit, **fields)
        return await self.write(asked, packed)

    async def probe(self) -> bool:
        self._number += 1
        self._writer.write(msgpack.packb([0, self._number, "probe", [{}]]))
        return await asyncio.wait_for(self.pongs.get(), 2.0)

    async def _read(self) -> None:
        unpacker = msgpack.Unpacker()
        try:
            while data := await self._reader.read(65536):
                unpacker.feed(data)
                for _, number, error, result in unpacker:
                    if number not in self.asked:
                        self.pongs.put_nowait(error is None and bool(result[0]))
                        continue
                    asked = self.asked[number]
                    if asked.answer is not None:
                        self.record(f"{self.name}: a second answer to {asked.txn}")
                    asked.answer, asked.answered = (error, result), self.record.now()
                    self.record(f"{self.name}: answered {number} {asked.txn} {asked.outcome}")
                    asked.done.set()
        except OSError as error:
            self.record(f"{self.name}: {error}")
        self.ended = self.record.now()
        for asked in self.asked.values():
            if asked.answer is None:
                if asked.written:
                    asked.lost = self.ended
                    self.record(f"{self.name}: connection ended without an answer to {asked.txn}")
                asked.done.set()

    def close(self) -> None:
        self._writer.close()


# --- routers


def deploy_commands() -> dict[str, Any]:
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


ROUTERS: list[Router] = []  # all that were started, to be ended with the case


class Router:
    """A router's process, started with the command of the deploy file."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        document: dict[str, Any],
        name: str = "n1",
        pass_fds: tuple[int, ...] = (),
        **variables: str,
    ) -> None:
        self.record, self.name, self.folder = record, name, folder
        self.config = folder / f"{name}.json"
        self.write_config(document)
        self.port = int(document["listen"].rpartition(":")[2])
        self.log = folder / f"{name}.{len(list(folder.glob('*.log')))}.log"
        shared = folder / f"tmp-{name}"
        shared.mkdir(exist_ok=True)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        environment |= {"BALANCER_CONFIG": str(self.config), "TMPDIR": str(shared), **variables}
        with self.log.open("w") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy_commands()["run"]],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                pass_fds=pass_fds,
            )
        ROUTERS.append(self)
        record(f"router {name}: started")

    def write_config(self, document: dict[str, Any]) -> None:
        temporary = self.config.with_suffix(".new")
        temporary.write_text(json.dumps(document))
        temporary.replace(self.config)

    def signal(self, number: signal.Signals) -> None:
        self.record(f"router {self.name}: {number.name}")
        self.process.send_signal(number)

    async def ready(self, timeout: float = 30.0) -> None:
        """Wait until ``probe`` is answered with true."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRunError(f"router {self.name} ended: {self.log.read_text()}")
            client = Client(self.record, "front")
            with contextlib.suppress(OSError, TimeoutError):
                await client.connect(self.port)
                if await client.probe():
                    client.close()
                    self.record(f"router {self.name}: ready")
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"router {self.name} was not ready within {timeout} s")

    def end(self) -> None:
        """End the process, if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def base_document(known: dict[str, Any], changelog_port: int) -> dict[str, Any]:
    """The configuration of the example deployment, with other addresses."""
    document: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())
    document["listen"] = f"{HOST}:{free_port()}"
    document["changelog"] = f"{HOST}:{changelog_port}"
    document["known"] = known
    document["settings"]["balancers"] = 1
    return document


def trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder: Path, scenario: Callable[[Record, Path], Awaitable[bool]], seconds: float = 110.0) -> None:
    """Run a scenario, which returns whether the rule held, and exit with the case's status."""
    record = Record(folder)
    record(f"TROUBLE={int(trouble())}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))  # the routers are ended below
    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = asyncio.run(asyncio.wait_for(scenario(record, Path(temporary)), seconds))
        except Exception as error:  # Whatever went wrong in the case itself says nothing about the rule.
            record(f"cannot run: {type(error).__name__}: {error}")
            print(f"cannot run: {type(error).__name__}: {error}")
            sys.exit(CANNOT_RUN)
        finally:
            for router in ROUTERS:
                router.end()
    record("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
