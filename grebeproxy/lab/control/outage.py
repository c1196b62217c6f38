"""Many routers at once: all restart, a rack or a zone is lost and returns, two regions lose each other."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from grebeproxy.lab.control.fleet import Fleet, NotReachedError, zone
from grebeproxy.lab.record import Point

SIZES = (60, 120, 180, 240)
REGIONS_SIZES = (30, 60, 120, 240)
RACK_PART = 24  # a rack holds one in so many routers: a quarter of a zone
SETTLING_SECONDS = 3.0
OUTAGE_SECONDS = 30.0
MOST_SECONDS = 90.0
WATCH_SECONDS = 0.5
NANOSECONDS_PERCENT = 1e7

Selects = Callable[[int], bool]


@dataclass(frozen=True, slots=True)
class Watched:
    """How long something took, and what routers sent meanwhile, in bytes; ``reached`` if it came about."""

    reached: bool
    seconds: float
    mean_bytes: float
    most_bytes: float  # of one router
    most_bytes_per_s: float  # of one router, in one of the intervals
    cpu_percent: float  # of a core, the mean over routers and time


def measure_restart(size: int, seed: int) -> list[Point]:
    """All routers restart at once; a rack fails and returns."""
    return [Point({"members": size}, {**_all_restart(size, seed), **_rack_fails(size, seed)})]


def measure_zone(size: int, seed: int) -> list[Point]:
    """A zone is cut off and returns."""
    return [Point({"members": size}, _zone_is_cut_off(size, seed))]


def measure_regions(size: int, seed: int) -> list[Point]:
    """Two regions of three zones each lose one another, and meet again."""
    return [Point({"members": size}, _regions_part(size, seed))]


def _all_restart(size: int, seed: int) -> dict[str, float]:
    fleet = Fleet(size, seed)
    fleet.start(*range(size))
    watched = _watch(fleet, range(size), lambda: fleet.agree(range(size)))
    return {**_values("all_restart", watched), "all_restart_refused_packets": fleet.refused_packets}


def _rack_fails(size: int, seed: int) -> dict[str, float]:
    fleet = _quiet_fleet(size, seed)
    rack = range(size - size // RACK_PART, size)
    rest = range(size - size // RACK_PART)
    fleet.kill(*rack)
    lost = _watch(fleet, rest, lambda: fleet.agree(rest))
    fleet.run(max(0.0, OUTAGE_SECONDS - lost.seconds))
    fleet.start(*rack)
    returned = _watch(fleet, range(size), lambda: fleet.agree(range(size)))
    return {**_values("rack_lost", lost), **_values("rack_returned", returned)}


def _zone_is_cut_off(size: int, seed: int) -> dict[str, float]:
    fleet = _quiet_fleet(size, seed)
    rest = [router for router in range(size) if zone(router) != 0]
    _separate(fleet, lambda router: zone(router) == 0)
    lost = _watch(fleet, rest, lambda: fleet.agree(rest))
    fleet.run(max(0.0, OUTAGE_SECONDS - lost.seconds))
    fleet.separated = None
    returned = _watch(fleet, range(size), lambda: fleet.agree(range(size)))
    return {**_values("zone_lost", lost), **_values("zone_returned", returned)}


def _regions_part(size: int, seed: int) -> dict[str, float]:
    """Two halves: the time until no router on either side acts for all, and until all agree again."""
    fleet = _quiet_fleet(size, seed)
    _separate(fleet, lambda router: zone(router) < 3)
    parted = _watch(fleet, range(size), lambda: _quorate(fleet) == 0)
    fleet.run(max(0.0, OUTAGE_SECONDS - parted.seconds))
    quorate = _quorate(fleet)
    fleet.separated = None
    healed = _watch(fleet, range(size), lambda: fleet.agree(range(size)))
    values = {**_values("regions_parted", parted), **_values("regions_healed", healed)}
    return {**values, "regions_parted_quorate_routers": quorate}


def _quiet_fleet(size: int, seed: int) -> Fleet:
    fleet = Fleet(size, seed)
    fleet.start_acquainted()
    fleet.run(SETTLING_SECONDS)
    return fleet


def _separate(fleet: Fleet, on_one_side: Selects) -> None:
    sides = [on_one_side(router) for router in range(fleet.size)]
    fleet.separated = lambda sender, receiver: sides[sender] != sides[receiver]


def _quorate(fleet: Fleet) -> int:
    """How many routers take themselves for part of a majority."""
    return sum(process.node.view.quorate for process in fleet.processes.values())


def _watch(fleet: Fleet, routers: Sequence[int], holds: Callable[[], bool]) -> Watched:
    """Run until a condition holds, reading what each router sends at the end of each interval."""
    began = fleet.now
    first = last = _bytes_sent(fleet, routers)
    cpu_before = fleet.usage(routers).cpu_ns
    steepest = 0
    reached = False
    while not reached and fleet.now - began < MOST_SECONDS:
        try:
            seconds = fleet.run_until(holds, WATCH_SECONDS)
            reached = True
        except NotReachedError:
            seconds = WATCH_SECONDS
        current = _bytes_sent(fleet, routers)
        if seconds >= WATCH_SECONDS or steepest == 0:
            steepest = max(steepest, *(now - then for now, then in zip(current, last, strict=True)))
        last = current
    sent = [now - then for now, then in zip(last, first, strict=True)]
    seconds = max(fleet.now - began, 1e-9)
    cpu = (fleet.usage(routers).cpu_ns - cpu_before) / len(routers) / seconds / NANOSECONDS_PERCENT
    per_second = steepest / WATCH_SECONDS
    return Watched(reached, seconds, sum(sent) / len(sent), max(sent), per_second, cpu)


def _bytes_sent(fleet: Fleet, routers: Sequence[int]) -> list[int]:
    return [fleet.usage([router]).bytes_sent for router in routers]


def _values(name: str, watched: Watched) -> dict[str, float]:
    values = {
        f"{name}_bytes": watched.mean_bytes,
        f"{name}_most_bytes": watched.most_bytes,
        f"{name}_bytes_per_s": watched.mean_bytes / watched.seconds,
        f"{name}_most_bytes_per_s": watched.most_bytes_per_s,
        f"{name}_cpu_percent": watched.cpu_percent,
    }
    return values | ({f"{name}_s": watched.seconds} if watched.reached else {})
