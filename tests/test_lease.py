"""Leases: never two holders, tokens that only grow, and a holder again once all is well."""

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


def troubled(seed: int) -> Voters:
    """A minute of trouble, then ten seconds of peace."""
    voters = Voters(seed, 3 + 2 * (seed % 4))
    voters.run(5.0)
    for _ in range(40):
        voters.trouble()
        voters.run(voters.rng.uniform(0.1, 3.0))
    voters.heal()
    voters.frozen_until = [0.0] * voters.n
    for n in range(voters.n):
        voters.do(n, leases.ViewUpdated(voters.view(n)))
    return voters


@pytest.mark.parametrize("seed", SEEDS)
def test_never_two_and_somebody_again(seed: int) -> None:
    voters = troubled(seed)
    before = len(voters.acts)
    voters.run(12.0)
    assert not voters.faults
    assert len(voters.acts) > before + 20


@pytest.mark.parametrize("n", [1, 3, 5, 9, 50])
def test_one_of_many_that_begin_at_once_holds_it_soon_and_keeps_it(n: int) -> None:
    voters = Voters(1, n)
    voters.run(3 * LENGTH)
    held = len(voters.acts)
    voters.run(10 * LENGTH)
    assert len({act[1] for act in voters.acts[held:]}) == 1 and len(voters.acts) - held > 150


@pytest.mark.parametrize("seed", range(60))
@pytest.mark.parametrize(("n", "gone"), [(5, 1), (5, 2), (9, 3), (9, 4)])
def test_those_who_are_left_do_not_keep_the_votes_from_each_other(n: int, gone: int, seed: int) -> None:
    voters = Voters(seed, n)
    voters.frozen_until = [1e9 if m < gone else 0.0 for m in range(n)]  # in the view, and silent
    voters.run(6 * LENGTH)
    assert voters.acts


def mutants() -> list[tuple[str, Any, str, Any]]:
    """Each rule that keeps it safe, taken away."""
    answer = Voter.answer

    def counts_from_the_answer(self: Candidate, lease: str, claim: Claim, voter: str) -> None:
        claim.requested_at = self._context.now
        COUNT_GRANT(self, lease, claim, voter)

    def votes_at_once(self: Voter, event: VoteReceived) -> Vote:
        self.votes_from = 0.0
        return answer(self, event)

    def votes_twice(self: Voter, event: VoteReceived) -> Vote:
        self._promises.pop(event.vote.lease, None)
        return answer(self, event)

    def takes_any_answer(self: Candidate, vote: Vote, voter: str) -> None:
        claim = self._claims.get(vote.lease)
        if claim is not None:
            vote = replace(vote, request_number=claim.request_number, ballot=claim.ballot)
        ON_GRANT(self, vote, voter)

    def holds_on(self: Candidate, lease: str, now: float) -> Any:
        claim = self._claims.get(lease)
        return claim.token if claim is not None else None

    return [
        ("counts from the answer", Candidate, "_count_grant", counts_from_the_answer),
        ("votes right after its start", Voter, "answer", votes_at_once),
        ("votes for two", Voter, "answer", votes_twice),
        ("takes answers to an earlier request", Candidate, "on_grant", takes_any_answer),
        ("does not look at the clock before it acts", Candidate, "token", holds_on),
        ("the fence admits all", Fence, "admit", lambda self, lease, token: True),
    ]


COUNT_GRANT, ON_GRANT = Candidate._count_grant, Candidate.on_grant


@pytest.mark.parametrize("mutant", mutants(), ids=lambda mutant: mutant[0])
def test_without_any_one_of_its_rules_it_is_not_safe(
    mutant: tuple[str, Any, str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    _, owner, name, instead = mutant
    monkeypatch.setattr(owner, name, instead)
    assert any(troubled(seed).faults for seed in SEEDS)


def test_a_token_that_is_too_low_where_it_takes_effect_is_raised() -> None:
    voters = Voters(1, 3)
    voters.fence.admit(LEASE, Token(1000, "n9"))  # all have restarted since, and remember nothing
    voters.run(6 * LENGTH)
    assert voters.acts and voters.acts[0][2][0] > 1000 and voters.refused


def test_what_is_given_back_is_free_at_once() -> None:
    voters = Voters(1, 3)
    voters.run(3 * LENGTH)
    holder, at = voters.acts[-1][1], voters.now
    voters.do(holder, leases.LeaseWanted(LEASE, False))
    voters.run(LENGTH)
    assert any(act[1] != holder for act in voters.acts if at < act[0] < at + 0.6 * LENGTH)


@pytest.mark.parametrize("ballot", [-1, 0, 2**60])
def test_a_ballot_that_cannot_be_gets_no_vote(ballot: int) -> None:
    vote = Vote(VoteKind.REQUEST, "x", ballot)
    voter = Leases(LeaseConfig("n0", 1, 3, LENGTH), Random(1), -100.0)
    [told] = voter.step(0.0, [VoteReceived("n1", 2, vote)])
    assert isinstance(told, leases.SendVote) and told.vote == replace(vote, kind=VoteKind.DENY, ballot=0)


def test_leases_that_are_asked_for_are_bounded() -> None:
    voter = Leases(LeaseConfig("n0", 1, 3, LENGTH), Random(1), -100.0)
    for number in range(500):
        voter.step(0.0, [VoteReceived("n1", 2, Vote(VoteKind.REQUEST, f"x{number}", 1))])
    assert len(voter.voter._promises) == leases.MAX_LEASES
    voter.step(1000.0, [])
    assert not voter.voter._promises
