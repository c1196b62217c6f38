"""The candidate's and holder's side of leases: requesting votes, counting them, renewing and releasing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from grebeproxy.membership.lease.config import MAX_BALLOT, MAX_CLOCK_DRIFT, MAX_LEASES, LeaseContext
from grebeproxy.membership.lease.messages import LeaseAcquired, LeaseLost, Token, Vote, VoteKind
from grebeproxy.membership.lease.voter import Voter

RENEW_FRACTION = 0.3  # fraction of a lease's length after which its holder requests the votes again
RETRY_FRACTION = 0.1  # fraction of a lease's length after which votes are requested again without a majority
# Retries are spread over so many times ``RETRY_FRACTION``: candidates that split the votes do not meet again.
RETRY_SPREAD = 1.0
SPLIT_VOTE_SPREAD = 4.0
# A second rejected token is followed by a claim after a lease's length, further ones after twice the time.
REJECTION_BACKOFF = 1.0  # lease lengths
MAX_REJECTION_BACKOFF = 32.0  # lease lengths; without a rejection for twice that time it begins anew
REQUEST_NUMBER_BITS = 50


@dataclass(slots=True)
class Claim:
    """The state of one lease that this router wants. Times are on its own clock."""

    ballot: int = 0
    denied_ballot: int = 0  # the highest one that voters promised to others while the lease is held
    request_number: int = 0  # of the requests that wait for answers, 0 for none
    requested_at: float = 0.0
    grants: set[str] = field(default_factory=set)  # voters that granted the latest request
    denials: set[str] = field(default_factory=set)
    expires_at: float = 0.0
    next_request_at: float = 0.0
    token: Token | None = None  # while the lease is held
    rejected_at: float = -inf  # when a token was last rejected
    rejection_backoff: float = 0.0  # lease lengths from that rejection to the next claim


class Candidate:
    """Acquires and renews the leases that this router wants.

    ``send`` delivers a vote message to a member, which may be this router itself.
    """

    def __init__(self, context: LeaseContext, voter: Voter, send: Callable[[str, Vote], None]) -> None:
        self._context = context
        self._voter = voter
        self._send = send
        self._claims: dict[str, Claim] = {}
        # Begins at random, so answers to an earlier process of this name match no request of this one.
        self._request_number = context.rng.getrandbits(REQUEST_NUMBER_BITS)

    def token(self, lease: str, now: float) -> Token | None:
        """The token of a lease that is held at this moment."""
        claim = self._claims.get(lease)
        return claim.token if claim is not None and now < claim.expires_at else None

    def want(self, lease: str, wanted: bool) -> None:
        """Begin to claim a lease, or release it."""
        claim = self._claims.get(lease)
        if wanted and claim is None and len(self._claims) < MAX_LEASES:
            self._claims[lease] = Claim(next_request_at=self._context.now)
        elif not wanted and claim is not None:
            self._release(lease, claim)
            del self._claims[lease]

    def on_token_rejected(self, lease: str, token: Token) -> None:
        """Begin again above a token that was seen where the lease's work takes effect.

        The first time at once: the voters may all have restarted, and remember no ballot. If that is not the
        end of it, another router holds the lease by a majority of its own, as where their fleet sizes differ;
        claims that follow at once would take the lease from each other without end.
        """
        claim = self._claims.get(lease)
        if claim is None:
            return
        if claim.token is not None and token <= claim.token:
            return  # an act under an earlier token of this router was late; the present one stands
        claim.ballot = max(claim.ballot, min(token[0], MAX_BALLOT))
        self._release(lease, claim)
        claim.next_request_at = self._context.now + self._rejection_delay(claim)

    def on_grant(self, vote: Vote, voter: str) -> None:
        """Count a granted vote if it answers the latest request."""
        claim = self._claims.get(vote.lease)
        if claim is None:
            return
        if (vote.request_number, vote.ballot) == (claim.request_number, claim.ballot):
            self._count_grant(vote.lease, claim, voter)

    def on_deny(self, vote: Vote, voter: str) -> None:
        """Count a denied vote. Votes that cannot become a majority any more are released for others."""
        claim = self._claims.get(vote.lease)
        if claim is None or vote.request_number != claim.request_number:
            return
        if claim.token is not None:
            claim.denied_ballot = max(claim.denied_ballot, vote.ballot)
            return
        claim.denials.add(voter)
        if 2 * len(claim.denials) >= self._context.config.fleet:
            self._release(vote.lease, claim)
            claim.next_request_at = self._retry_at(SPLIT_VOTE_SPREAD)
        claim.ballot = max(claim.ballot, min(vote.ballot, MAX_BALLOT))

    def advance(self) -> None:
        """End the leases whose time is over, and send the requests that are due."""
        now = self._context.now
        for lease, claim in self._claims.items():
            if claim.token is not None and now >= claim.expires_at:
                claim.token = None
                self._context.effects.append(LeaseLost(lease))
            if now >= claim.next_request_at:
                self._request_votes(lease, claim)

    def next_due(self) -> float | None:
        """When ``advance`` has something to do next."""
        times = [claim.next_request_at for claim in self._claims.values()]
        times += [claim.expires_at for claim in self._claims.values() if claim.token is not None]
        return min(times, default=None)

    def _release(self, lease: str, claim: Claim) -> None:
        if claim.token is not None:
            claim.token = None
            claim.expires_at = 0.0
            self._context.effects.append(LeaseLost(lease))
        for name in self._context.view.members:
            self._send(name, Vote(VoteKind.RELEASE, lease, claim.ballot))
        claim.request_number = 0

    def _request_votes(self, lease: str, claim: Claim) -> None:
        """Request all votes: under the same ballot to renew, else under a higher one."""
        claim.next_request_at = self._retry_at(RETRY_SPREAD)
        if not self._context.view.quorate:
            return
        if claim.token is not None:
            self._outbid_denials(claim)
        elif not self._raise_ballot(lease, claim):
            return
        self._request_number += 1
        claim.request_number = self._request_number
        claim.requested_at = self._context.now
        claim.grants = set()
        claim.denials = set()
        for name in self._context.view.members:
            self._send(name, Vote(VoteKind.REQUEST, lease, claim.ballot, claim.request_number))

    def _raise_ballot(self, lease: str, claim: Claim) -> bool:
        """Choose the ballot of a new candidacy. False if this is not the time for one."""
        if claim.request_number:
            # The last request found no majority. Two candidates that each kept and renewed a part of the
            # votes would block each other forever, so the votes are released first.
            self._release(lease, claim)
            claim.next_request_at = self._retry_at(SPLIT_VOTE_SPREAD)
            return False
        context = self._context
        promise = self._voter.promise(lease)
        if promise is None:
            claim.ballot += 1
            return True
        if context.now < promise.until and promise.holder != context.config.name:
            jitter = context.config.length * RETRY_FRACTION * context.rng.random()
            claim.next_request_at = promise.until + jitter
            return False
        claim.ballot = max(claim.ballot, promise.ballot) + 1
        return True

    def _outbid_denials(self, claim: Claim) -> None:
        """Renew above the ballots that voters promised to others.

        Routers that lost with a higher ballot, and their voters, would otherwise deny each renewal, and the
        former would request votes for as long as the lease is held. Each of them may have raised its ballot
        once more meanwhile.
        """
        raised = claim.denied_ballot + self._context.config.fleet
        if claim.ballot < claim.denied_ballot and raised <= MAX_BALLOT:
            claim.ballot = raised

    def _count_grant(self, lease: str, claim: Claim, voter: str) -> None:
        config = self._context.config
        claim.grants.add(voter)
        if 2 * len(claim.grants) <= config.fleet:
            return
        claim.expires_at = max(claim.expires_at, claim.requested_at + config.length * (1.0 - MAX_CLOCK_DRIFT))
        if self._context.now >= claim.expires_at:
            return  # the answers took longer than the votes last
        claim.next_request_at = max(self._context.now, claim.requested_at + config.length * RENEW_FRACTION)
        if claim.token is None:
            self._context.effects.append(LeaseAcquired(lease, Token(claim.ballot, config.name)))
            claim.denied_ballot = 0
        claim.token = Token(claim.ballot, config.name)  # a renewal may have raised the ballot

    def _rejection_delay(self, claim: Claim) -> float:
        """Seconds until the claim that follows a rejected token."""
        context = self._context
        length = context.config.length
        if context.now - claim.rejected_at > 2 * MAX_REJECTION_BACKOFF * length:
            claim.rejection_backoff = 0.0
        else:
            doubled = 2 * claim.rejection_backoff or REJECTION_BACKOFF
            claim.rejection_backoff = min(MAX_REJECTION_BACKOFF, doubled)
        claim.rejected_at = context.now
        return claim.rejection_backoff * length * (1.0 + RETRY_FRACTION * context.rng.random())

    def _retry_at(self, spread: float) -> float:
        context = self._context
        return context.now + context.config.length * RETRY_FRACTION * (1.0 + spread * context.rng.random())
