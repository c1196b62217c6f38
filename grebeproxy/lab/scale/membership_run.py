"""The run ``membership``: the protocol's cost per router, and how soon all routers learn of a change."""

from __future__ import annotations

import time

from grebeproxy.lab.record import Point
from grebeproxy.lab.scale.duty_target import DutyTarget, DutyTotals
from grebeproxy.lab.scale.fleet import Fleet
from grebeproxy.lab.scale.plans import MembershipPlan, router_name
from grebeproxy.lab.scale.processes import Worker, Workers, call_all
from grebeproxy.lab.scale.run import Options, Outcome, Progress, SizeNotReachedError
from grebeproxy.lab.scale.units import US_PER_SECOND
from grebeproxy.units import MS_PER_SECOND
from grebeproxy.lab.scale.usage import Usage, used_between

# Events that a router logs about another member.
FAILED_EVENTS = ("failed", "left")
RETURNED_EVENTS = ("joined", "restarted")
RESTARTED_PART = 10  # One in this many routers restarts, all at the same time.
STARTS_PER_SECOND = 40.0  # A real fleet does not start all its routers at the same moment either.
MAX_LATENESS = 0.1  # in periods, mean of all timers; beyond it, the run measures the machine
SETTLING_PERIODS = 12.0  # The gossip about the joins ends within this time.


def run_membership(options: Options, progress: Progress, outcome: Outcome) -> None:
    """Measure each size. The first size that this machine cannot run ends the run."""
    for size in sorted(options.sizes):
        try:
            outcome.points.append(measure_membership(size, options, progress))
        except SizeNotReachedError as reason:
            outcome.add_note(f"{size} routers: ended by {reason}", progress)
            break


def measure_membership(size: int, options: Options, progress: Progress) -> Point:
    """Measure one point: all routers join, a quiet time, one is killed, a tenth restarts."""
    progress.line(f"membership: {size} routers, period {options.period_s:g} s")
    with Workers() as workers:
        duty = workers.start(DutyTarget) if options.duty else None
        duty_report = duty.call("listen") if duty is not None else None
        plan = MembershipPlan(size, options.period_s, duty_report=duty_report)
        fleet = Fleet(workers, options)
        fleet.assign_seeds(fleet.prepare(size, size, None, plan))
        values = _join(fleet, size, options)
        progress.line(f"  all know all after {values['join_s']:.1f} s")
        values |= _quiet(fleet, size, options)
        progress.line(
            f"  quiet: {values['quiet_cpu_us_per_s']:.0f} us and {values['quiet_bytes_per_s']:.0f} bytes "
            f"a second and router, timers late by {values['quiet_lateness_ms']:.1f} ms"
        )
        values |= _kill(fleet, size, options)
        progress.line(f"  one killed: all know after {values['kill_last_s']:.1f} s")
        values |= _restart(fleet, size)
        progress.line(f"  a tenth restarted: all know after {values['restart_last_s']:.1f} s")
        values |= _duty_values(duty)
    return Point({"routers": float(size)}, values)


def _duty_values(duty: Worker | None) -> dict[str, float]:
    totals: DutyTotals = duty.call("totals") if duty is not None else DutyTotals(0, 0, ())
    return {
        "duty_done": float(totals.accepted),
        "duty_refused": float(totals.rejected),
        "duty_holders": float(len(totals.lease_holders)),
    }


def _join(fleet: Fleet, size: int, options: Options) -> dict[str, float]:
    before = fleet.snapshots()
    began = time.monotonic()
    fleet.start(size / STARTS_PER_SECOND)
    fleet.wait_until(lambda: fleet.knows_all_members(size, size), "that all know all")
    joined_s = time.monotonic() - began
    usage = used_between(before, fleet.snapshots())
    time.sleep(SETTLING_PERIODS * options.period_s)
    fleet.check_memory()
    return {
        "join_s": joined_s,
        "join_bytes": usage.total.bytes_sent / size,
        "join_packets": usage.total.packets_sent / size,
        "join_cpu_ms": MS_PER_SECOND * usage.total.cpu_s / size,
    }


def _quiet(fleet: Fleet, size: int, options: Options) -> dict[str, float]:
    usage = fleet.measure(options.quiet_s)
    max_lateness_ms = MS_PER_SECOND * options.period_s * MAX_LATENESS
    cores = usage.process_cpu_s / usage.seconds
    if usage.lateness_ms > max_lateness_ms:
        raise SizeNotReachedError(
            f"CPU: timers were late by {usage.lateness_ms:.0f} ms on average, "
            f"where {max_lateness_ms:.0f} ms are a tenth of a period; {cores:.1f} cores were used"
        )
    memory_kb = fleet.memory_kb_per_router(size)
    origins = fleet.origin_counts()
    return {
        **_rates("quiet", usage, size),
        "quiet_lateness_ms": usage.lateness_ms,
        "quiet_cores": cores,
        "memory_kb": memory_kb,
        "origins_held": sum(origins) / len(origins),
    }


def _rates(name: str, usage: Usage, size: int) -> dict[str, float]:
    total = usage.total
    seconds = usage.seconds
    return {
        f"{name}_cpu_us_per_s": US_PER_SECOND * total.cpu_s / size / seconds,
        f"{name}_process_cpu_us_per_s": US_PER_SECOND * usage.process_cpu_s / size / seconds,
        f"{name}_bytes_per_s": total.bytes_sent / size / seconds,
        f"{name}_packets_per_s": total.packets_sent / size / seconds,
        f"{name}_most_bytes_per_s": max(router.bytes_sent for router in usage.routers) / seconds,
        f"{name}_most_cpu_us_per_s": US_PER_SECOND * max(router.cpu_s for router in usage.routers) / seconds,
    }


def _kill(fleet: Fleet, size: int, options: Options) -> dict[str, float]:
    """Kill the last router, measure the others, and start it again."""
    killed = router_name(size - 1)
    before = fleet.snapshots()
    killed_at: float = fleet.processes[-1].call("kill", [killed])
    learned_at: list[float] = []

    def all_know() -> bool:
        times = fleet.learned_since([killed], killed_at, FAILED_EVENTS)
        learned_at[:] = [learned for learned in times if learned is not None]
        return len(learned_at) == len(times)

    fleet.wait_until(all_know, "that all know of the killed one")
    time.sleep(options.period_s)
    usage = used_between(before, fleet.snapshots())
    fleet.processes[-1].call("restart", [killed])
    fleet.wait_until(lambda: fleet.knows_all_members(size, size), "that the killed one is back")
    time.sleep(SETTLING_PERIODS * options.period_s)
    return {
        "kill_first_s": min(learned_at) - killed_at,
        "kill_last_s": max(learned_at) - killed_at,
        **_rates("kill", usage, size),
    }


def _restart(fleet: Fleet, size: int) -> dict[str, float]:
    """Restart a tenth of the routers at once, as after a crash, and measure until all routers know of it."""
    names = [router_name(number) for number in range(0, size, RESTARTED_PART)]
    before = fleet.snapshots()
    began: float = min(call_all(fleet.processes, "restart", names))

    def all_know() -> bool:
        times = fleet.learned_since(names, began, RETURNED_EVENTS)
        return None not in times and fleet.knows_all_members(size, size)

    fleet.wait_until(all_know, "that all know of the restarted ones")
    last_s = time.monotonic() - began
    usage = used_between(before, fleet.snapshots())
    return {
        "restart_last_s": last_s,
        "restart_routers": float(len(names)),
        "restart_bytes": usage.total.bytes_sent / size,
        "restart_packets": usage.total.packets_sent / size,
        "restart_cpu_ms": MS_PER_SECOND * usage.total.cpu_s / size,
        "restart_most_bytes": float(max(router.bytes_sent for router in usage.routers)),
    }
