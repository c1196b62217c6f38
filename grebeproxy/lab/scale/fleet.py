"""The processes that hold the hollow routers of one size, and queries that join their answers."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from random import Random
from typing import Any

from grebeproxy.lab.record import KIBIBYTE, MEBIBYTE
from grebeproxy.lab.scale.addresses import Address
from grebeproxy.lab.scale.hollow_routers import HollowRouters
from grebeproxy.lab.scale.plans import MembershipPlan, RoutersPlan
from grebeproxy.lab.scale.processes import Worker, Workers, call_all
from grebeproxy.lab.scale.run import Options, SizeNotReachedError
from grebeproxy.lab.scale.usage import Snapshot, Usage, used_between

MAX_PROCESSES = 6  # of hollow routers; of eight cores, two remain for the servers and the parent
RESERVED_CORES = 2
MIN_ROUTERS_PER_PROCESS = 25  # Fewer routers do not justify a further process.
SEEDS_PER_ROUTER = 3
POLL_INTERVAL_S = 0.1


class Fleet:
    """The hollow routers of one size, spread over a few processes."""

    def __init__(self, workers: Workers, options: Options) -> None:
        self._workers = workers
        self._options = options
        self._plans: list[RoutersPlan] = []
        self._empty_bytes = 0  # resident memory before any router was started
        self.processes: list[Worker] = []

    def prepare(
        self, size: int, total: int, changelog: Address | None, membership: MembershipPlan | None
    ) -> list[Address]:
        """Start the processes for ``size`` of ``total`` routers; returns the routers' own addresses.

        The routers themselves do not run until ``start``.
        """
        first = 0
        for count in _routers_per_process(size):
            plan = RoutersPlan(first, count, total, self._options.seed, changelog, membership)
            self._plans.append(plan)
            self.processes.append(self._workers.start(HollowRouters, plan))
            first += count
        addresses: list[Address] = self._gather("addresses")
        self._empty_bytes = self.resident_bytes()
        return addresses

    def assign_seeds(self, addresses: list[Address], others: list[Address] | None = None) -> None:
        """Give each router some random members as its seeds."""
        rng = Random(self._options.seed)
        known = addresses + (others or [])
        count = min(SEEDS_PER_ROUTER, len(known))
        for process, plan in zip(self.processes, self._plans, strict=True):
            process.call("configure", [tuple(rng.sample(known, count)) for _ in range(plan.count)])

    def start(self, spread_s: float) -> None:
        """Start all routers, at random moments within ``spread_s`` seconds."""
        call_all(self.processes, "start", spread_s)

    # --- measurements

    def resident_bytes(self) -> int:
        """Memory of the routers' processes."""
        return sum(snapshot.resident_bytes for snapshot in self.snapshots())

    def memory_kb_per_router(self, size: int) -> float:
        """The growth of the processes' memory since ``prepare``, divided by ``size`` routers, in KiB."""
        return (self.resident_bytes() - self._empty_bytes) / size / KIBIBYTE

    def snapshots(self) -> list[Snapshot]:
        """The totals of each process."""
        snapshots: list[Snapshot] = call_all(self.processes, "snapshot")
        return snapshots

    def measure(self, seconds: float) -> Usage:
        """Wait for that time; returns what the routers used meanwhile."""
        before = self.snapshots()
        time.sleep(seconds)
        return used_between(before, self.snapshots())

    # --- state of the routers

    def applied_at(self, seq: int) -> list[float]:
        """The times, on the machine's clock, at which the routers that have applied the event did so."""
        times: list[float] = self._gather("applied", seq)
        return times

    def engines_known(self) -> list[int]:
        """How many engines each running router knows."""
        counts: list[int] = self._gather("engines_known")
        return counts

    def lost_connections(self) -> int:
        """How many connections to the change log the routers have given up."""
        return sum(process.call("lost_connections") for process in self.processes)

    def knows_all_members(self, size: int, total: int) -> bool:
        """Whether all ``size`` routers run and each sees ``total`` members."""
        counts: list[int] = self._gather("member_counts")
        return len(counts) == size and all(count == total for count in counts)

    def learned_since(self, names: list[str], since: float, events: tuple[str, ...]) -> list[float | None]:
        """When each running router had learned of one of the events for all named members.

        Events learned before ``since`` do not count. ``None`` stands for a router that has not learned of all
        of them yet.
        """
        times: list[float | None] = self._gather("learned_since", names, since, events)
        return times

    def origin_counts(self) -> list[int]:
        """For each running router, from how many origins it has replicated records."""
        counts: list[int] = self._gather("origin_counts")
        return counts

    def _gather(self, method: str, *arguments: object) -> list[Any]:
        return [item for items in call_all(self.processes, method, *arguments) for item in items]

    # --- limits

    def check_memory(self) -> None:
        """Raise ``SizeNotReachedError`` if all child processes together use more memory than allowed."""
        used_mb = self._workers.resident_bytes() / MEBIBYTE
        if used_mb > self._options.memory_mb:
            raise SizeNotReachedError(f"memory: {used_mb:.0f} MB of {self._options.memory_mb} MB")

    def wait_until(self, condition: Callable[[], bool], description: str) -> None:
        """Poll until the condition holds.

        Raises ``SizeNotReachedError`` if that takes longer than the option ``wait_s``, or if the processes
        use more memory than allowed.
        """
        began = time.monotonic()
        while not condition():
            self.check_memory()
            if time.monotonic() - began > self._options.wait_s:
                raise SizeNotReachedError(
                    f"time: {description} did not come within {self._options.wait_s:g} s"
                )
            time.sleep(POLL_INTERVAL_S)


def _routers_per_process(size: int) -> list[int]:
    cores = max(1, min(MAX_PROCESSES, (os.cpu_count() or 1) - RESERVED_CORES))
    processes = min(cores, max(1, size // MIN_ROUTERS_PER_PROCESS))
    return [size // processes + (index < size % processes) for index in range(processes)]
