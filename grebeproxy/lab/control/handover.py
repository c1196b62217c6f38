"""Measures the handover of a lease: time to detect, time to decide, and promises to the new holder.

Detection ends when a majority of the routers is free to vote for another candidate. Decision ends when
another router holds the lease. No message announces the lease holder: a router only remembers to whom it has
promised its vote. The measurement therefore counts the routers that have promised their vote to the
new holder.
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
PROMISES_SECONDS = 1.0  # from the decision to the count of promises to the new holder
REJOIN_SECONDS = 1.2 * LEASE_SECONDS  # for the former holder to start and join before the next handover
MAX_SECONDS = 60.0  # limit for detection, and again for decision
POLL_SECONDS = 0.01  # between two checks of whether a condition holds


@dataclass(frozen=True, slots=True)
class Handover:
    """Seconds of detection and of decision, and the fraction of routers that promised the new holder."""

    detection: float
    decision: float
    promised: float


def measure(size: int, seed: int) -> list[Point]:
    """Measure handovers from a lease holder that crashes and from one that shuts down gracefully."""
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
    """Return the fraction of all routers that run and are bound by no promise to the former holder."""
    free = sum(
        promise is None or promise.holder != name(former_holder) or fleet.now >= promise.until
        for promise in _promises(fleet)
    )
    return free / fleet.size


def _promised(fleet: Fleet, holder: int | None) -> float:
    """Return the fraction of running routers that have promised a holder their vote; 0 if there is none."""
    if holder is None:
        return 0.0
    promises = _promises(fleet)
    promised = sum(promise is not None and promise.holder == name(holder) for promise in promises)
    return promised / len(promises)


def _promises(fleet: Fleet) -> list[Promise | None]:
    return [process.node.leases.promise(DUTY.name) for process in fleet.processes.values()]
