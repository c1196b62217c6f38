"""The run ``fleet``: real routers with clients and hollow engines, alone and beside many hollow routers."""

from __future__ import annotations

import os
import socket
import time
from dataclasses import dataclass

from grebeproxy.lab.record import MEBIBYTE, Point
from grebeproxy.lab.scale.addresses import Address, free_address
from grebeproxy.lab.scale.changelog_run import seconds_until_applied
from grebeproxy.lab.scale.changelog_server import ChangeLog, PublishedEvent
from grebeproxy.lab.scale.clients import Clients, ClientTotals
from grebeproxy.lab.scale.deployment import DRAINING, EngineRecord
from grebeproxy.lab.scale.duty_target import DutyTarget
from grebeproxy.lab.scale.fleet import Fleet
from grebeproxy.lab.scale.hollow_engines import EngineTotals, HollowEngines
from grebeproxy.lab.scale.membership_run import SETTLING_PERIODS, STARTS_PER_SECOND
from grebeproxy.lab.scale.plans import MembershipPlan
from grebeproxy.lab.scale.processes import Worker, Workers, call_all
from grebeproxy.lab.scale.real_routers import LoggedView, RealRouterPlan, RealRouters, RealRouterTotals
from grebeproxy.lab.scale.run import Options, Outcome, Progress, SizeNotReachedError
from grebeproxy.lab.scale.units import US_PER_SECOND
from grebeproxy.lab.scale.usage import Usage, used_between

REAL_ROUTERS = 3
ENGINE_PROCESSES = 2
CONNECTIONS_PER_ROUTER = 5  # of clients; a real router closes connections that are idle for 2 s
RATE = 10.0  # statements a second to each real router
WARM_UP_S = 3.0  # Statements in this time are not counted, since the routers still connect to engines.
# A note is added if the 99th percentile of the clients' latency beside the hollow routers exceeds this
# factor times the percentile without them, plus this increase.
MAX_P99_FACTOR, MAX_P99_INCREASE_MS = 1.5, 5.0


@dataclass(frozen=True, slots=True)
class Testbed:
    """The processes and addresses of a run, apart from the hollow routers."""

    log: Worker
    engines: list[Worker]
    real_routers: Worker
    clients: Worker
    real_members: list[Address]
    changelog: Address
    membership: MembershipPlan


def run_fleet(options: Options, progress: Progress, outcome: Outcome) -> None:
    """Measure each size with the most engines. The first size that this machine cannot run ends the run."""
    for size in sorted(options.sizes):
        try:
            point = measure_fleet(size, max(options.engines), options, progress)
        except SizeNotReachedError as reason:
            outcome.add_note(f"{size} routers: ended by {reason}", progress)
            break
        outcome.points.append(point)
        if clients_were_affected(point):
            outcome.add_note(
                f"{size} routers: clients of the real routers were served worse beside them", progress
            )


def clients_were_affected(point: Point) -> bool:
    """Whether more answers were lost, or latency grew beyond the bound, beside the hollow routers."""
    values = point.values
    more_lost = values["beside_lost"] > values["alone_lost"]
    max_p99_ms = MAX_P99_FACTOR * values["alone_p99_ms"] + MAX_P99_INCREASE_MS
    return more_lost or values["beside_p99_ms"] > max_p99_ms


def measure_fleet(size: int, engines: int, options: Options, progress: Progress) -> Point:
    """Measure one point: clients of the real routers alone, then beside the hollow routers, then a change."""
    progress.line(f"fleet: {size} hollow and {REAL_ROUTERS} real routers, {engines} engines")
    with Workers() as workers:
        testbed = _start_testbed(workers, size, engines, options)
        testbed.clients.call("run", min(WARM_UP_S, options.quiet_s), RATE)
        values = _serve_clients("alone", testbed, options)
        progress.line(f"  alone: p50 {values['alone_p50_ms']:.1f} ms, p99 {values['alone_p99_ms']:.1f} ms")
        fleet = Fleet(workers, options)
        values["join_s"] = _join_hollow_routers(fleet, testbed, size, options)
        progress.line(f"  hollow routers have joined after {values['join_s']:.1f} s")
        before = fleet.snapshots()
        values |= _serve_clients("beside", testbed, options)
        usage = used_between(before, fleet.snapshots())
        progress.line(f"  beside: p50 {values['beside_p50_ms']:.1f} ms, p99 {values['beside_p99_ms']:.1f} ms")
        values |= _hollow_usage(usage, size)
        values["hollow_memory_kb"] = fleet.memory_kb_per_router(size)
        event: PublishedEvent = testbed.log.call("set_state", [1], DRAINING)
        values["change_last_s"] = seconds_until_applied(fleet, event, size)
        totals: list[EngineTotals] = call_all(testbed.engines, "totals")
        values["engine_connections"] = float(sum(each.connections for each in totals))
        values["engines_asked"] = float(sum(each.engines_used for each in totals))
    sizes = {"routers": float(size), "engines": float(engines), "real_routers": float(REAL_ROUTERS)}
    return Point(sizes, values)


def _start_testbed(workers: Workers, size: int, engines: int, options: Options) -> Testbed:
    listen = [free_address(socket.SOCK_STREAM) for _ in range(REAL_ROUTERS)]
    first_half = engines // ENGINE_PROCESSES
    engine_workers = [
        workers.start(HollowEngines, 1, first_half),
        workers.start(HollowEngines, 1 + first_half, engines - first_half),
    ]
    log = workers.start(ChangeLog)
    real_routers = workers.start(RealRouters)
    duty = workers.start(DutyTarget)
    clients = workers.start(Clients, listen, CONNECTIONS_PER_ROUTER, options.seed)
    engine_addresses = [address for addresses in call_all(engine_workers, "listen") for address in addresses]
    records = [EngineRecord(number, address) for number, address in enumerate(engine_addresses, 1)]
    changelog: Address = log.call("listen", records)
    duty_report = duty.call("listen") if options.duty else None
    membership = MembershipPlan(size + REAL_ROUTERS, options.period_s, duty_report=duty_report)
    members = [free_address(socket.SOCK_DGRAM) for _ in range(REAL_ROUTERS)]
    plans = [
        RealRouterPlan(
            name=f"real-{number}",
            index=size + number,
            total=size + REAL_ROUTERS,
            listen=listen[number],
            changelog=changelog,
            member=members[number],
            advertise=members[number],
            seeds=tuple(members),
            membership=membership,
        )
        for number in range(REAL_ROUTERS)
    ]
    real_routers.call("start", plans)
    return Testbed(log, engine_workers, real_routers, clients, members, changelog, membership)


def _join_hollow_routers(fleet: Fleet, testbed: Testbed, size: int, options: Options) -> float:
    """Start the hollow routers; returns the seconds until each of them knows all members."""
    total = size + REAL_ROUTERS
    addresses = fleet.prepare(size, total, testbed.changelog, testbed.membership)
    fleet.assign_seeds(addresses, testbed.real_members)
    began = time.monotonic()
    fleet.start(size / STARTS_PER_SECOND)
    fleet.wait_until(lambda: fleet.knows_all_members(size, total), "that all know all")
    joined_s = time.monotonic() - began
    time.sleep(SETTLING_PERIODS * options.period_s)
    views: dict[str, LoggedView] = testbed.real_routers.call("views")
    counts = [view.count for view in views.values()]
    if any(count != total for count in counts):
        raise SizeNotReachedError(f"membership: real routers see {counts} members")
    return joined_s


def _serve_clients(name: str, testbed: Testbed, options: Options) -> dict[str, float]:
    """Serve the clients of the real routers for a while; returns their totals and the routers' usage."""
    before: list[RealRouterTotals] = testbed.real_routers.call("totals")
    clients: list[ClientTotals] = testbed.clients.call("run", options.quiet_s, RATE)
    after: list[RealRouterTotals] = testbed.real_routers.call("totals")
    if not all(router.is_running for router in after):
        raise SizeNotReachedError("a real router has ended")
    seconds = after[0].taken_at - before[0].taken_at
    cpu_s = sum(later.cpu_s - earlier.cpu_s for earlier, later in zip(before, after, strict=True))
    return {
        f"{name}_asked": float(sum(each.sent for each in clients)),
        f"{name}_lost": float(sum(each.rejected + each.failed + each.unanswered for each in clients)),
        f"{name}_p50_ms": max(each.p50_ms for each in clients),
        f"{name}_p99_ms": max(each.p99_ms for each in clients),
        f"{name}_most_ms": max(each.max_ms for each in clients),
        f"{name}_real_cpu_us_per_s": US_PER_SECOND * cpu_s / REAL_ROUTERS / seconds,
        f"{name}_real_memory_mb": max(router.resident_bytes for router in after) / MEBIBYTE,
        f"{name}_load_average": os.getloadavg()[0],
    }


def _hollow_usage(usage: Usage, size: int) -> dict[str, float]:
    return {
        "hollow_cpu_us_per_s": US_PER_SECOND * usage.total.cpu_s / size / usage.seconds,
        "hollow_bytes_per_s": usage.total.bytes_sent / size / usage.seconds,
        "hollow_lateness_ms": usage.lateness_ms,
        "hollow_cores": usage.process_cpu_s / usage.seconds,
    }
