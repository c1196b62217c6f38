"""The run ``membership``: what it costs routers to know each other, and how soon all know of a change."""

from __future__ import annotations

import time

from grebeproxy.lab.record import Point
from grebeproxy.lab.scale.deployment import Address
from grebeproxy.lab.scale.duty_target import DutyFigures, DutyTarget
from grebeproxy.lab.scale.hollow_routers import MembershipPlan, router_name
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

FAILED_WORDS = ("failed", "left")
RETURNED_WORDS = ("joined", "restarted")
RESTARTED_PART = 10  # one in so many restarts at once
STARTS_A_SECOND = 40.0  # so that a start of all is no storm that no fleet sees
MOST_LATENESS = 0.1  # of a period, by which timers may be late on average where a period is held
CALM_PERIODS = 12.0  # until the news of the joins have been passed on


def run_membership(options: Options, progress: Progress, outcome: Outcome) -> None:
    """Each size; the first that this machine does not carry ends the run."""
    for size in sorted(options.sizes):
        try:
            outcome.points.append(measure_membership(size, options, progress))
        except SizeNotReachedError as ended:
            outcome.notes.append(f"{size} routers: ended by {ended}")
            progress.line(outcome.notes[-1])
            break


def measure_membership(size: int, options: Options, progress: Progress) -> Point:
    """One point: all join, a quiet time, one is killed, a tenth restarts."""
    progress.line(f"membership: {size} routers, period {options.period_s:g} s")
    with Workers() as workers:
        duty, report = _duty_target(workers, options)
        plan = MembershipPlan(size, options.period_s, duty_report=report)
        fleet = Fleet(workers, options)
        fleet.configure(fleet.prepare(size, size, None, plan))
        values = _join(fleet, size, options)
        progress.line(f"  all know all after {values['join_s']:.1f} s")
        values |= _quiet(fleet, size, options)
        progress.line(
            f"  quiet: {values['quiet_cpu_us_per_s']:.0f} us and {values['quiet_bytes_per_s']:.0f} bytes "
            f"a second and router, timers late by {values['quiet_lateness_ms']:.1f} ms"
        )
        values |= _kill(fleet, size, options)
        progress.line(f"  a killed one: all know after {values['kill_last_s']:.1f} s")
        values |= _restart(fleet, size, options)
        progress.line(f"  a tenth restarted: all know after {values['restart_last_s']:.1f} s")
        values |= _duty_values(duty)
    return Point({"routers": float(size)}, values)


def _duty_target(workers: Workers, options: Options) -> tuple[Worker | None, Address | None]:
    if not options.duty:
        return None, None
    target = workers.start(DutyTarget)
    return target, target.call("listen")


def _duty_values(target: Worker | None) -> dict[str, float]:
    if target is None:
        return {"duty_done": 0.0, "duty_refused": 0.0, "duty_holders": 0.0}
    figures: DutyFigures = target.call("figures")
    return {
        "duty_done": float(figures.done),
        "duty_refused": float(figures.refused),
        "duty_holders": float(len(figures.holders)),
    }


def _all_see(fleet: Fleet, size: int) -> bool:
    counts = fleet.gather("member_counts")
    return len(counts) == size and all(count == size for count in counts)


def _join(fleet: Fleet, size: int, options: Options) -> dict[str, float]:
    before, began = fleet.snapshots(), time.monotonic()
    fleet.start(size / STARTS_A_SECOND)
    fleet.wait(lambda: _all_see(fleet, size), "that all know all")
    joined_s = time.monotonic() - began
    usage = used_between(before, fleet.snapshots())
    time.sleep(CALM_PERIODS * options.period_s)
    fleet.check_memory()
    return {
        "join_s": joined_s,
        "join_bytes": usage.total.bytes_sent / size,
        "join_packets": usage.total.packets_sent / size,
        "join_cpu_ms": 1000 * usage.total.cpu_s / size,
    }


def _quiet(fleet: Fleet, size: int, options: Options) -> dict[str, float]:
    usage = fleet.measure(options.quiet_s)
    held, cores = 1000 * options.period_s * MOST_LATENESS, usage.process_cpu_s / usage.seconds
    if usage.lateness_ms > held:
        raise SizeNotReachedError(
            f"CPU: timers were late by {usage.lateness_ms:.0f} ms on average, "
            f"where {held:.0f} ms are a tenth of a period; {cores:.1f} cores were used"
        )
    held_mb = fleet.resident_bytes() - fleet.empty_bytes
    origins = [int(str(count)) for count in fleet.gather("origins_held")]
    return {
        **_rates("quiet", usage, size),
        "quiet_lateness_ms": usage.lateness_ms,
        "quiet_cores": cores,
        "memory_kb": held_mb / size / 1024,
        "origins_held": sum(origins) / len(origins),
    }


def _rates(name: str, usage: Usage, size: int) -> dict[str, float]:
    total, seconds = usage.total, usage.seconds
    return {
        f"{name}_cpu_us_per_s": 1e6 * total.cpu_s / size / seconds,
        f"{name}_process_cpu_us_per_s": 1e6 * usage.process_cpu_s / size / seconds,
        f"{name}_bytes_per_s": total.bytes_sent / size / seconds,
        f"{name}_packets_per_s": total.packets_sent / size / seconds,
        f"{name}_most_bytes_per_s": max(router.bytes_sent for router in usage.routers) / seconds,
        f"{name}_most_cpu_us_per_s": 1e6 * max(router.cpu_s for router in usage.routers) / seconds,
    }


def _kill(fleet: Fleet, size: int, options: Options) -> dict[str, float]:
    """The last router is killed; the figures are of the others."""
    gone = router_name(size - 1)
    before = fleet.snapshots()
    killed_at: float = fleet.processes[-1].call("kill", [gone])
    times: list[object] = []

    def all_know() -> bool:
        times[:] = fleet.gather("learned_since", [gone], killed_at, FAILED_WORDS)
        return all(at is not None for at in times)

    fleet.wait(all_know, "that all know of the killed one")
    time.sleep(options.period_s)
    usage = used_between(before, fleet.snapshots())
    delays = [float(str(at)) - killed_at for at in times]
    fleet.processes[-1].call("restart", [gone])
    fleet.wait(lambda: _all_see(fleet, size), "that the killed one is back")
    time.sleep(CALM_PERIODS * options.period_s)
    return {
        "kill_first_s": min(delays),
        "kill_last_s": max(delays),
        **_rates("kill", usage, size),
    }


def _restart(fleet: Fleet, size: int, options: Options) -> dict[str, float]:
    """One in ten restarts at once, without a word before."""
    names = [router_name(number) for number in range(0, size, RESTARTED_PART)]
    before = fleet.snapshots()
    for process in fleet.processes:
        process.send("restart", names)
    began = min(float(process.receive()) for process in fleet.processes)

    def all_know() -> bool:
        times = fleet.gather("learned_since", names, began, RETURNED_WORDS)
        return all(at is not None for at in times) and _all_see(fleet, size)

    fleet.wait(all_know, "that all know of the restarted ones")
    last_s = time.monotonic() - began
    usage = used_between(before, fleet.snapshots())
    return {
        "restart_last_s": last_s,
        "restart_routers": float(len(names)),
        "restart_bytes": usage.total.bytes_sent / size,
        "restart_packets": usage.total.packets_sent / size,
        "restart_cpu_ms": 1000 * usage.total.cpu_s / size,
        "restart_most_bytes": float(max(router.bytes_sent for router in usage.routers)),
    }
