"""The run ``changelog``: how soon the engine list and its changes reach all routers, and at what cost."""

from __future__ import annotations

import time
from dataclasses import dataclass

from grebeproxy.lab.record import KIBIBYTE, MEBIBYTE, Point
from grebeproxy.lab.scale.addresses import engine_addresses
from grebeproxy.lab.scale.changelog_server import (
    FIRST_LIST_SEQ,
    ChangeLog,
    ChangeLogTotals,
    PublishedEvent,
)
from grebeproxy.lab.scale.deployment import DRAINING, UP, EngineRecord
from grebeproxy.lab.scale.fleet import Fleet
from grebeproxy.lab.scale.processes import Worker, Workers
from grebeproxy.lab.scale.run import Options, Outcome, Progress, SizeNotReachedError
from grebeproxy.lab.scale.units import US_PER_SECOND
from grebeproxy.units import MS_PER_SECOND
from grebeproxy.lab.scale.usage import Usage, used_between

SINGLE_CHANGES = 6  # changes of one engine, each of which is measured separately
RACKS = 80  # One rack holds the engines divided by this number.
USABLE_MEMORY = 0.85  # the fraction of the memory limit that a size may be expected to use
PAUSE_BETWEEN_CHANGES_S = 0.1
SIZE_STEP = 100  # Reduced sizes are multiples of this step.


@dataclass(frozen=True, slots=True)
class PointSize:
    """How many routers follow a list of how many engines."""

    routers: int
    engines: int


@dataclass(frozen=True, slots=True)
class ChangeCost:
    """What one event took: seconds until all routers applied it, seconds to write it, cost per router."""

    applied_s: float
    written_s: float
    cpu_s: float
    frame_bytes: float


def run_changelog(options: Options, progress: Progress, outcome: Outcome) -> None:
    """Measure each size with the most engines, and the smallest size with each smaller number of engines.

    A size that would not fit into memory is replaced by two: as many routers as fit with all engines, and all
    routers with as many engines as fit.
    """
    most_engines = max(options.engines)
    point_sizes = [
        PointSize(min(options.sizes), engines)
        for engines in sorted(options.engines)
        if engines != most_engines
    ]
    point_sizes += [PointSize(size, most_engines) for size in sorted(options.sizes)]
    mb_per_router_and_engine = 0.0  # memory of one router for one engine, at the previous size
    for point_size in point_sizes:
        for fitting in _fitting(point_size, mb_per_router_and_engine, options, progress, outcome):
            try:
                point = measure_changelog(fitting, options, progress)
            except SizeNotReachedError as reason:
                outcome.add_note(
                    f"{fitting.routers} routers with {fitting.engines} engines: ended by {reason}", progress
                )
                continue
            outcome.points.append(point)
            memory_mb = point.values["memory_kb"] / KIBIBYTE
            mb_per_router_and_engine = memory_mb / fitting.engines


def _fitting(
    point_size: PointSize,
    mb_per_router_and_engine: float,
    options: Options,
    progress: Progress,
    outcome: Outcome,
) -> list[PointSize]:
    """The size itself if it is expected to fit into memory, or two reduced sizes."""
    expected_mb = point_size.routers * point_size.engines * mb_per_router_and_engine
    if expected_mb <= USABLE_MEMORY * options.memory_mb:
        return [point_size]
    fraction = USABLE_MEMORY * options.memory_mb / expected_mb
    reduced = [
        PointSize(_rounded_down(point_size.routers * fraction), point_size.engines),
        PointSize(point_size.routers, _rounded_down(point_size.engines * fraction)),
    ]
    replacements = [(each.routers, each.engines) for each in reduced]
    outcome.add_note(
        f"{point_size.routers} routers with {point_size.engines} engines would need {expected_mb:.0f} MB "
        f"of {options.memory_mb} MB; measured instead: {replacements}",
        progress,
    )
    return reduced


def _rounded_down(value: float) -> int:
    return max(1, int(value) // SIZE_STEP * SIZE_STEP)


def measure_changelog(point_size: PointSize, options: Options, progress: Progress) -> Point:
    """Measure one point: the full list, a time without changes, single changes, and a rack that drains."""
    size = point_size.routers
    progress.line(f"changelog: {size} routers, {point_size.engines} engines")
    records = [
        EngineRecord(number, address)
        for number, address in enumerate(engine_addresses(point_size.engines), 1)
    ]
    with Workers() as workers:
        log = workers.start(ChangeLog)
        fleet = Fleet(workers, options)
        fleet.prepare(size, size, log.call("listen", records), None)
        values = _full_list(fleet, log, size)
        fleet.wait_until(lambda: min(fleet.engines_known() or [0]) == point_size.engines, "the full list")
        progress.line(f"  full list at all routers after {values['whole_last_s']:.2f} s")
        values["memory_kb"] = fleet.memory_kb_per_router(size)
        values |= _quiet(fleet.measure(options.quiet_s), size)
        values |= _changes(fleet, log, point_size)
        progress.line(f"  a change at all routers after {values['change_last_s']:.3f} s")
        values["lost_connections"] = float(fleet.lost_connections())
        totals: ChangeLogTotals = log.call("totals")
        values["log_memory_mb"] = workers.resident_bytes() / MEBIBYTE - fleet.resident_bytes() / MEBIBYTE
        values["log_bytes"] = float(totals.bytes_sent)
        values["log_cpu_s"] = totals.cpu_s
    return Point({"routers": float(size), "engines": float(point_size.engines)}, values)


def _full_list(fleet: Fleet, log: Worker, size: int) -> dict[str, float]:
    before = fleet.snapshots()
    began = time.monotonic()
    fleet.start(0.0)
    fleet.wait_until(lambda: len(fleet.applied_at(FIRST_LIST_SEQ)) == size, "the full list")
    usage = used_between(before, fleet.snapshots())
    totals: ChangeLogTotals = log.call("totals")
    return {
        "whole_last_s": max(fleet.applied_at(FIRST_LIST_SEQ)) - began,
        "whole_cpu_ms": MS_PER_SECOND * usage.total.cpu_s / size,
        "whole_bytes": usage.total.bytes_received / size,
        "whole_lists_sent": float(totals.full_lists),
    }


def _quiet(usage: Usage, size: int) -> dict[str, float]:
    return {
        "quiet_cpu_us_per_s": US_PER_SECOND * usage.total.cpu_s / size / usage.seconds,
        "quiet_process_cpu_us_per_s": US_PER_SECOND * usage.process_cpu_s / size / usage.seconds,
        "quiet_bytes_per_s": usage.total.bytes_received / size / usage.seconds,
    }


def _changes(fleet: Fleet, log: Worker, point_size: PointSize) -> dict[str, float]:
    size = point_size.routers
    last_single = min(SINGLE_CHANGES, point_size.engines)
    singles = [_publish(fleet, log, [number], DRAINING, size) for number in range(1, last_single + 1)]
    rack = list(range(1, max(1, point_size.engines // RACKS) + 1))
    drained = _publish(fleet, log, rack, DRAINING, size)
    restored = _publish(fleet, log, rack, UP, size)
    return {
        "change_last_s": max(cost.applied_s for cost in singles),
        "change_written_s": max(cost.written_s for cost in singles),
        "change_cpu_us": US_PER_SECOND * sum(cost.cpu_s for cost in singles) / len(singles),
        "change_bytes": sum(cost.frame_bytes for cost in singles) / len(singles),
        "rack_engines": float(len(rack)),
        "rack_last_s": max(drained.applied_s, restored.applied_s),
        "rack_cpu_us": US_PER_SECOND * max(drained.cpu_s, restored.cpu_s),
        "rack_bytes": drained.frame_bytes,
    }


def _publish(fleet: Fleet, log: Worker, numbers: list[int], state: int, size: int) -> ChangeCost:
    """Publish another state of these engines and wait until all routers have applied it."""
    before = fleet.snapshots()
    event: PublishedEvent = log.call("set_state", numbers, state)
    applied_s = seconds_until_applied(fleet, event, size)
    usage = used_between(before, fleet.snapshots())
    time.sleep(PAUSE_BETWEEN_CHANGES_S)
    return ChangeCost(
        applied_s, event.ended - event.began, usage.total.cpu_s / size, float(event.frame_bytes)
    )


def seconds_until_applied(fleet: Fleet, event: PublishedEvent, size: int) -> float:
    """Wait for an event; returns the seconds from its publication until the last router applied it."""
    fleet.wait_until(lambda: len(fleet.applied_at(event.seq)) == size, f"event {event.seq}")
    return max(fleet.applied_at(event.seq)) - event.began
