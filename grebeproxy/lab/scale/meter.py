"""What one hollow router uses: CPU time, packets and bytes, and how late its timers fire."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Self

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
USER_TICKS_FIELD, SYSTEM_TICKS_FIELD = 11, 12  # of /proc/<pid>/stat, after the command name


@dataclass(slots=True)
class Counters:
    """Totals since the start. CPU is thread time in seconds; bytes exclude UDP and TCP headers."""

    cpu_s: float = 0.0
    packets_sent: int = 0
    bytes_sent: int = 0
    packets_received: int = 0
    bytes_received: int = 0
    timers: int = 0
    lateness_s: float = 0.0  # sum over all timers

    def __add__(self, other: Counters) -> Counters:
        """The sum of both."""
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
        """The difference to earlier totals."""
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
    """The counters of one router. ``with meter:`` adds a step's thread time, and must not be nested."""

    __slots__ = ("_began", "counters")

    def __init__(self) -> None:
        self.counters = Counters()
        self._began = 0.0

    def __enter__(self) -> Self:
        """Begin a step."""
        self._began = time.thread_time()
        return self

    def __exit__(self, *exception: object) -> None:
        """Add the step's thread time."""
        self.counters.cpu_s += time.thread_time() - self._began

    def sent(self, size: int) -> None:
        """Count a packet or a write of that many bytes."""
        self.counters.packets_sent += 1
        self.counters.bytes_sent += size

    def received(self, size: int) -> None:
        """Count a packet or a read of that many bytes."""
        self.counters.packets_received += 1
        self.counters.bytes_received += size

    def timer_fired(self, late_s: float) -> None:
        """Count a timer that fired that many seconds late; a negative delay counts as 0."""
        self.counters.timers += 1
        self.counters.lateness_s += max(0.0, late_s)


def resident_bytes(pid: int) -> int:
    """The resident memory of a process; 0 if it has ended."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    except (OSError, IndexError):
        return 0


def process_cpu_s(pid: int) -> float:
    """The CPU time that a process has used, in seconds; 0 if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")
