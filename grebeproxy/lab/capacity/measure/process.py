"""A real router process, with its CPU time and memory as the kernel reports them."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from types import TracebackType
from typing import NamedTuple, TypedDict

import orjson

from grebeproxy.errors import GrebeproxyError
from grebeproxy.lab.capacity.measure.engines import KnownEngines, known_engines
from grebeproxy.lab.capacity.measure.router_settings import Fields, profile
from grebeproxy.lab.record import KIBIBYTE, MEBIBYTE

HOST = "127.0.0.1"
STOP_SECONDS = 10.0  # wait after SIGTERM before the process is killed
MAX_SOCKETS = 19_000  # limit of one router, below the machine's limit of 20,000 descriptors
MEMORY_MB = 1024  # limit of one router
LOG_LINES = 5  # last lines of the router's log that an error shows


class RouterFailedError(GrebeproxyError):
    """The router has ended, or does not serve; the message holds the end of its log."""


class ProcessStatusError(GrebeproxyError):
    """The kernel's status file of a process has no line for resident memory."""


class Ports(NamedTuple):
    """Ports that a measured router uses: its clients' port, the change log's, and that of all engines."""

    clients: int
    changelog: int
    engines: int


class ResourceLimits(TypedDict):
    """The ``limits`` field of a router's configuration."""

    sockets: int
    memory_mb: int


class RouterConfiguration(TypedDict):
    """A router's configuration file."""

    name: str
    listen: str
    changelog: str
    seed: str
    limits: ResourceLimits
    known: KnownEngines
    settings: Fields


def configuration(engines: int, routers: int, ports: Ports) -> RouterConfiguration:
    """Return the configuration of one of ``routers`` routers that share ``engines`` engines."""
    return {
        "name": "measured",
        "listen": f"{HOST}:{ports.clients}",
        "changelog": f"{HOST}:{ports.changelog}",
        "seed": "1",
        "limits": {"sockets": MAX_SOCKETS, "memory_mb": MEMORY_MB},
        "known": known_engines(engines, ports.engines),
        "settings": profile(routers),
    }


class RouterProcess:
    """A ``python -m grebeproxy`` process; leaving the context ends it with SIGTERM."""

    def __init__(self, configuration: RouterConfiguration) -> None:
        self._folder = TemporaryDirectory(prefix="grebeproxy-measure-")
        self._log = Path(self._folder.name) / "log"
        path = Path(self._folder.name) / "config.json"
        path.write_bytes(orjson.dumps(configuration))
        environment = {**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": self._folder.name}
        self.started_at = time.monotonic()
        with self._log.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "grebeproxy"], env=environment, stdout=log, stderr=log
            )

    def __enter__(self) -> RouterProcess:
        """Return the router, whose process the constructor has started."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """End the process and wait for its exit; kill it after ``STOP_SECONDS``."""
        self._process.send_signal(signal.SIGTERM)
        try:
            self._process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._folder.cleanup()

    def check(self) -> None:
        """Raise ``RouterFailedError`` if the process has ended."""
        if self._process.poll() is not None:
            raise RouterFailedError(self.log())

    def log(self) -> str:
        """Return the last lines of the router's log."""
        return "\n".join(self._log.read_text().splitlines()[-LOG_LINES:])

    def cpu_seconds(self) -> float:
        """Return the CPU time that the process has used so far, in seconds."""
        self.check()
        nanoseconds = sum(
            int(schedstat.read_text().split()[0])
            for schedstat in Path(f"/proc/{self._process.pid}/task").glob("*/schedstat")
        )
        return nanoseconds / 1e9

    def rss_mb(self) -> float:
        """Return the current resident memory in mebibytes."""
        self.check()
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        found = re.search(r"^VmRSS:\s+(\d+) kB", status, re.MULTILINE)
        if found is None:
            raise ProcessStatusError(f"process {self._process.pid}: /proc status file has no VmRSS line")
        return int(found[1]) * KIBIBYTE / MEBIBYTE
