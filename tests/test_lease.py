"""Leases: never two holders, tokens that only grow, and a holder again once the faults end."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import pytest
from voters import LEASE, LENGTH, Voters

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


def after_faults(seed: int) -> Voters:
    """A minute of faults, and then none any more."""
    voters = Voters(seed, 3 + 2 * (seed % 4))
    voters.run(5.0)
    for _ in range(40):
        voters.inject_fault()
        voters.run(voters.rng.uniform(0.1, 3.0))
    voters.heal()
    voters.paused_until = [0.0] * voters.n
    voters.update_views()
    return voters


@pytest.mark.parametrize("seed", SEEDS)
def test_there_are_never_two_holders_and_one_again_after_the_faults(seed: int) -> None:
    voters = after_faults(seed)
    before = len(voters.acts)
    voters.run(12.0)
    assert not voters.violations
    assert len(voters.acts) > before + 20


@pytest.mark.parametrize("n", [1, 3, 5, 9, 50])
def test_one_of_many_candidates_soon_holds_the_lease_and_renews_it(n: int) -> None:
    voters = Voters(1, n)
    voters.run(3 * LENGTH)
    held = len(voters.acts)
    voters.run(10 * LENGTH)
    assert len({act.router for act in voters.acts[held:]}) == 1 and len(voters.acts) - held > 150


@pytest.mark.parametrize("seed", range(60))
@pytest.mark.parametrize(("n", "gone"), [(5, 1), (5, 2), (9, 3), (9, 4)])
def test_the_remaining_candidates_do_not_block_each_other(n: int, gone: int, seed: int) -> None:
    voters = Voters(seed, n)
    voters.paused_until = [1e9 if m < gone else 0.0 for m in range(n)]  # in the view, and silent
    voters.run(6 * LENGTH)
    assert voters.acts


def mutants() -> list[tuple[str, Any, str, Any]]:
    """Each rule that keeps leases safe, removed."""
    answer = Voter.answer

    def counts_from_the_grant(self: Candidate, lease: str, claim: Claim, voter: str) -> None:
        claim.requested_at = self._context.now
        COUNT_GRANT(self, lease, claim, voter)

    def votes_at_once(self: Voter, event: VoteReceived) -> Vote:
        self.votes_from = 0.0
        return answer(self, event)

    def votes_twice(self: Voter, event: VoteReceived) -> Vote:
        self._promises.pop(event.vote.lease, None)
        return answer(self, event)

    def accepts_any_grant(self: Candidate, vote: Vote, voter: str) -> None:
        claim = self._claims.get(vote.lease)
        if claim is not None:
            vote = replace(vote, request_number=claim.request_number, ballot=claim.ballot)
        ON_GRANT(self, vote, voter)

    def ignores_the_clock(self: Candidate, lease: str, now: float) -> Any:
        claim = self._claims.get(lease)
        return claim.token if claim is not None else None

    return [
        ("counts from the grant", Candidate, "_count_grant", counts_from_the_grant),
        ("votes right after a start", Voter, "answer", votes_at_once),
        ("votes for two", Voter, "answer", votes_twice),
        ("accepts grants of an earlier request", Candidate, "on_grant", accepts_any_grant),
        ("does not check the clock before it acts", Candidate, "token", ignores_the_clock),
        ("the fence admits every token", Fence, "admit", lambda self, lease, token: True),
    ]


COUNT_GRANT, ON_GRANT = Candidate._count_grant, Candidate.on_grant


@pytest.mark.parametrize("mutant", mutants(), ids=lambda mutant: mutant[0])
def test_without_any_one_of_the_rules_leases_are_not_safe(
    mutant: tuple[str, Any, str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    _, owner, name, replacement = mutant
    monkeypatch.setattr(owner, name, replacement)
    assert any(after_faults(seed).violations for seed in SEEDS)


def test_a_rejected_token_is_raised_above_the_one_seen() -> None:
    voters = Voters(1, 3)
    voters.fence.admit(LEASE, Token(1000, "n9"))  # all have restarted since, and remember nothing
    voters.run(6 * LENGTH)
    assert voters.acts and voters.acts[0].token.ballot > 1000 and voters.rejected


def test_a_released_lease_is_free_at_once() -> None:
    voters = Voters(1, 3)
    voters.run(3 * LENGTH)
    holder = voters.acts[-1].router
    released_at = voters.now
    voters.step(holder, leases.LeaseWanted(LEASE, False))
    voters.run(LENGTH)
    assert any(
        act.router != holder for act in voters.acts if released_at < act.time < released_at + 0.6 * LENGTH
    )


@pytest.mark.parametrize("ballot", [-1, 0, 2**60])
def test_a_ballot_out_of_bounds_gets_no_vote(ballot: int) -> None:
    vote = Vote(VoteKind.REQUEST, "x", ballot)
    leases_of_one = Leases(LeaseConfig("n0", 1, 3, LENGTH), Random(1), -100.0)
    [answer] = leases_of_one.step(0.0, [VoteReceived("n1", 2, vote)])
    assert isinstance(answer, leases.SendVote) and answer.vote == replace(vote, kind=VoteKind.DENY, ballot=0)


def test_the_leases_that_are_voted_on_are_bounded() -> None:
    leases_of_one = Leases(LeaseConfig("n0", 1, 3, LENGTH), Random(1), -100.0)
    for number in range(500):
        leases_of_one.step(0.0, [VoteReceived("n1", 2, Vote(VoteKind.REQUEST, f"x{number}", 1))])
    assert len(leases_of_one.voter._promises) == leases.MAX_LEASES
    leases_of_one.step(1000.0, [])
    assert not leases_of_one.voter._promises
