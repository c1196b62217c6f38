"""A lease handed from one router to another, split into detection, decision and what is known of it.

Detection ends when more than half of the routers are free to vote for another one, decision when another one
holds the lease. Nothing spreads who holds it: a router only keeps whom it has promised its vote to, and what
is counted is how many have promised it to the new holder.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from statistics import median

from grebeproxy.lab.control.fleet import DUTY, LEASE_SECONDS, Fleet, name
from grebeproxy.lab.control.lease import fleet_with_holder
from grebeproxy.lab.record import Point
from grebeproxy.membership.lease import Promise

SIZES = (60, 120, 180, 240)
TRIALS = 2
PROMISES_SECONDS = 1.0  # after which the new holder's votes are counted
MOST_SECONDS = 60.0
POLL_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class Handover:
    """Seconds of detection and decision, and the part of routers whose vote the new holder has."""

    detection: float
    decision: float
    promised: float


def measure(size: int, seed: int) -> list[Point]:
    """A holder that fails, and one that ends in order."""
    fleet = fleet_with_holder(size, seed)
    values: dict[str, float] = {}
    for cause, end in (("failed", fleet.kill), ("stopped", fleet.stop)):
        trials = [_handover(fleet, end) for _ in range(TRIALS)]
        values[f"{cause}_detection_s"] = median(trial.detection for trial in trials)
        values[f"{cause}_decision_s"] = median(trial.decision for trial in trials)
        values[f"{cause}_most_s"] = max(trial.detection + trial.decision for trial in trials)
        values[f"{cause}_promised_percent"] = 100.0 * median(trial.promised for trial in trials)
    return [Point({"members": size}, values)]


def _handover(fleet: Fleet, end: Callable[[int], None]) -> Handover:
    former = fleet.holder()
    assert former is not None
    end(former)
    detection = fleet.run_until(lambda: _free_to_vote(fleet, former) > 0.5, MOST_SECONDS, POLL_SECONDS)
    decision = fleet.run_until(lambda: fleet.holder() is not None, MOST_SECONDS, POLL_SECONDS)
    fleet.run(PROMISES_SECONDS)
    promised = _promised(fleet, fleet.holder())
    fleet.start(former)
    fleet.run(1.2 * LEASE_SECONDS)
    return Handover(detection, decision, promised)


def _free_to_vote(fleet: Fleet, former: int) -> float:
    """The part of all configured routers that run and have no promise to the former holder."""
    free = sum(
        promise is None or promise.holder != name(former) or fleet.now >= promise.until
        for promise in _promises(fleet)
    )
    return free / fleet.size


def _promised(fleet: Fleet, holder: int | None) -> float:
    """The part of running routers that have promised their vote to this one."""
    if holder is None:
        return 0.0
    promises = _promises(fleet)
    promised = sum(promise is not None and promise.holder == name(holder) for promise in promises)
    return promised / len(promises)


def _promises(fleet: Fleet) -> list[Promise | None]:
    return [process.node.leases.promise(DUTY.name) for process in fleet.processes.values()]
