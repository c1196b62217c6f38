"""Measures outages of many routers: a restart of all, a lost rack, a lost zone, two partitioned regions."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from grebeproxy.lab.control.addresses import ZONES, zone
from grebeproxy.lab.control.errors import NotReachedError
from grebeproxy.lab.control.fleet import Fleet, converged_fleet
from grebeproxy.lab.control.usage import NANOSECONDS_PER_PERCENT
from grebeproxy.lab.record import Point

SIZES = (60, 120, 180, 240)
REGIONS_SIZES = (30, 60, 120, 240)
RACKS = 24  # in the fleet, so that a rack is a quarter of a zone
LOST_ZONE = 0
FIRST_ZONE_OF_SECOND_REGION = ZONES // 2
SETTLING_SECONDS = 3.0
OUTAGE_SECONDS = 30.0
MAX_SECONDS = 90.0
INTERVAL_SECONDS = 0.5  # between two readings of what each router has sent
SHORTEST_SECONDS = 1e-9  # replaces an elapsed time of zero, by which a rate cannot be divided


@dataclass(frozen=True, slots=True)
class Convergence:
    """How long a condition took to become true, and what routers sent meanwhile.

    ``reached`` says whether the condition became true within ``MAX_SECONDS``.
    """

    reached: bool
    seconds: float
    mean_bytes: float
    max_bytes: float  # greatest number of bytes sent by one router
    max_bytes_per_s: float  # greatest rate of one router in one interval
    cpu_percent: float  # mean over routers and time, in percent of a core

    def values(self, name: str) -> dict[str, float]:
        """Return the values to record under names with a prefix, without the time if it was not reached."""
        values = {
            f"{name}_bytes": self.mean_bytes,
            f"{name}_most_bytes": self.max_bytes,
            f"{name}_bytes_per_s": self.mean_bytes / self.seconds,
            f"{name}_most_bytes_per_s": self.max_bytes_per_s,
            f"{name}_cpu_percent": self.cpu_percent,
        }
        if self.reached:
            values[f"{name}_s"] = self.seconds
        return values


def measure_restart(size: int, seed: int) -> list[Point]:
    """Measure a restart of all routers at once, and a rack that fails and returns."""
    return [Point({"members": size}, {**_restart_values(size, seed), **_rack_values(size, seed)})]


def measure_zone(size: int, seed: int) -> list[Point]:
    """Measure a zone that is partitioned from the others and returns."""
    return [Point({"members": size}, _zone_values(size, seed))]


def measure_regions(size: int, seed: int) -> list[Point]:
    """Measure a partition between two regions of three zones each, and its healing."""
    return [Point({"members": size}, _region_values(size, seed))]


def _restart_values(size: int, seed: int) -> dict[str, float]:
    fleet = Fleet(size, seed)
    fleet.start(*range(size))
    converged = _observe_convergence(fleet, range(size))
    return {**converged.values("all_restart"), "all_restart_refused_packets": fleet.rejected_packets}


def _rack_values(size: int, seed: int) -> dict[str, float]:
    fleet = converged_fleet(size, seed, SETTLING_SECONDS)
    rack = range(size - size // RACKS, size)
    remaining = range(size - size // RACKS)
    fleet.kill(*rack)
    lost = _observe_convergence(fleet, remaining)
    _wait_for_end_of_outage(fleet, lost)
    fleet.start(*rack)
    returned = _observe_convergence(fleet, range(size))
    return {**lost.values("rack_lost"), **returned.values("rack_returned")}


def _zone_values(size: int, seed: int) -> dict[str, float]:
    fleet = converged_fleet(size, seed, SETTLING_SECONDS)
    remaining = [router for router in range(size) if zone(router) != LOST_ZONE]
    _partition(fleet, lambda router: zone(router) == LOST_ZONE)
    lost = _observe_convergence(fleet, remaining)
    _wait_for_end_of_outage(fleet, lost)
    fleet.partitioned = None
    returned = _observe_convergence(fleet, range(size))
    return {**lost.values("zone_lost"), **returned.values("zone_returned")}


def _region_values(size: int, seed: int) -> dict[str, float]:
    """Measure the time until no router in either half is quorate, and until all views agree again."""
    fleet = converged_fleet(size, seed, SETTLING_SECONDS)
    _partition(fleet, lambda router: zone(router) < FIRST_ZONE_OF_SECOND_REGION)
    partitioned = _observe(fleet, range(size), lambda: _count_quorate(fleet) == 0)
    _wait_for_end_of_outage(fleet, partitioned)
    quorate = _count_quorate(fleet)
    fleet.partitioned = None
    healed = _observe_convergence(fleet, range(size))
    values = {**partitioned.values("regions_parted"), **healed.values("regions_healed")}
    return {**values, "regions_parted_quorate_routers": quorate}


def _partition(fleet: Fleet, on_first_side: Callable[[int], bool]) -> None:
    sides = [on_first_side(router) for router in range(fleet.size)]
    fleet.partitioned = lambda sender, receiver: sides[sender] != sides[receiver]


def _wait_for_end_of_outage(fleet: Fleet, lost: Convergence) -> None:
    fleet.run(max(0.0, OUTAGE_SECONDS - lost.seconds))


def _count_quorate(fleet: Fleet) -> int:
    """Return how many routers see themselves as part of a majority."""
    return sum(process.node.view.quorate for process in fleet.processes.values())


def _observe_convergence(fleet: Fleet, routers: Sequence[int]) -> Convergence:
    """Run until the views of the given routers hold exactly the given routers."""
    return _observe(fleet, routers, lambda: fleet.has_converged(routers))


def _observe(fleet: Fleet, routers: Sequence[int], holds: Callable[[], bool]) -> Convergence:
    """Run until a condition holds, reading what each router has sent at the end of each interval."""
    started_at = fleet.now
    cpu_before = fleet.usage(routers).cpu_ns
    first = _bytes_sent(fleet, routers)
    last = first
    max_interval_bytes = 0
    reached = False
    while not reached and fleet.now - started_at < MAX_SECONDS:
        try:
            seconds = fleet.run_until(holds, INTERVAL_SECONDS)
            reached = True
        except NotReachedError:
            seconds = INTERVAL_SECONDS
        current = _bytes_sent(fleet, routers)
        # The last interval may be shorter. It counts only if it is the only one.
        if seconds >= INTERVAL_SECONDS or max_interval_bytes == 0:
            max_interval_bytes = max(max_interval_bytes, *_differences(current, last))
        last = current
    sent = _differences(last, first)
    elapsed = max(fleet.now - started_at, SHORTEST_SECONDS)
    cpu_ns = fleet.usage(routers).cpu_ns - cpu_before
    return Convergence(
        reached=reached,
        seconds=elapsed,
        mean_bytes=sum(sent) / len(sent),
        max_bytes=max(sent),
        max_bytes_per_s=max_interval_bytes / INTERVAL_SECONDS,
        cpu_percent=cpu_ns / len(routers) / elapsed / NANOSECONDS_PER_PERCENT,
    )


def _bytes_sent(fleet: Fleet, routers: Sequence[int]) -> list[int]:
    return [fleet.usage([router]).bytes_sent for router in routers]


def _differences(later: Sequence[int], earlier: Sequence[int]) -> list[int]:
    return [now - then for now, then in zip(later, earlier, strict=True)]
