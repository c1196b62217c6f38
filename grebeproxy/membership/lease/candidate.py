"""The candidate's side of leases: requesting and counting votes, and renewing and releasing a lease."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from grebeproxy.membership.lease.config import MAX_BALLOT, MAX_CLOCK_DRIFT, MAX_LEASES, LeaseContext
from grebeproxy.membership.lease.messages import LeaseAcquired, LeaseLost, Token, Vote, VoteKind
from grebeproxy.membership.lease.voter import Voter

RENEW_FRACTION = 0.3  # part of a lease's length after which its holder requests the votes again
RETRY_FRACTION = 0.1  # part of a lease's length after which a candidate without a majority tries again
# A retry is delayed by a further random time of up to this many times ``RETRY_FRACTION``. Without the random
# part, candidates that split the votes would split them again.
RETRY_SPREAD = 1.0
SPLIT_VOTE_SPREAD = 4.0  # takes the place of ``RETRY_SPREAD`` after a vote without a majority
# The router claims the lease again at once after a first rejected token, and after this backoff following a
# second one. Each further rejection doubles the backoff.
REJECTION_BACKOFF = 1.0  # lease lengths
MAX_REJECTION_BACKOFF = 32.0  # lease lengths; the backoff is reset after twice this time without a rejection
REQUEST_NUMBER_BITS = 50  # size of the random number at which the request numbers of a process begin


@dataclass(slots=True)
class Claim:
    """The state of this router's claim to one lease. Times are on the router's own clock."""

    ballot: int = 0
    denied_ballot: int = 0  # highest ballot that voters promised to others while this router holds the lease
    request_number: int = 0  # number of the requests that wait for answers; 0 means that none do
    requested_at: float = 0.0
    grants: set[str] = field(default_factory=set)  # voters that granted the latest request
    denials: set[str] = field(default_factory=set)  # voters that denied the latest request
    expires_at: float = 0.0
    next_request_at: float = 0.0
    token: Token | None = None  # ``None`` unless this router holds the lease
    rejected_at: float = -inf  # time at which a token was last rejected
    rejection_backoff: float = 0.0  # lease lengths from the last rejection to the next claim


class Candidate:
    """Acquires, renews and releases leases for this router.

    ``send`` delivers a vote message to a member, which may be this router itself.
    """

    def __init__(self, context: LeaseContext, voter: Voter, send: Callable[[str, Vote], None]) -> None:
        self._context = context
        self._voter = voter
        self._send = send
        self._claims: dict[str, Claim] = {}
        # The first number is random, so that no request of this process matches an answer to an earlier
        # process of the same name.
        self._request_number = context.rng.getrandbits(REQUEST_NUMBER_BITS)

    def token(self, lease: str, now: float) -> Token | None:
        """Return the token of a lease, or ``None`` if this router does not hold the lease at ``now``."""
        claim = self._claims.get(lease)
        return claim.token if claim is not None and now < claim.expires_at else None

    def want(self, lease: str, wanted: bool) -> None:
        """Begin to claim a lease if it is wanted, else release it."""
        claim = self._claims.get(lease)
        if wanted and claim is None and len(self._claims) < MAX_LEASES:
            self._claims[lease] = Claim(next_request_at=self._context.now)
        elif not wanted and claim is not None:
            self._release(lease, claim)
            del self._claims[lease]

    def on_token_rejected(self, lease: str, token: Token) -> None:
        """Give the lease up and claim it again with a ballot above ``token``, which a fence has seen.

        The first claim follows at once, because the cause may be that all voters restarted and remember no
        ballot. If a token is rejected again, another router holds the lease by a majority of its own, as
        happens where the configured fleet sizes differ. Without a backoff, the two routers would then take
        the lease from each other endlessly.
        """
        claim = self._claims.get(lease)
        if claim is None:
            return
        if claim.token is not None and token <= claim.token:
            return  # Work under an earlier token of this router arrived late; the current token stands.
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
        """Count a denied vote. Release the granted votes if they cannot become a majority any more."""
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
        """End the leases that have expired, and send the vote requests that are due."""
        now = self._context.now
        for lease, claim in self._claims.items():
            if claim.token is not None and now >= claim.expires_at:
                claim.token = None
                self._context.effects.append(LeaseLost(lease))
            if now >= claim.next_request_at:
                self._request_votes(lease, claim)

    def next_due(self) -> float | None:
        """Return the time at which ``advance`` must be called next, or ``None`` if there is no claim."""
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
        """Request the votes of all members.

        A renewal keeps the ballot unless voters have denied it; a new candidacy raises the ballot.
        """
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
        """Choose the ballot of a new candidacy. Return False if the candidacy has to wait."""
        if claim.request_number:
            # The last request got no majority. The votes that it got are released first, because two
            # candidates that each kept and renewed a part of the votes would block each other forever.
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
        """Raise the ballot of a renewal above the ballots that voters promised to other candidates.

        Candidates that lost with a higher ballot, and the voters that promised it to them, would otherwise
        deny each renewal, and these candidates would request votes for as long as the lease is held. The
        ballot is raised by the size of the fleet, because each candidate may have raised its own ballot once
        more in the meantime.
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
            return  # The answers took longer to arrive than the lease lasts.
        claim.next_request_at = max(self._context.now, claim.requested_at + config.length * RENEW_FRACTION)
        if claim.token is None:
            self._context.effects.append(LeaseAcquired(lease, Token(claim.ballot, config.name)))
            claim.denied_ballot = 0
        claim.token = Token(claim.ballot, config.name)  # A renewal may have raised the ballot.

    def _rejection_delay(self, claim: Claim) -> float:
        """Return the seconds to wait before claiming the lease again after a rejected token."""
        context = self._context
        length = context.config.length
        if context.now - claim.rejected_at > 2 * MAX_REJECTION_BACKOFF * length:
            claim.rejection_backoff = 0.0
        else:
            next_backoff = 2 * claim.rejection_backoff or REJECTION_BACKOFF
            claim.rejection_backoff = min(MAX_REJECTION_BACKOFF, next_backoff)
        claim.rejected_at = context.now
        return claim.rejection_backoff * length * (1.0 + RETRY_FRACTION * context.rng.random())

    def _retry_at(self, spread: float) -> float:
        context = self._context
        return context.now + context.config.length * RETRY_FRACTION * (1.0 + spread * context.rng.random())
