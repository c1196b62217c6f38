"""The CPU time until routers are ready that start together on one core without the change log."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from pathlib import Path

import orjson
from exchange import with_changes
from test_program import connect, free_address, serves

PROCESSES, READY_IN = 30, 10.0  # processes, and CPU seconds in which nine in ten of them have to be ready
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process: subprocess.Popen[bytes]) -> float:
    """The CPU time that the process has used."""
    user, system = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


def answers_probe(address: str) -> bool:
    try:
        with connect(address) as client:
            return serves(client)
    except OSError:
        return False


def test_thirty_routers_starting_at_once_on_one_core_without_the_change_log_are_ready_soon(
    tmp_path: Path,
) -> None:
    """The test counts CPU time, not elapsed time, because other programs may run on the same core."""
    core = {min(os.sched_getaffinity(0))}
    waiting: dict[str, subprocess.Popen[bytes]] = {}
    used: list[float] = []
    for number in range(PROCESSES):
        address, path = free_address(), tmp_path / f"{number}.json"
        path.write_bytes(orjson.dumps(with_changes({"listen": address, "changelog": "127.0.0.1:9"})))
        started = subprocess.Popen(
            [sys.executable, "-m", "grebeproxy"],
            stderr=subprocess.DEVNULL,
            env={**os.environ, "BALANCER_CONFIG": str(path)},
        )
        os.sched_setaffinity(started.pid, core)
        waiting[address] = started
    processes = list(waiting.values())
    try:
        until = time.monotonic() + 60.0
        while waiting:
            assert time.monotonic() < until, f"{len(waiting)} are not ready"
            for address, process in list(waiting.items()):
                assert process.poll() is None
                if answers_probe(address):
                    used.append(cpu_seconds(process))
                    del waiting[address]
            time.sleep(0.02)
    finally:
        for process in processes:
            process.kill()
            process.wait()
    assert sum(sorted(used)[: PROCESSES * 9 // 10]) <= READY_IN
