"""What all runs share: their options, the processes of the hollow routers, limits, and progress."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from grebeproxy.lab.record import MEBIBYTE, Point
from grebeproxy.lab.scale.deployment import Address
from grebeproxy.lab.scale.hollow_routers import HollowRouters, MembershipPlan, RoutersPlan, Snapshot
from grebeproxy.lab.scale.meter import Counters
from grebeproxy.lab.scale.processes import Worker, Workers, call_all

MOST_PROCESSES = 6  # of hollow routers: the rest of eight cores is for the stand-ins and the parent
ROUTERS_A_PROCESS = 25  # at least, before a further process is worth its start
SEEDS_EACH = 3
POLL_S = 0.1


class SizeNotReachedError(Exception):
    """A size that this machine does not carry; the text says what ended it."""


@dataclass(frozen=True, slots=True)
class Options:
    """What a run is to play. Times in seconds."""

    sizes: tuple[int, ...]
    engines: tuple[int, ...]
    seed: int = 1
    quiet_s: float = 10.0
    wait_s: float = 90.0
    memory_mb: int = 5000
    period_s: float = 0.5
    duty: bool = True


@dataclass(slots=True)
class Outcome:
    """The points that were measured, and what was left out and why."""

    points: list[Point] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Usage:
    """What the routers used between two snapshots."""

    seconds: float
    routers: list[Counters]
    process_cpu_s: float

    @property
    def total(self) -> Counters:
        """All routers together."""
        return sum(self.routers, Counters())

    @property
    def lateness_ms(self) -> float:
        """By how much a timer was late on average."""
        total = self.total
        return 1000 * total.lateness_s / total.timers if total.timers else 0.0


class Progress:
    """Lines on standard error that tell how far a run is."""

    def __init__(self, write: Callable[[str], None] | None = None) -> None:
        self._began = time.monotonic()
        self._write = write or _to_standard_error

    def line(self, text: str) -> None:
        """Tell of one step."""
        self._write(f"[{time.monotonic() - self._began:6.1f} s] {text}")


class Fleet:
    """The processes with the hollow routers of one size."""

    def __init__(self, workers: Workers, options: Options) -> None:
        self._workers, self._options = workers, options
        self.processes: list[Worker] = []
        self.plans: list[RoutersPlan] = []
        self.empty_bytes = 0

    def prepare(
        self, size: int, total: int, changelog: Address | None, membership: MembershipPlan | None
    ) -> list[Address]:
        """Start the processes; gives the routers' addresses. Nothing runs in them yet."""
        cores = max(1, min(MOST_PROCESSES, (os.cpu_count() or 1) - 2))
        count = min(cores, max(1, size // ROUTERS_A_PROCESS))
        shares = [size // count + (number < size % count) for number in range(count)]
        first = 0
        for share in shares:
            plan = RoutersPlan(first, share, total, self._options.seed, changelog, membership)
            self.plans.append(plan)
            self.processes.append(self._workers.start(HollowRouters, plan))
            first += share
        addresses = [address for part in call_all(self.processes, "addresses") for address in part]
        self.empty_bytes = self.resident_bytes()
        return addresses

    def configure(self, addresses: list[Address], others: list[Address] | None = None) -> None:
        """Give each router some random others to begin with."""
        rng = Random(self._options.seed)
        known = addresses + (others or [])
        wanted = min(SEEDS_EACH, len(known))
        for process, plan in zip(self.processes, self.plans, strict=True):
            process.call("configure", [tuple(rng.sample(known, wanted)) for _ in range(plan.count)])

    def start(self, spread_s: float) -> None:
        """Start all routers."""
        call_all(self.processes, "start", spread_s)

    def resident_bytes(self) -> int:
        """Memory of the routers' processes."""
        return sum(snapshot.resident_bytes for snapshot in self.snapshots())

    def snapshots(self) -> list[Snapshot]:
        """What each process has used until now."""
        taken: list[Snapshot] = call_all(self.processes, "snapshot")
        return taken

    def gather(self, method: str, *arguments: object) -> list[object]:
        """The lists that all processes give, joined."""
        return [item for part in call_all(self.processes, method, *arguments) for item in part]

    def measure(self, seconds: float) -> Usage:
        """What the routers use in so many seconds from now."""
        before = self.snapshots()
        time.sleep(seconds)
        return used_between(before, self.snapshots())

    def check_memory(self) -> None:
        """Raise ``SizeNotReachedError`` where all children together hold more than they may."""
        held_mb = self._workers.resident_bytes() / MEBIBYTE
        if held_mb > self._options.memory_mb:
            raise SizeNotReachedError(f"memory: {held_mb:.0f} MB of {self._options.memory_mb} MB")

    def wait(self, done: Callable[[], bool], what: str, most_s: float | None = None) -> float:
        """Wait until something holds; tell how long it took. Raises ``SizeNotReachedError``."""
        began = time.monotonic()
        most_s = self._options.wait_s if most_s is None else most_s
        while not done():
            self.check_memory()
            if time.monotonic() - began > most_s:
                raise SizeNotReachedError(f"time: {what} did not come within {most_s:g} s")
            time.sleep(POLL_S)
        return time.monotonic() - began


def used_between(before: list[Snapshot], after: list[Snapshot]) -> Usage:
    """The difference of two rounds of snapshots."""
    seconds = sum(b.at - a.at for a, b in zip(before, after, strict=True)) / len(before)
    routers = [
        late - early
        for a, b in zip(before, after, strict=True)
        for early, late in zip(a.routers, b.routers, strict=True)
    ]
    cpu = sum(b.process_cpu_s - a.process_cpu_s for a, b in zip(before, after, strict=True))
    return Usage(seconds, routers, cpu)


def _to_standard_error(text: str) -> None:
    print(text, file=sys.stderr, flush=True)
