"""A lease that all routers want: its renewal, and the time until another router holds it."""

from __future__ import annotations

from statistics import median

from grebeproxy.lab.control.fleet import DUTY, LEASE_SECONDS, Fleet
from grebeproxy.lab.control.usage import Traffic
from grebeproxy.lab.record import Point
from grebeproxy.membership.lease import RENEW

SIZES = (60, 120, 240, 600)
MOST_TAKEOVER_SIZE = 240  # above it only renewals are measured: contention costs the square of the size
RENEWALS = 10
TAKEOVERS = 3
MOST_SECONDS = 60.0
NANOSECONDS_PERCENT = 1e7
KINDS = (Traffic.LEASE,)


def measure(size: int, seed: int) -> list[Point]:
    """All points of one size."""
    fleet = fleet_with_holder(size, seed)
    values = _renewal_values(fleet)
    if size <= MOST_TAKEOVER_SIZE:
        values |= {**_takeover_values(fleet), **_contention_values(fleet)}
    return [Point({"members": size}, values)]


def fleet_with_holder(size: int, seed: int) -> Fleet:
    """A fleet in which router 0 holds the lease, and all others want it."""
    fleet = Fleet(size, seed, duties=(DUTY,))
    fleet.start_acquainted()
    fleet.run(0.5)
    fleet.want_lease(0)
    fleet.run_until(lambda: fleet.holder() == 0, MOST_SECONDS)
    fleet.want_lease(*range(1, size))
    fleet.run(2 * LEASE_SECONDS)
    return fleet


def _renewal_values(fleet: Fleet) -> dict[str, float]:
    holder = fleet.holder()
    assert holder is not None
    others = [router for router in range(fleet.size) if router != holder]
    before, before_others = fleet.usage([holder], KINDS), fleet.usage(others, KINDS)
    seconds = RENEWALS * RENEW * LEASE_SECONDS
    fleet.run(seconds)
    used, used_others = fleet.usage([holder], KINDS) - before, fleet.usage(others, KINDS) - before_others
    member_seconds = len(others) * seconds
    return {
        "renewal_packets_sent": used.packets_sent / RENEWALS,
        "renewal_bytes_sent": used.bytes_sent / RENEWALS,
        "holder_packets_per_s": used.packets_sent / seconds,
        "holder_bytes_per_s": used.bytes_sent / seconds,
        "holder_cpu_percent": used.cpu_ns / seconds / NANOSECONDS_PERCENT,
        "member_packets_per_s": used_others.packets_sent / member_seconds,
        "member_bytes_per_s": used_others.bytes_sent / member_seconds,
        "member_cpu_percent": used_others.cpu_ns / member_seconds / NANOSECONDS_PERCENT,
    }


def _takeover_values(fleet: Fleet) -> dict[str, float]:
    """Kill one holder after another; each starts anew once there is a new one."""
    times, packets, candidates = [], [], []
    for _ in range(TAKEOVERS):
        failed = fleet.holder()
        assert failed is not None
        others = [router for router in range(fleet.size) if router != failed]
        fleet.kill(failed)
        before = {router: fleet.usage([router], KINDS) for router in others}
        times.append(fleet.run_until(lambda: fleet.holder() is not None, MOST_SECONDS))
        sent = [(fleet.usage([router], KINDS) - before[router]).packets_sent for router in others]
        packets.append(sum(sent))
        candidates.append(sum(count >= len(others) for count in sent))
        fleet.start(failed)
        fleet.run(1.5 * LEASE_SECONDS)
    return {
        "takeover_s": median(times),
        "takeover_most_s": max(times),
        "takeover_packets": median(packets),
        "takeover_candidates": median(candidates),
    }


def _contention_values(fleet: Fleet) -> dict[str, float]:
    """What goes on once the lease has a new holder: routers that lost may still ask all for their votes."""
    before = {router: fleet.usage([router], KINDS) for router in fleet.processes}
    seconds = 2 * LEASE_SECONDS
    fleet.run(seconds)
    used = {router: fleet.usage([router], KINDS) - earlier for router, earlier in before.items()}
    holder = fleet.holder()
    asking = [r for r, usage in used.items() if r != holder and usage.packets_sent >= 2 * fleet.size]
    router_seconds = len(used) * seconds
    return {
        "contention_routers": len(asking),
        "contention_bytes_per_s": sum(usage.bytes_sent for usage in used.values()) / router_seconds,
        "contention_packets_per_s": sum(usage.packets_sent for usage in used.values()) / router_seconds,
        "contention_most_bytes_per_s": max(usage.bytes_sent for usage in used.values()) / seconds,
        "contention_cpu_percent": sum(usage.cpu_ns for usage in used.values())
        / router_seconds
        / NANOSECONDS_PERCENT,
    }
