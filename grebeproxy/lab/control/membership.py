"""Measures membership in a quiet fleet, at the failure of one router, and at its restart."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median

from grebeproxy.lab.control import memory
from grebeproxy.lab.control.addresses import name
from grebeproxy.lab.control.fleet import Fleet, converged_fleet
from grebeproxy.lab.control.usage import Traffic, Usage
from grebeproxy.lab.record import KIBIBYTE, Point

SIZES = (60, 120, 240, 600)
FAILURES = 3
SETTLING_SECONDS = 5.0
QUIET_SECONDS = 10.0
MAX_SECONDS = 120.0
TRAFFIC_KINDS = (Traffic.MEMBERSHIP,)


@dataclass(frozen=True, slots=True)
class Restart:
    """The restart of a router, its time, and what all other routers had used before it."""

    router: int
    started_at: float
    usage_of_others: Usage


def measure(size: int, seed: int) -> list[Point]:
    """Measure traffic, failures and restarts in a fleet of one size, and the memory of one router."""
    fleet = converged_fleet(size, seed, SETTLING_SECONDS)
    quiet = quiet_usage(fleet)
    values = {**quiet.rates("quiet", size * QUIET_SECONDS), **_failure_values(fleet, quiet)}
    members = memory.MEMORY_FACTOR * size
    resident = {"memory_kb": memory.membership_bytes(members, seed) / KIBIBYTE}
    return [Point({"members": size}, values), Point({"members": members}, resident)]


def quiet_usage(fleet: Fleet) -> Usage:
    """Return what all routers use in ``QUIET_SECONDS``."""
    before = fleet.usage(range(fleet.size), TRAFFIC_KINDS)
    fleet.run(QUIET_SECONDS)
    return fleet.usage(range(fleet.size), TRAFFIC_KINDS) - before


def _failure_values(fleet: Fleet, quiet: Usage) -> dict[str, float]:
    """Crash routers one after another. Each restarts once all others know of its failure."""
    failed = [fleet.size // 2 + number for number in range(FAILURES)]
    known_by_first: list[float] = []
    known_by_all: list[float] = []
    joined: list[float] = []
    for router in failed:
        killed_at = fleet.now
        fleet.kill(router)
        known_by_all.append(_seconds_until_known(fleet, router))
        known_by_first.append(_first_report_at(fleet, router, killed_at) - killed_at)
        fleet.run(SETTLING_SECONDS)
        restart = Restart(router, fleet.now, fleet.usage(_others(fleet, router), TRAFFIC_KINDS))
        fleet.start(router)
        joined.append(fleet.run_until(lambda: fleet.has_converged(range(fleet.size)), MAX_SECONDS))
    restart_values = _restart_values(fleet, restart, quiet)
    false_alarms = {report.failed for report in fleet.failure_reports} - {name(router) for router in failed}
    return {
        "failure_known_to_first_s": median(known_by_first),
        "failure_known_to_all_s": median(known_by_all),
        "failure_known_to_all_most_s": max(known_by_all),
        "false_alarms": len(false_alarms),
        "join_s": median(joined),
        **restart_values,
    }


def _seconds_until_known(fleet: Fleet, failed: int) -> float:
    others = _others(fleet, failed)
    return fleet.run_until(lambda: fleet.has_converged(others), MAX_SECONDS)


def _first_report_at(fleet: Fleet, failed: int, killed_at: float) -> float:
    return min(
        report.time
        for report in fleet.failure_reports
        if report.failed == name(failed) and report.time >= killed_at
    )


def _restart_values(fleet: Fleet, restart: Restart, quiet: Usage) -> dict[str, float]:
    """Return what a restart costs the restarted router, and each other router beyond its usage when quiet."""
    joiner = fleet.processes[restart.router]
    fleet.run_until(lambda: not len(joiner.node.members.gossip_queue), MAX_SECONDS)
    seconds = fleet.now - restart.started_at
    own = joiner.account.total(TRAFFIC_KINDS)
    others = _others(fleet, restart.router)
    used = fleet.usage(others, TRAFFIC_KINDS) - restart.usage_of_others
    quiet_fraction = seconds / QUIET_SECONDS / fleet.size
    return {
        "join_received_bytes": own.bytes_received,
        "join_sent_bytes": own.bytes_sent,
        "join_gossip_s": seconds,
        "join_sent_bytes_per_s": own.bytes_sent / seconds,
        "join_cpu_ms": own.cpu_ns / 1e6,
        "restart_bytes_at_others": used.bytes_sent / len(others) - quiet.bytes_sent * quiet_fraction,
        "restart_cpu_ms_at_others": (used.cpu_ns / len(others) - quiet.cpu_ns * quiet_fraction) / 1e6,
    }


def _others(fleet: Fleet, router: int) -> list[int]:
    return [other for other in range(fleet.size) if other != router]
