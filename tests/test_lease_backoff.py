"""Routers that cannot have a lease leave its holder alone.

What happened, twice over. Two routers configured with different fleet sizes each found a majority of their
own and took a duty's lease from each other some ten times a second, 215 to 236 times each in 30 lease
lengths: a rejected token was followed by a new claim at once. And routers that had lost with a ballot above
the holder's requested votes for as long as the holder lived: they, and the voters that had promised them that
ballot, denied every renewal, and so never learned of the lease that they should have waited for. Counting the
leases acquired and the requests by router showed both; the promises of all voters showed the second cause
(seven held the holder's ballot 4, two the losers' ballots 76 and 78).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

import pytest
from voters import LENGTH, Voters

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

LENGTHS = 30  # lease lengths that a test watches


@dataclass
class WatchedVoters(Voters):
    """Records which router acquires the lease, and how many votes each one requests."""

    alone: bool = False  # each takes itself for the whole fleet, and hears of others by the fence only
    acquired: Counter[int] = field(default_factory=Counter)
    requests: Counter[int] = field(default_factory=Counter)

    def new_core(self, router: int) -> Leases:
        instance = self.rng.getrandbits(60)
        fleet = 1 if self.alone else self.n
        config = LeaseConfig(f"n{router}", instance, fleet, LENGTH)
        return WatchedLeases(self, router, config, Random(instance), self.clock(router, self.now))

    def view(self, router: int) -> View:
        if self.alone:
            return View(1, (f"n{router}",), Condition.SETTLED, 0.0)
        return super().view(router)

    def record(self, router: int, effect: Effect) -> None:
        if isinstance(effect, LeaseAcquired):
            self.acquired[router] += 1
        elif isinstance(effect, SendVote) and effect.vote.kind is VoteKind.REQUEST:
            self.requests[router] += 1


class WatchedLeases(Leases):
    """One router's leases, whose effects are recorded."""

    def __init__(
        self, voters: WatchedVoters, router: int, config: LeaseConfig, rng: Random, now: float
    ) -> None:
        super().__init__(config, rng, now)
        self.voters, self.router = voters, router

    def step(self, now: float, events: Iterable[Event]) -> list[Effect]:
        effects = super().step(now, events)
        for effect in effects:
            self.voters.record(self.router, effect)
        return effects


@pytest.mark.parametrize("seed", range(20))
def test_routers_of_other_fleet_sizes_take_a_lease_from_each_other_at_most_once_a_length(seed: int) -> None:
    voters = WatchedVoters(seed, 2, alone=True)
    voters.run(LENGTHS * LENGTH)
    assert voters.rejected  # they do meet at the fence
    assert max(voters.acquired.values()) <= LENGTHS


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("n", [3, 9, 24, 36])
def test_a_router_that_lost_stops_requesting_votes_while_the_lease_is_held(n: int, seed: int) -> None:
    voters = WatchedVoters(seed, n)
    voters.run(10 * LENGTH)
    voters.requests.clear()
    held = len(voters.acts)
    voters.run(LENGTHS * LENGTH)
    [holder] = {act.router for act in voters.acts[held:]}
    assert not voters.violations
    assert set(voters.requests) == {holder}
