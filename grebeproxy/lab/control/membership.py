"""Membership: a quiet fleet, the failure of one router, and its return."""

from __future__ import annotations

from statistics import median

from grebeproxy.lab.control import memory
from grebeproxy.lab.control.fleet import Fleet, name
from grebeproxy.lab.control.usage import Traffic, Usage
from grebeproxy.lab.record import Point

SIZES = (60, 120, 240, 600)
MEMORY_TIMES = 4  # memory is measured at one router, so at larger sizes than a fleet's
FAILURES = 3
SETTLING_SECONDS = 5.0
QUIET_SECONDS = 10.0
MOST_SECONDS = 120.0
NANOSECONDS_PERCENT = 1e7  # processor time in a second that is one percent of a core
KINDS = (Traffic.MEMBERSHIP,)


def measure(size: int, seed: int) -> list[Point]:
    """All points of one size."""
    fleet = Fleet(size, seed)
    fleet.start_acquainted()
    fleet.run(SETTLING_SECONDS)
    quiet = quiet_usage(fleet)
    values = {**_quiet_values(quiet, size), **_failure_values(fleet, quiet)}
    members = MEMORY_TIMES * size
    resident = {"memory_kb": memory.membership_bytes(members, seed) / 1024}
    return [Point({"members": size}, values), Point({"members": members}, resident)]


def quiet_usage(fleet: Fleet) -> Usage:
    """What all routers use in ``QUIET_SECONDS``."""
    before = fleet.usage(range(fleet.size), KINDS)
    fleet.run(QUIET_SECONDS)
    return fleet.usage(range(fleet.size), KINDS) - before


def _quiet_values(usage: Usage, size: int) -> dict[str, float]:
    router_seconds = size * QUIET_SECONDS
    return {
        "quiet_packets_per_s": usage.packets_sent / router_seconds,
        "quiet_bytes_per_s": usage.bytes_sent / router_seconds,
        "quiet_cpu_percent": usage.cpu_ns / router_seconds / NANOSECONDS_PERCENT,
    }


def _failure_values(fleet: Fleet, quiet: Usage) -> dict[str, float]:
    """Kill routers one after another; each starts anew once all know of it."""
    known_by_first, known_by_all, joined = [], [], []
    killed: set[str] = set()
    restart: dict[str, float] = {}
    for number in range(FAILURES):
        router = fleet.size // 2 + number
        killed.add(name(router))
        began = fleet.now
        fleet.kill(router)
        others = [other for other in range(fleet.size) if other != router]
        known_by_all.append(fleet.run_until(lambda others=others: fleet.agree(others), MOST_SECONDS))  # type: ignore[misc]
        reports = [report for report in fleet.failure_reports if report.failed == name(router)]
        known_by_first.append(min(report.at for report in reports if report.at >= began) - began)
        fleet.run(SETTLING_SECONDS)
        before = fleet.usage(others, KINDS)
        started = fleet.now
        fleet.start(router)
        joined.append(fleet.run_until(lambda: fleet.agree(range(fleet.size)), MOST_SECONDS))
        if number == FAILURES - 1:
            restart = _restart_values(fleet, router, before, quiet, started)
    false_alarms = {report.failed for report in fleet.failure_reports} - killed
    return {
        "failure_known_to_first_s": median(known_by_first),
        "failure_known_to_all_s": median(known_by_all),
        "failure_known_to_all_most_s": max(known_by_all),
        "false_alarms": len(false_alarms),
        "join_s": median(joined),
        **restart,
    }


def _restart_values(
    fleet: Fleet, router: int, before: Usage, quiet: Usage, started: float
) -> dict[str, float]:
    """What a start costs the router itself, and each other one beyond what it uses when quiet."""
    joiner = fleet.processes[router]
    fleet.run_until(lambda: not len(joiner.node.members.gossip_queue), MOST_SECONDS)
    seconds = fleet.now - started
    own = joiner.account.total(KINDS)
    others = [other for other in range(fleet.size) if other != router]
    used = fleet.usage(others, KINDS) - before
    usual = seconds / QUIET_SECONDS / fleet.size
    return {
        "join_received_bytes": own.bytes_received,
        "join_sent_bytes": own.bytes_sent,
        "join_gossip_s": seconds,
        "join_sent_bytes_per_s": own.bytes_sent / seconds,
        "join_cpu_ms": own.cpu_ns / 1e6,
        "restart_bytes_at_others": used.bytes_sent / len(others) - quiet.bytes_sent * usual,
        "restart_cpu_ms_at_others": (used.cpu_ns / len(others) - quiet.cpu_ns * usual) / 1e6,
    }
