"""A real router process, and what the kernel says of its CPU time and memory."""

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
from typing import Any

import orjson

from grebeproxy.lab.capacity.measure.workload import known, profile
from grebeproxy.lab.record import MEBIBYTE

HOST = "127.0.0.1"
STOP_WITHIN = 10.0  # seconds from SIGTERM until it is killed
DESCRIPTORS = 19_000  # of one router, under the machine's 20,000


class RouterFailedError(Exception):
    """The router has ended, or does not serve; the text is the end of its log."""


def configuration(engines: int, routers: int, ports: tuple[int, int, int]) -> dict[str, Any]:
    """A router's configuration; ``ports`` are the client's, the change log's and that of all engines."""
    listen, changelog, engine_port = ports
    return {
        "name": "measured",
        "listen": f"{HOST}:{listen}",
        "changelog": f"{HOST}:{changelog}",
        "seed": "1",
        "limits": {"sockets": DESCRIPTORS, "memory_mb": 1024},
        "known": known(engines, engine_port),
        "settings": profile(routers),
    }


class RouterProcess:
    """``python -m grebeproxy`` with a configuration; ended with SIGTERM on leaving the context."""

    def __init__(self, told: dict[str, Any]) -> None:
        self._folder = TemporaryDirectory(prefix="grebeproxy-measure-")
        self._log = Path(self._folder.name) / "log"
        config = Path(self._folder.name) / "config.json"
        config.write_bytes(orjson.dumps(told))
        environment = {**os.environ, "BALANCER_CONFIG": str(config), "TMPDIR": self._folder.name}
        self.began = time.monotonic()
        with self._log.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "grebeproxy"], env=environment, stdout=log, stderr=log
            )

    def __enter__(self) -> RouterProcess:
        """The process has begun."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """End the process, and wait for its end."""
        self._process.send_signal(signal.SIGTERM)
        try:
            self._process.wait(STOP_WITHIN)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._folder.cleanup()

    def check(self) -> None:
        """Raise ``RouterFailedError`` where the process has ended."""
        if self._process.poll() is not None:
            raise RouterFailedError(self.log())

    def log(self) -> str:
        """The last lines of the router's log."""
        return "\n".join(self._log.read_text().splitlines()[-5:])

    def cpu_seconds(self) -> float:
        """CPU time of the process so far."""
        self.check()
        nanoseconds = sum(
            int(schedstat.read_text().split()[0])
            for schedstat in Path(f"/proc/{self._process.pid}/task").glob("*/schedstat")
        )
        return nanoseconds / 1e9

    def rss_mb(self) -> float:
        """Resident memory now."""
        self.check()
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        found = re.search(r"^VmRSS:\s+(\d+) kB", status, re.MULTILINE)
        assert found is not None
        return int(found[1]) * 1024 / MEBIBYTE
