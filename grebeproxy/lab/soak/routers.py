"""Starts, signals and measures router processes, and records how they end."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgpack
import orjson

from grebeproxy.lab.scale.addresses import Address
from grebeproxy.lab.scale.meter import resident_bytes
from grebeproxy.lab.soak.clients import REQUEST
from grebeproxy.lab.soak.recording import ProcessRecord, Span, Usage

POLL_INTERVAL_S = 0.02
PROBE_TIMEOUT_S = 1.0
PROBE = msgpack.packb([REQUEST, 1, "probe", [{}]])
EXEC_POLL_INTERVAL_S = 0.002
KILL_TIMEOUT_S = 10.0  # longest wait for a process to end after SIGKILL
SHELL_NAME = "sh"
RUN_SCRIPT = "trap '' HUP; exec \"$0\" -m grebeproxy"  # the start command of the deploy file


class Router:
    """One router, across the processes that run it one after another."""

    def __init__(
        self, index: int, address: Address, document: dict[str, Any], peers: str | None, folder: Path
    ) -> None:
        self.index = index
        self.address = address
        self.processes: list[ProcessRecord] = []
        self.pauses: list[Span] = []
        self.usage: list[Usage] = []
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self._stopped_at: float | None = None
        folder.mkdir()
        (folder / "config.json").write_bytes(orjson.dumps(document))
        self._environment = {
            key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")
        }
        self._environment |= {"BALANCER_CONFIG": str(folder / "config.json")}
        if peers is not None:
            (folder / "peers.hcl").write_text(peers)
            self._environment["BALANCER_PEERS"] = str(folder / "peers.hcl")

    @property
    def is_running(self) -> bool:
        """Whether the router's process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start a process whose output goes to a log file of its own."""
        path = self._folder / f"log-{len(self.processes)}"
        self.processes.append(ProcessRecord(self.index, time.monotonic()))
        with path.open("wb") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", RUN_SCRIPT, sys.executable], env=self._environment, stdout=log, stderr=log
            )

    async def wait_until_executed(self) -> None:
        """Wait until the shell has executed the router: the platform signals the router, not the shell."""
        while self._process is not None and self._process.poll() is None:
            if Path(f"/proc/{self._process.pid}/comm").read_text().strip() != SHELL_NAME:
                return
            await asyncio.sleep(EXEC_POLL_INTERVAL_S)

    async def wait_until_ready(self) -> None:
        """Wait until the process answers a probe with true, or has ended."""
        record = self.processes[-1]
        while self.is_running and record is self.processes[-1] and record.terminated_at is None:
            if await self._answers_probe():
                record.ready_at = time.monotonic()
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _answers_probe(self) -> bool:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    writer.write(PROBE)
                    answer: Any = msgpack.unpackb(await reader.read(1024))
                finally:
                    writer.close()
        except (OSError, TimeoutError, ValueError, msgpack.UnpackException):
            return False
        return isinstance(answer, list) and answer[3] == [True, {}]

    # --- signals

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if not self.is_running or self._process is None:
            return
        record, now = self.processes[-1], time.monotonic()
        if number is signal.SIGTERM and record.terminated_at is None:
            record.terminated_at = now
        elif number is signal.SIGKILL:
            record.killed_at = now
        self._process.send_signal(number)

    async def pause(self, seconds: float) -> None:
        """Pause the process for some seconds, with SIGSTOP and SIGCONT."""
        if not self.is_running or self._stopped_at is not None:
            return
        self._stopped_at = time.monotonic()
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)
        self.pauses.append(Span(self._stopped_at, time.monotonic()))
        self._stopped_at = None

    async def kill_at(self, at: float) -> None:
        """Wait for the process to end, and send SIGKILL at the given time if it still runs."""
        while self.is_running and time.monotonic() < at:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await asyncio.to_thread(self._process.wait, KILL_TIMEOUT_S)
        self.watch()

    def watch(self) -> None:
        """Record the memory and descriptors of a running process, or the status and log of one that ended."""
        if self._process is None or not self.processes or self.processes[-1].ended_at is not None:
            return
        record, now = self.processes[-1], time.monotonic()
        status = self._process.poll()
        if status is None:
            self._measure(now)
            return
        record.ended_at, record.status = now, status
        record.log = (self._folder / f"log-{len(self.processes) - 1}").read_text(errors="replace")

    def _measure(self, now: float) -> None:
        assert self._process is not None
        try:
            descriptors = len(os.listdir(f"/proc/{self._process.pid}/fd"))
        except OSError:
            return  # The process has just ended.
        self.usage.append(Usage(self.index, now, resident_bytes(self._process.pid), descriptors))

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
