"""Router processes: started, signalled, measured, and watched until they end."""

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
from grebeproxy.lab.soak.recording import Life, Span, Usage

POLL_INTERVAL_S = 0.02
PROBE_TIMEOUT_S = 1.0
PROBE = msgpack.packb([REQUEST, 1, "probe", [{}]])
EXEC_POLL_S = 0.002
END_TIMEOUT_S = 10.0  # after SIGKILL
SHELL = "sh"
RUN = "trap '' HUP; exec \"$0\" -m grebeproxy"  # as in the deploy file


class Router:
    """One router, over all its processes."""

    def __init__(
        self, index: int, address: Address, document: dict[str, Any], peers: str | None, folder: Path
    ) -> None:
        self.index = index
        self.address = address
        self.lives: list[Life] = []
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
        """Whether its process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start a process, whose output goes to a file of its own."""
        path = self._folder / f"log-{len(self.lives)}"
        self.lives.append(Life(self.index, time.monotonic()))
        with path.open("wb") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", RUN, sys.executable], env=self._environment, stdout=log, stderr=log
            )

    async def wait_until_executed(self) -> None:
        """Wait until the shell has become the program: the platform signals that one."""
        while self._process is not None and self._process.poll() is None:
            if Path(f"/proc/{self._process.pid}/comm").read_text().strip() != SHELL:
                return
            await asyncio.sleep(EXEC_POLL_S)

    async def wait_until_ready(self) -> None:
        """Wait until the process answers a probe with true, or has ended."""
        life = self.lives[-1]
        while self.is_running and life is self.lives[-1] and life.terminated_at is None:
            if await self._answers_probe():
                life.ready_at = time.monotonic()
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
        """Send a signal, if the process runs."""
        if not self.is_running or self._process is None:
            return
        life, now = self.lives[-1], time.monotonic()
        if number is signal.SIGTERM and life.terminated_at is None:
            life.terminated_at = now
        elif number is signal.SIGKILL:
            life.killed_at = now
        self._process.send_signal(number)

    async def pause(self, seconds: float) -> None:
        """Stop the process for some seconds."""
        if not self.is_running or self._stopped_at is not None:
            return
        self._stopped_at = time.monotonic()
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)
        self.pauses.append(Span(self._stopped_at, time.monotonic()))
        self._stopped_at = None

    async def kill_at(self, at: float) -> None:
        """Wait for the process to end; send SIGKILL at that time if it has not."""
        while self.is_running and time.monotonic() < at:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await asyncio.to_thread(self._process.wait, END_TIMEOUT_S)
        self.watch()

    def watch(self) -> None:
        """Record the end of the process, once it has ended, and what it holds until then."""
        if self._process is None or not self.lives or self.lives[-1].ended_at is not None:
            return
        life, now = self.lives[-1], time.monotonic()
        status = self._process.poll()
        if status is None:
            self._measure(now)
            return
        life.ended_at, life.status = now, status
        life.log = (self._folder / f"log-{len(self.lives) - 1}").read_text(errors="replace")

    def _measure(self, now: float) -> None:
        assert self._process is not None
        try:
            descriptors = len(os.listdir(f"/proc/{self._process.pid}/fd"))
        except OSError:
            return  # it has just ended
        self.usage.append(Usage(self.index, now, resident_bytes(self._process.pid), descriptors))

    def end(self) -> None:
        """Kill what still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
