"""Measures a lease that all routers request: its renewal, and the time until another router holds it."""

from __future__ import annotations

from statistics import median

from grebeproxy.lab.control.fleet import DUTY, LEASE_SECONDS, Fleet
from grebeproxy.lab.control.usage import Traffic, Usage
from grebeproxy.lab.record import Point
from grebeproxy.membership.lease import RENEW_FRACTION

SIZES = (60, 120, 240, 600)
# Largest fleet in which takeovers are measured. In larger ones only renewals are measured, because the cost
# of contention grows with the square of the size.
MAX_TAKEOVER_SIZE = 240
RENEWALS = 10
TAKEOVERS = 3
MAX_SECONDS = 60.0
STARTING_SECONDS = 0.5  # before the first router requests the lease
SETTLING_SECONDS = 2 * LEASE_SECONDS  # after all other routers have started to request the lease
REJOIN_SECONDS = 1.5 * LEASE_SECONDS  # for a restarted router to join before the next takeover
CONTENTION_SECONDS = 2 * LEASE_SECONDS
CONTENDING_ROUNDS = 2  # a router that sent this many packets to each other router counts as contending
TRAFFIC_KINDS = (Traffic.LEASE,)


def measure(size: int, seed: int) -> list[Point]:
    """Measure renewals, takeovers and contention in a fleet of one size."""
    fleet = fleet_with_holder(size, seed)
    values = _renewal_values(fleet)
    if size <= MAX_TAKEOVER_SIZE:
        values |= _takeover_values(fleet)
        values |= _contention_values(fleet)
    return [Point({"members": size}, values)]


def fleet_with_holder(size: int, seed: int) -> Fleet:
    """Return a fleet in which router 0 holds the lease and all other routers request it."""
    fleet = Fleet(size, seed, duties=(DUTY,))
    fleet.start_converged()
    fleet.run(STARTING_SECONDS)
    fleet.request_lease(0)
    fleet.run_until(lambda: fleet.lease_holder() == 0, MAX_SECONDS)
    fleet.request_lease(*range(1, size))
    fleet.run(SETTLING_SECONDS)
    return fleet


def _renewal_values(fleet: Fleet) -> dict[str, float]:
    holder = fleet.current_lease_holder()
    others = [router for router in range(fleet.size) if router != holder]
    before = fleet.usage([holder], TRAFFIC_KINDS)
    before_others = fleet.usage(others, TRAFFIC_KINDS)
    seconds = RENEWALS * RENEW_FRACTION * LEASE_SECONDS
    fleet.run(seconds)
    used = fleet.usage([holder], TRAFFIC_KINDS) - before
    used_others = fleet.usage(others, TRAFFIC_KINDS) - before_others
    return {
        "renewal_packets_sent": used.packets_sent / RENEWALS,
        "renewal_bytes_sent": used.bytes_sent / RENEWALS,
        **used.rates("holder", seconds),
        **used_others.rates("member", len(others) * seconds),
    }


def _takeover_values(fleet: Fleet) -> dict[str, float]:
    """Crash one lease holder after another. Each restarts once there is a new holder."""
    times: list[float] = []
    packets: list[int] = []
    candidates: list[int] = []
    for _ in range(TAKEOVERS):
        failed = fleet.current_lease_holder()
        others = [router for router in range(fleet.size) if router != failed]
        fleet.kill(failed)
        before = {router: fleet.usage([router], TRAFFIC_KINDS) for router in others}
        times.append(fleet.run_until(lambda: fleet.lease_holder() is not None, MAX_SECONDS))
        sent = [(fleet.usage([router], TRAFFIC_KINDS) - before[router]).packets_sent for router in others]
        packets.append(sum(sent))
        candidates.append(sum(count >= len(others) for count in sent))
        fleet.start(failed)
        fleet.run(REJOIN_SECONDS)
    return {
        "takeover_s": median(times),
        "takeover_most_s": max(times),
        "takeover_packets": median(packets),
        "takeover_candidates": median(candidates),
    }


def _contention_values(fleet: Fleet) -> dict[str, float]:
    """Measure traffic once the lease has a new holder. Candidates that lost may still request all votes."""
    before = {router: fleet.usage([router], TRAFFIC_KINDS) for router in fleet.processes}
    fleet.run(CONTENTION_SECONDS)
    used = {router: fleet.usage([router], TRAFFIC_KINDS) - earlier for router, earlier in before.items()}
    holder = fleet.lease_holder()
    contending = [
        router
        for router, usage in used.items()
        if router != holder and usage.packets_sent >= CONTENDING_ROUNDS * fleet.size
    ]
    total = sum(used.values(), start=Usage())
    most_bytes = max(usage.bytes_sent for usage in used.values())
    return {
        "contention_routers": len(contending),
        **total.rates("contention", len(used) * CONTENTION_SECONDS),
        "contention_most_bytes_per_s": most_bytes / CONTENTION_SECONDS,
    }
