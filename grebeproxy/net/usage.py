"""Reports how busy and how large the process is, so that its log shows what a peer made it do."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable

from grebeproxy.net.log_line import log_line

REPORT_INTERVAL = 1.0  # seconds
BUSY_FRACTION = 0.5  # fraction of a core, or of the memory limit, from which a report is logged
STALL = 0.25  # seconds between two heartbeats from which a stall is logged
KB_PER_MB = 1024
NANOSECONDS_PER_SECOND = 1e9

Count = Callable[[], int]


class UsageReport:
    """Logs the process's usage while it is high, and each stall of the event loop. Times are in seconds.

    ``counts`` are logged with each report, under their names.
    """

    def __init__(
        self, log: Callable[[str], None], memory_mb: float, counts: dict[str, Count], now: float
    ) -> None:
        self._log = log
        self._memory_mb = memory_mb
        self._counts = counts
        self._heartbeat_at = self._reported_at = now
        self._heartbeat_cpu = self._reported_cpu = _cpu_seconds()

    def heartbeat(self, now: float) -> None:
        """Record that the event loop runs, and log what is due."""
        cpu = _cpu_seconds()
        stalled = now - self._heartbeat_at
        if stalled >= STALL:
            # A stopped process has used no CPU time, a busy one has.
            used = f"{cpu - self._heartbeat_cpu:.2f}"
            self._log(log_line("router.loop.stalled", seconds=f"{stalled:.2f}", cpu=used, **self._values()))
        self._heartbeat_at, self._heartbeat_cpu = now, cpu
        if now >= self._reported_at + REPORT_INTERVAL:
            self._report(now, cpu)

    def _report(self, now: float, cpu: float) -> None:
        share = (cpu - self._reported_cpu) / (now - self._reported_at)
        self._reported_at, self._reported_cpu = now, cpu
        peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KB_PER_MB
        if share >= BUSY_FRACTION or peak_mb >= BUSY_FRACTION * self._memory_mb:
            line = log_line(
                "router.process.usage", cpu=f"{share:.2f}", peak_mb=f"{peak_mb:.0f}", **self._values()
            )
            self._log(line)

    def _values(self) -> dict[str, int]:
        return {name: count() for name, count in self._counts.items()}


def _cpu_seconds() -> float:
    return time.process_time_ns() / NANOSECONDS_PER_SECOND
