"""A lease that passes from one router to another: time to detect, time to decide, and promises afterwards.

Detection ends when a majority of the routers is free to vote for another candidate, decision when another
router holds the lease. Nothing announces the lease holder: a router only remembers to whom it has promised
its vote, so what is counted is how many routers have promised it to the new holder.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from statistics import median

from grebeproxy.lab.control.addresses import name
from grebeproxy.lab.control.fleet import DUTY, LEASE_SECONDS, Fleet
from grebeproxy.lab.control.lease import fleet_with_holder
from grebeproxy.lab.record import Point
from grebeproxy.membership.lease import Promise

SIZES = (60, 120, 180, 240)
REPETITIONS = 2
MAJORITY = 0.5  # a quorum is more than this fraction of the routers
PROMISES_SECONDS = 1.0  # after which the promises to the new holder are counted
REJOIN_SECONDS = 1.2 * LEASE_SECONDS  # for the former holder to start and join before the next handover
MAX_SECONDS = 60.0
POLL_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class Handover:
    """Seconds of detection and of decision, and the fraction of routers that promised the new holder."""

    detection: float
    decision: float
    promised: float


def measure(size: int, seed: int) -> list[Point]:
    """A lease holder that crashes, and one that shuts down gracefully."""
    fleet = fleet_with_holder(size, seed)
    values: dict[str, float] = {}
    for cause, end in (("failed", fleet.kill), ("stopped", fleet.stop)):
        handovers = [_hand_over(fleet, end) for _ in range(REPETITIONS)]
        values[f"{cause}_detection_s"] = median(handover.detection for handover in handovers)
        values[f"{cause}_decision_s"] = median(handover.decision for handover in handovers)
        values[f"{cause}_most_s"] = max(handover.detection + handover.decision for handover in handovers)
        values[f"{cause}_promised_percent"] = 100.0 * median(handover.promised for handover in handovers)
    return [Point({"members": size}, values)]


def _hand_over(fleet: Fleet, end: Callable[[int], None]) -> Handover:
    former_holder = fleet.current_lease_holder()
    end(former_holder)
    detection = fleet.run_until(
        lambda: _free_to_vote(fleet, former_holder) > MAJORITY, MAX_SECONDS, POLL_SECONDS
    )
    decision = fleet.run_until(lambda: fleet.lease_holder() is not None, MAX_SECONDS, POLL_SECONDS)
    fleet.run(PROMISES_SECONDS)
    promised = _promised(fleet, fleet.lease_holder())
    fleet.start(former_holder)
    fleet.run(REJOIN_SECONDS)
    return Handover(detection, decision, promised)


def _free_to_vote(fleet: Fleet, former_holder: int) -> float:
    """The fraction of all configured routers that run and are bound by no promise to the former holder."""
    free = sum(
        promise is None or promise.holder != name(former_holder) or fleet.now >= promise.until
        for promise in _promises(fleet)
    )
    return free / fleet.size


def _promised(fleet: Fleet, holder: int | None) -> float:
    """The fraction of running routers that have promised their vote to this holder; 0 without a holder."""
    if holder is None:
        return 0.0
    promises = _promises(fleet)
    promised = sum(promise is not None and promise.holder == name(holder) for promise in promises)
    return promised / len(promises)


def _promises(fleet: Fleet) -> list[Promise | None]:
    return [process.node.leases.promise(DUTY.name) for process in fleet.processes.values()]
