"""What one hollow router costs: CPU of its steps, packets and bytes, and how late its timers are."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Self

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(slots=True)
class Counters:
    """Totals since the start. CPU in seconds of thread time, bytes without the headers of UDP and TCP."""

    cpu_s: float = 0.0
    packets_sent: int = 0
    bytes_sent: int = 0
    packets_received: int = 0
    bytes_received: int = 0
    timers: int = 0
    lateness_s: float = 0.0  # of all timers together

    def __add__(self, other: Counters) -> Counters:
        """Both together."""
        return Counters(
            self.cpu_s + other.cpu_s,
            self.packets_sent + other.packets_sent,
            self.bytes_sent + other.bytes_sent,
            self.packets_received + other.packets_received,
            self.bytes_received + other.bytes_received,
            self.timers + other.timers,
            self.lateness_s + other.lateness_s,
        )

    def __sub__(self, earlier: Counters) -> Counters:
        """What was counted since the earlier totals."""
        return Counters(
            self.cpu_s - earlier.cpu_s,
            self.packets_sent - earlier.packets_sent,
            self.bytes_sent - earlier.bytes_sent,
            self.packets_received - earlier.packets_received,
            self.bytes_received - earlier.bytes_received,
            self.timers - earlier.timers,
            self.lateness_s - earlier.lateness_s,
        )


class Meter:
    """Counts for one router. ``with meter:`` around a step adds its thread time; not to be nested."""

    __slots__ = ("_began", "counters")

    def __init__(self) -> None:
        self.counters = Counters()
        self._began = 0.0

    def __enter__(self) -> Self:
        """A step begins."""
        self._began = time.thread_time()
        return self

    def __exit__(self, *exception: object) -> None:
        """It has ended."""
        self.counters.cpu_s += time.thread_time() - self._began

    def sent(self, size: int) -> None:
        """A packet or a write of that many bytes left."""
        self.counters.packets_sent += 1
        self.counters.bytes_sent += size

    def received(self, size: int) -> None:
        """A packet or a read of that many bytes came."""
        self.counters.packets_received += 1
        self.counters.bytes_received += size

    def woken(self, late_s: float) -> None:
        """A timer ran that many seconds after its time."""
        self.counters.timers += 1
        self.counters.lateness_s += max(0.0, late_s)


def resident_bytes(pid: int) -> int:
    """The resident memory of a process, 0 where it is gone."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    except (OSError, IndexError):
        return 0


def process_cpu_s(pid: int) -> float:
    """The CPU that another process has used, in seconds; 0 where it is gone."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
