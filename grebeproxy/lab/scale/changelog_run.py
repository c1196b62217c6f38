"""The run ``changelog``: how the engine list and its changes reach all routers, and what that costs each."""

from __future__ import annotations

import time

from grebeproxy.lab.record import MEBIBYTE, Point
from grebeproxy.lab.scale.changelog_server import ChangeLog, Published, Served
from grebeproxy.lab.scale.deployment import DRAINING, UP, EngineRecord, engine_addresses
from grebeproxy.lab.scale.processes import Worker, Workers
from grebeproxy.lab.scale.run import (
    Fleet,
    Options,
    Outcome,
    Progress,
    SizeNotReachedError,
    Usage,
    used_between,
)

CHANGES = 6  # single changes, each measured by itself
RACK_PART = 80  # a rack is one in so many engines
FILLED = 0.85  # part of the memory that a size may be expected to take
SETTLE_S = 0.1  # between changes


def run_changelog(options: Options, progress: Progress, outcome: Outcome) -> None:
    """Each size with the most engines, and the first size with each smaller number of engines.

    A size that would not fit the memory is played twice: with as many routers as fit, and with as many
    engines as fit.
    """
    most = max(options.engines)
    pairs = [(min(options.sizes), engines) for engines in sorted(options.engines) if engines != most]
    pairs += [(size, most) for size in sorted(options.sizes)]
    pair_mb = 0.0  # what one router held of one engine at the size before
    for size, engines in pairs:
        wanted_mb = size * engines * pair_mb
        if wanted_mb <= FILLED * options.memory_mb:
            played = [(size, engines)]
        else:
            part = FILLED * options.memory_mb / wanted_mb
            played = [(_hundreds(size * part), engines), (size, _hundreds(engines * part))]
            outcome.notes.append(
                f"{size} routers with {engines} engines would hold {wanted_mb:.0f} MB "
                f"of {options.memory_mb} MB; played instead: {played}"
            )
            progress.line(outcome.notes[-1])
        for pair in played:
            try:
                point = measure_changelog(*pair, options, progress)
            except SizeNotReachedError as ended:
                outcome.notes.append(f"{pair[0]} routers with {pair[1]} engines: ended by {ended}")
                progress.line(outcome.notes[-1])
                continue
            outcome.points.append(point)
            pair_mb = point.values["memory_kb"] / 1024 / pair[1]


def _hundreds(value: float) -> int:
    return max(1, int(value) // 100 * 100)


def measure_changelog(size: int, engines: int, options: Options, progress: Progress) -> Point:
    """One point: the whole list, a quiet time, single changes, and a rack that goes and comes back."""
    progress.line(f"changelog: {size} routers, {engines} engines")
    records = [EngineRecord(n, address) for n, address in enumerate(engine_addresses(engines), 1)]
    with Workers() as workers:
        log = workers.start(ChangeLog)
        fleet = Fleet(workers, options)
        fleet.prepare(size, size, log.call("listen", records), None)
        values = _whole_list(fleet, log, size)
        fleet.wait(lambda: min(_engines_known(fleet)) == engines, "the whole list")
        progress.line(f"  whole list at all after {values['whole_last_s']:.2f} s")
        values["memory_kb"] = (fleet.resident_bytes() - fleet.empty_bytes) / size / 1024
        values |= _quiet(fleet.measure(options.quiet_s), size)
        values |= _changes(fleet, log, size, engines)
        progress.line(f"  a change at all after {values['change_last_s']:.3f} s")
        values["lost_connections"] = float(
            sum(process.call("lost_connections") for process in fleet.processes)
        )
        served: Served = log.call("served")
        values["log_memory_mb"] = workers.resident_bytes() / MEBIBYTE - fleet.resident_bytes() / MEBIBYTE
        values["log_bytes"], values["log_cpu_s"] = float(served.bytes_sent), served.cpu_s
    return Point({"routers": float(size), "engines": float(engines)}, values)


def _engines_known(fleet: Fleet) -> list[int]:
    return [int(str(known)) for known in fleet.gather("engines_known")] or [0]


def _applied(fleet: Fleet, seq: int) -> list[float]:
    return [float(str(at)) for at in fleet.gather("applied", seq)]


def _whole_list(fleet: Fleet, log: Worker, size: int) -> dict[str, float]:
    before, began = fleet.snapshots(), time.monotonic()
    fleet.start(0.0)
    fleet.wait(lambda: len(_applied(fleet, 1)) == size, "the whole list")
    usage = used_between(before, fleet.snapshots())
    served: Served = log.call("served")
    return {
        "whole_last_s": max(_applied(fleet, 1)) - began,
        "whole_cpu_ms": 1000 * usage.total.cpu_s / size,
        "whole_bytes": usage.total.bytes_received / size,
        "whole_lists_sent": float(served.whole_lists),
    }


def _quiet(usage: Usage, size: int) -> dict[str, float]:
    return {
        "quiet_cpu_us_per_s": 1e6 * usage.total.cpu_s / size / usage.seconds,
        "quiet_process_cpu_us_per_s": 1e6 * usage.process_cpu_s / size / usage.seconds,
        "quiet_bytes_per_s": usage.total.bytes_received / size / usage.seconds,
    }


def _changes(fleet: Fleet, log: Worker, size: int, engines: int) -> dict[str, float]:
    single = [
        _publish(fleet, log, [number], DRAINING, size) for number in range(1, min(CHANGES, engines) + 1)
    ]
    rack = list(range(1, max(1, engines // RACK_PART) + 1))
    gone, back = _publish(fleet, log, rack, DRAINING, size), _publish(fleet, log, rack, UP, size)
    return {
        "change_last_s": max(last for last, _, _, _ in single),
        "change_written_s": max(written for _, written, _, _ in single),
        "change_cpu_us": 1e6 * sum(cpu for _, _, cpu, _ in single) / len(single),
        "change_bytes": sum(size_ for _, _, _, size_ in single) / len(single),
        "rack_engines": float(len(rack)),
        "rack_last_s": max(gone[0], back[0]),
        "rack_cpu_us": 1e6 * max(gone[2], back[2]),
        "rack_bytes": gone[3],
    }


def _publish(
    fleet: Fleet, log: Worker, numbers: list[int], state: int, size: int
) -> tuple[float, float, float, float]:
    """Seconds until the last has it and until it was written, CPU seconds and bytes of each router."""
    before = fleet.snapshots()
    published: Published = log.call("set_state", numbers, state)
    fleet.wait(lambda: len(_applied(fleet, published.seq)) == size, f"event {published.seq}")
    last = max(_applied(fleet, published.seq)) - published.began
    usage = used_between(before, fleet.snapshots())
    time.sleep(SETTLE_S)
    cpu = usage.total.cpu_s / size
    return last, published.ended - published.began, cpu, float(published.frame_bytes)
