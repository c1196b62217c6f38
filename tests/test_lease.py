"""Safety and liveness of leases: never two holders, growing tokens, and a new holder after the faults end."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import pytest
from simulated_leases import LEASE, LEASE_LENGTH, SimulatedLeases

from grebeproxy.membership import lease as leases
from grebeproxy.membership.lease import (
    Claim,
    Fence,
    LeaseConfig,
    Leases,
    Token,
    Vote,
    VoteKind,
    VoteReceived,
)
from grebeproxy.membership.lease.candidate import Candidate
from grebeproxy.membership.lease.voter import Voter

SEEDS = range(150)


def simulate_faults(seed: int) -> SimulatedLeases:
    """Run about a minute with random faults, and then end all faults."""
    simulation = SimulatedLeases(seed, 3 + 2 * (seed % 4))
    simulation.run(5.0)
    for _ in range(40):
        simulation.inject_fault()
        simulation.run(simulation.rng.uniform(0.1, 3.0))
    simulation.heal()
    simulation.paused_until = [0.0] * simulation.router_count
    simulation.update_views()
    return simulation


@pytest.mark.parametrize("seed", SEEDS)
def test_there_are_never_two_holders_and_there_is_a_holder_after_the_faults(seed: int) -> None:
    simulation = simulate_faults(seed)
    before = len(simulation.admitted)
    simulation.run(12.0)
    assert not simulation.violations
    assert len(simulation.admitted) > before + 20


@pytest.mark.parametrize("router_count", [1, 3, 5, 9, 50])
def test_one_of_many_candidates_acquires_the_lease_and_renews_it(router_count: int) -> None:
    simulation = SimulatedLeases(1, router_count)
    simulation.run(3 * LEASE_LENGTH)
    before = len(simulation.admitted)
    simulation.run(10 * LEASE_LENGTH)
    assert (
        len({work.router for work in simulation.admitted[before:]}) == 1
        and len(simulation.admitted) - before > 150
    )


@pytest.mark.parametrize("seed", range(60))
@pytest.mark.parametrize(("router_count", "silent_count"), [(5, 1), (5, 2), (9, 3), (9, 4)])
def test_the_remaining_candidates_do_not_block_each_other(
    router_count: int, silent_count: int, seed: int
) -> None:
    simulation = SimulatedLeases(seed, router_count)
    # The paused routers stay in the view but do not answer.
    simulation.paused_until = [1e9 if router < silent_count else 0.0 for router in range(router_count)]
    simulation.run(6 * LEASE_LENGTH)
    assert simulation.admitted


def mutants() -> list[tuple[str, Any, str, Any]]:
    """Return mutants of the code, each without one of the rules that keep leases safe."""
    original_answer = Voter.answer

    def counts_from_the_grant(self: Candidate, lease: str, claim: Claim, voter: str) -> None:
        claim.requested_at = self._context.now
        ORIGINAL_COUNT_GRANT(self, lease, claim, voter)

    def votes_at_once(self: Voter, event: VoteReceived) -> Vote:
        self.votes_from = 0.0
        return original_answer(self, event)

    def votes_twice(self: Voter, event: VoteReceived) -> Vote:
        self._promises.pop(event.vote.lease, None)
        return original_answer(self, event)

    def accepts_any_grant(self: Candidate, vote: Vote, voter: str) -> None:
        claim = self._claims.get(vote.lease)
        if claim is not None:
            vote = replace(vote, request_number=claim.request_number, ballot=claim.ballot)
        ORIGINAL_ON_GRANT(self, vote, voter)

    def ignores_the_clock(self: Candidate, lease: str, now: float) -> Any:
        claim = self._claims.get(lease)
        return claim.token if claim is not None else None

    return [
        ("counts the lease from the grant", Candidate, "_count_grant", counts_from_the_grant),
        ("votes right after a start", Voter, "answer", votes_at_once),
        ("votes for two", Voter, "answer", votes_twice),
        ("accepts grants of an earlier request", Candidate, "on_grant", accepts_any_grant),
        ("does not check the clock before it acts", Candidate, "token", ignores_the_clock),
        ("the fence admits every token", Fence, "admit", lambda self, lease, token: True),
    ]


ORIGINAL_COUNT_GRANT, ORIGINAL_ON_GRANT = Candidate._count_grant, Candidate.on_grant


@pytest.mark.parametrize("mutant", mutants(), ids=lambda mutant: mutant[0])
def test_the_simulation_detects_the_removal_of_each_safety_rule(
    mutant: tuple[str, Any, str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    _, owner, attribute, replacement = mutant
    monkeypatch.setattr(owner, attribute, replacement)
    assert any(simulate_faults(seed).violations for seed in SEEDS)


def test_the_claim_after_a_rejected_token_exceeds_the_token_that_the_fence_has_seen() -> None:
    simulation = SimulatedLeases(1, 3)
    # The fence has seen a token of which no voter remembers the ballot, as after a restart of all voters.
    simulation.fence.admit(LEASE, Token(1000, "n9"))
    simulation.run(6 * LEASE_LENGTH)
    assert simulation.admitted and simulation.admitted[0].token.ballot > 1000 and simulation.rejected_count


def test_a_released_lease_is_acquired_by_another_router_soon() -> None:
    simulation = SimulatedLeases(1, 3)
    simulation.run(3 * LEASE_LENGTH)
    holder = simulation.admitted[-1].router
    released_at = simulation.now
    simulation.step(holder, leases.LeaseWanted(LEASE, False))
    simulation.run(LEASE_LENGTH)
    assert any(
        work.router != holder
        for work in simulation.admitted
        if released_at < work.time < released_at + 0.6 * LEASE_LENGTH
    )


@pytest.mark.parametrize("ballot", [-1, 0, 2**60])
def test_a_ballot_out_of_bounds_gets_no_vote(ballot: int) -> None:
    vote = Vote(VoteKind.REQUEST, "x", ballot)
    router_leases = Leases(LeaseConfig("n0", 1, 3, LEASE_LENGTH), Random(1), -100.0)
    [answer] = router_leases.step(0.0, [VoteReceived("n1", 2, vote)])
    assert isinstance(answer, leases.SendVote) and answer.vote == replace(vote, kind=VoteKind.DENY, ballot=0)


def test_the_number_of_leases_that_a_router_votes_for_is_bounded() -> None:
    router_leases = Leases(LeaseConfig("n0", 1, 3, LEASE_LENGTH), Random(1), -100.0)
    for number in range(500):
        router_leases.step(0.0, [VoteReceived("n1", 2, Vote(VoteKind.REQUEST, f"x{number}", 1))])
    assert len(router_leases.voter._promises) == leases.MAX_LEASES
    router_leases.step(1000.0, [])
    assert not router_leases.voter._promises
