"""How soon processes are ready that all start at once on one core, with discovery down."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from pathlib import Path

import orjson
from exchange import with_changes
from test_program import connect, free_address, serves

PROCESSES, READY_IN = 30, 10.0  # seconds within which nine in ten are to be ready
TICKS = os.sysconf("SC_CLK_TCK")


def cpu(process: subprocess.Popen[bytes]) -> float:
    """Seconds of the processor that it has used."""
    user, system = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / TICKS


def answers_probe(address: str) -> bool:
    try:
        with connect(address) as client:
            return serves(client)
    except OSError:
        return False


def test_thirty_that_start_at_once_on_one_core_without_discovery_are_ready_soon(tmp_path: Path) -> None:
    """What they need of the processor is counted, not the clock: another program may run beside."""
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
                    used.append(cpu(process))
                    del waiting[address]
            time.sleep(0.02)
    finally:
        for process in processes:
            process.kill()
            process.wait()
    assert sum(sorted(used)[: PROCESSES * 9 // 10]) <= READY_IN
