"""What the hollow routers of a run used between two moments."""

from __future__ import annotations

from dataclasses import dataclass

from grebeproxy.lab.scale.meter import Counters
from grebeproxy.units import MS_PER_SECOND


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Totals of one process since its start. CPU in seconds, ``taken_at`` on the machine's clock."""

    taken_at: float
    process_cpu_s: float
    resident_bytes: int
    routers: list[Counters]


@dataclass(frozen=True, slots=True)
class Usage:
    """What the routers used between two rounds of snapshots. Times in seconds."""

    seconds: float
    routers: list[Counters]
    process_cpu_s: float

    @property
    def total(self) -> Counters:
        """The sum over all routers."""
        return sum(self.routers, Counters())

    @property
    def lateness_ms(self) -> float:
        """The mean delay of a timer, in milliseconds."""
        total = self.total
        return MS_PER_SECOND * total.lateness_s / total.timers if total.timers else 0.0


def used_between(before: list[Snapshot], after: list[Snapshot]) -> Usage:
    """The difference of two rounds of snapshots, which list the same processes in the same order."""
    pairs = list(zip(before, after, strict=True))
    seconds = sum(later.taken_at - earlier.taken_at for earlier, later in pairs) / len(before)
    routers = [
        counters_after - counters_before
        for earlier, later in pairs
        for counters_before, counters_after in zip(earlier.routers, later.routers, strict=True)
    ]
    process_cpu_s = sum(later.process_cpu_s - earlier.process_cpu_s for earlier, later in pairs)
    return Usage(seconds, routers, process_cpu_s)
