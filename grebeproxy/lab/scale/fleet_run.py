"""The run ``fleet``: real routers with clients and hollow engines, alone and beside many hollow routers."""

from __future__ import annotations

import os
import socket
import time
from dataclasses import dataclass

from grebeproxy.lab.record import Point
from grebeproxy.lab.scale.changelog_server import ChangeLog, Published
from grebeproxy.lab.scale.clients import ClientFigures, Clients
from grebeproxy.lab.scale.deployment import DRAINING, Address, EngineRecord
from grebeproxy.lab.scale.duty_target import DutyTarget
from grebeproxy.lab.scale.hollow_engines import EngineFigures, HollowEngines
from grebeproxy.lab.scale.hollow_routers import MembershipPlan
from grebeproxy.lab.scale.membership_run import CALM_PERIODS, STARTS_A_SECOND
from grebeproxy.lab.scale.processes import Worker, Workers, call_all
from grebeproxy.lab.scale.real_routers import RealFigures, RealRouter, RealRouters
from grebeproxy.lab.scale.run import Fleet, Options, Outcome, Progress, SizeNotReachedError, used_between

REAL_ROUTERS = 3
ENGINE_PROCESSES = 2
CLIENTS_EACH = 5  # connections to each real router, which closes those that are silent for 2 s
RATE = 10.0  # statements a second to each real router
WARM_S = 3.0  # of statements that are not counted, while connections to engines are made
HOST = "127.0.0.1"
WORSE_FACTOR, WORSE_MS = 1.5, 5.0  # by which the clients' p99 may grow before a note says so


@dataclass(frozen=True, slots=True)
class Stage:
    """What stands before the hollow routers come."""

    log: Worker
    engines: list[Worker]
    real: Worker
    clients: Worker
    real_members: list[Address]
    changelog: Address
    membership: MembershipPlan


def run_fleet(options: Options, progress: Progress, outcome: Outcome) -> None:
    """Each size with the most engines; the first that this machine does not carry ends the run."""
    for size in sorted(options.sizes):
        try:
            point = measure_fleet(size, max(options.engines), options, progress)
        except SizeNotReachedError as ended:
            outcome.notes.append(f"{size} routers: ended by {ended}")
            progress.line(outcome.notes[-1])
            break
        outcome.points.append(point)
        if worse(point):
            outcome.notes.append(f"{size} routers: clients of the real routers were served worse beside them")
            progress.line(outcome.notes[-1])


def worse(point: Point) -> bool:
    """Whether clients lost answers, or waited longer, beside the hollow routers."""
    values = point.values
    lost = values["beside_lost"] > values["alone_lost"]
    return lost or values["beside_p99_ms"] > WORSE_FACTOR * values["alone_p99_ms"] + WORSE_MS


def measure_fleet(size: int, engines: int, options: Options, progress: Progress) -> Point:
    """One point: the real routers' clients alone, then beside the hollow routers; then a list's change."""
    progress.line(f"fleet: {size} hollow and {REAL_ROUTERS} real routers, {engines} engines")
    with Workers() as workers:
        stage = _stage(workers, size, engines, options)
        stage.clients.call("run", min(WARM_S, options.quiet_s), RATE)
        values = _served("alone", stage, options)
        progress.line(f"  alone: p50 {values['alone_p50_ms']:.1f} ms, p99 {values['alone_p99_ms']:.1f} ms")
        fleet = Fleet(workers, options)
        values |= _hollow_join(fleet, stage, size, options)
        progress.line(f"  hollow routers are there after {values['join_s']:.1f} s")
        before = fleet.snapshots()
        values |= _served("beside", stage, options)
        usage = used_between(before, fleet.snapshots())
        progress.line(f"  beside: p50 {values['beside_p50_ms']:.1f} ms, p99 {values['beside_p99_ms']:.1f} ms")
        values |= {
            "hollow_cpu_us_per_s": 1e6 * usage.total.cpu_s / size / usage.seconds,
            "hollow_bytes_per_s": usage.total.bytes_sent / size / usage.seconds,
            "hollow_lateness_ms": usage.lateness_ms,
            "hollow_cores": usage.process_cpu_s / usage.seconds,
            "hollow_memory_kb": (fleet.resident_bytes() - fleet.empty_bytes) / size / 1024,
            "change_last_s": _change(fleet, stage, size),
        }
        figures: list[EngineFigures] = call_all(stage.engines, "figures")
        values["engine_connections"] = float(sum(each.connections for each in figures))
        values["engines_asked"] = float(sum(each.engines_asked for each in figures))
    return Point(
        {"routers": float(size), "engines": float(engines), "real_routers": float(REAL_ROUTERS)}, values
    )


def _stage(workers: Workers, size: int, engines: int, options: Options) -> Stage:
    listens = [_free_address(socket.SOCK_STREAM) for _ in range(REAL_ROUTERS)]
    each = [engines // ENGINE_PROCESSES, engines - engines // ENGINE_PROCESSES]
    starts = [1, 1 + each[0]]
    served = [workers.start(HollowEngines, first, count) for first, count in zip(starts, each, strict=True)]
    log, real, duty = workers.start(ChangeLog), workers.start(RealRouters), workers.start(DutyTarget)
    clients = workers.start(Clients, listens, CLIENTS_EACH, options.seed)
    addresses = [address for part in call_all(served, "listen") for address in part]
    changelog = log.call("listen", [EngineRecord(number, at) for number, at in enumerate(addresses, 1)])
    report = duty.call("listen") if options.duty else None
    membership = MembershipPlan(size + REAL_ROUTERS, options.period_s, duty_report=report)
    members = [_free_address(socket.SOCK_DGRAM) for _ in range(REAL_ROUTERS)]
    routers = [
        RealRouter(
            f"real-{number}",
            size + number,
            size + REAL_ROUTERS,
            listens[number],
            changelog,
            members[number],
            members[number],
            tuple(members),
            membership,
        )
        for number in range(REAL_ROUTERS)
    ]
    real.call("start", routers)
    return Stage(log, served, real, clients, members, changelog, membership)


def _hollow_join(fleet: Fleet, stage: Stage, size: int, options: Options) -> dict[str, float]:
    addresses = fleet.prepare(size, size + REAL_ROUTERS, stage.changelog, stage.membership)
    fleet.configure(addresses, stage.real_members)
    began = time.monotonic()
    fleet.start(size / STARTS_A_SECOND)
    total = size + REAL_ROUTERS
    fleet.wait(lambda: _all_see(fleet, size, total), "that all know all")
    joined_s = time.monotonic() - began
    time.sleep(CALM_PERIODS * options.period_s)
    views: dict[str, tuple[str, int, str]] = stage.real.call("views")
    if any(count != total for _, count, _ in views.values()):
        raise SizeNotReachedError(
            f"membership: real routers see {[view[1] for view in views.values()]} members"
        )
    return {"join_s": joined_s}


def _all_see(fleet: Fleet, size: int, total: int) -> bool:
    counts = fleet.gather("member_counts")
    return len(counts) == size and all(count == total for count in counts)


def _served(name: str, stage: Stage, options: Options) -> dict[str, float]:
    """How the real routers' clients are served in a quiet time, and what the routers use for it."""
    before: list[RealFigures] = stage.real.call("figures")
    clients: list[ClientFigures] = stage.clients.call("run", options.quiet_s, RATE)
    after: list[RealFigures] = stage.real.call("figures")
    seconds = after[0].at - before[0].at
    if not all(figures.alive for figures in after):
        raise SizeNotReachedError("a real router has ended")
    cpu_s = sum(late.cpu_s - early.cpu_s for early, late in zip(before, after, strict=True))
    return {
        f"{name}_asked": float(sum(each.asked for each in clients)),
        f"{name}_lost": float(sum(each.refused + each.failed + each.unanswered for each in clients)),
        f"{name}_p50_ms": max(each.p50_ms for each in clients),
        f"{name}_p99_ms": max(each.p99_ms for each in clients),
        f"{name}_most_ms": max(each.most_ms for each in clients),
        f"{name}_real_cpu_us_per_s": 1e6 * cpu_s / REAL_ROUTERS / seconds,
        f"{name}_real_memory_mb": max(figures.resident_bytes for figures in after) / 2**20,
        f"{name}_load_average": os.getloadavg()[0],
    }


def _change(fleet: Fleet, stage: Stage, size: int) -> float:
    published: Published = stage.log.call("set_state", [1], DRAINING)
    fleet.wait(lambda: len(fleet.gather("applied", published.seq)) == size, "the change")
    return max(float(str(at)) for at in fleet.gather("applied", published.seq)) - published.began


def _free_address(kind: socket.SocketKind) -> Address:
    with socket.socket(socket.AF_INET, kind) as taken:
        taken.bind((HOST, 0))
        return HOST, int(taken.getsockname()[1])
