"""Routers that cannot get a lease do not disturb its holder.

The tests guard against two failures:

- Two routers are configured with different fleet sizes, and each finds a majority of its own. When a rejected
  token was followed by a new claim at once, the two took a lease from each other some ten times a second,
  215 to 236 times each in 30 lease lengths.
- A router loses a vote with a ballot above the holder's. The router and the voters that had promised it that
  ballot denied every renewal, so they never learned of the lease that they should have waited for, and the
  router requested votes for as long as the holder ran. In one run seven voters had promised the holder's
  ballot 4, and two the losers' ballots 76 and 78.

The number of acquired leases and of vote requests by router shows both failures.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

import pytest
from simulated_leases import LEASE_LENGTH, SimulatedLeases

from grebeproxy.membership.lease import (
    Effect,
    Event,
    LeaseAcquired,
    LeaseConfig,
    Leases,
    SendVote,
    VoteKind,
)
from grebeproxy.membership.model import Condition, View

WATCHED_LEASE_LENGTHS = 30  # duration that a test observes


@dataclass
class RecordedSimulation(SimulatedLeases):
    """Counts how often each router acquires the lease, and how many votes it requests."""

    isolated: bool = False  # each router is a fleet of its own, and learns of others only through the fence
    acquisitions: Counter[int] = field(default_factory=Counter)
    vote_requests: Counter[int] = field(default_factory=Counter)

    def new_leases(self, router: int) -> Leases:
        instance = self.rng.getrandbits(60)
        fleet = 1 if self.isolated else self.router_count
        config = LeaseConfig(f"n{router}", instance, fleet, LEASE_LENGTH)
        return RecordedLeases(self, router, config, Random(instance), self.clock(router, self.now))

    def view(self, router: int) -> View:
        if self.isolated:
            return View(1, (f"n{router}",), Condition.SETTLED, 0.0)
        return super().view(router)

    def record(self, router: int, effect: Effect) -> None:
        if isinstance(effect, LeaseAcquired):
            self.acquisitions[router] += 1
        elif isinstance(effect, SendVote) and effect.vote.kind is VoteKind.REQUEST:
            self.vote_requests[router] += 1


class RecordedLeases(Leases):
    """One router's leases, whose effects are recorded."""

    def __init__(
        self, simulation: RecordedSimulation, router: int, config: LeaseConfig, rng: Random, now: float
    ) -> None:
        super().__init__(config, rng, now)
        self.simulation, self.router = simulation, router

    def step(self, now: float, events: Iterable[Event]) -> list[Effect]:
        effects = super().step(now, events)
        for effect in effects:
            self.simulation.record(self.router, effect)
        return effects


@pytest.mark.parametrize("seed", range(20))
def test_routers_of_other_fleet_sizes_take_a_lease_from_each_other_at_most_once_per_lease_length(
    seed: int,
) -> None:
    simulation = RecordedSimulation(seed, 2, isolated=True)
    simulation.run(WATCHED_LEASE_LENGTHS * LEASE_LENGTH)
    assert simulation.rejected_count  # The routers do compete for the lease at the fence.
    assert max(simulation.acquisitions.values()) <= WATCHED_LEASE_LENGTHS


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("router_count", [3, 9, 24, 36])
def test_a_router_that_lost_stops_requesting_votes_while_the_lease_is_held(
    router_count: int, seed: int
) -> None:
    simulation = RecordedSimulation(seed, router_count)
    simulation.run(10 * LEASE_LENGTH)
    simulation.vote_requests.clear()
    before = len(simulation.admitted)
    simulation.run(WATCHED_LEASE_LENGTHS * LEASE_LENGTH)
    [holder] = {work.router for work in simulation.admitted[before:]}
    assert not simulation.violations
    assert set(simulation.vote_requests) == {holder}
