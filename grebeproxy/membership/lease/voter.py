"""The voter's side of leases: promises, and the answers to requests for votes."""

from __future__ import annotations

from dataclasses import dataclass, replace

from grebeproxy.membership.lease.config import MAX_BALLOT, MAX_CLOCK_DRIFT, MAX_LEASES, LeaseContext
from grebeproxy.membership.lease.messages import Vote, VoteKind, VoteReceived

PROMISE_RETENTION = 100  # lease lengths for which a promise is remembered after it has expired


@dataclass(slots=True)
class Promise:
    """A granted vote for one lease: the process that it was granted to, and the time at which it expires."""

    ballot: int = 0
    holder: str = ""
    instance: int = 0
    until: float = 0.0  # on the voter's own clock


class Voter:
    """Grants at most one vote for each lease at a time."""

    def __init__(self, context: LeaseContext) -> None:
        self._context = context
        self._promises: dict[str, Promise] = {}
        self.votes_from = 0.0  # time before which no vote is granted
        self.suspend()  # An earlier process of this name may have given promises just before it ended.

    def promise(self, lease: str) -> Promise | None:
        """Return the latest promise for a lease; it may have expired."""
        return self._promises.get(lease)

    def suspend(self) -> None:
        """Grant no vote until all promises that other processes of this name may have given have expired."""
        self.votes_from = self._context.now + self._context.config.length * (1.0 + MAX_CLOCK_DRIFT)

    def answer(self, event: VoteReceived) -> Vote:
        """Grant a request, or deny it with the ballot that the next request has to exceed."""
        vote = event.vote
        now = self._context.now
        if not 0 < vote.ballot <= MAX_BALLOT:
            return replace(vote, kind=VoteKind.DENY, ballot=0)
        promise = self._promises.get(vote.lease, Promise())
        same_holder = promise.instance == event.instance and promise.holder == event.sender
        free = now >= promise.until and vote.ballot > promise.ballot
        renews = same_holder and vote.ballot >= promise.ballot
        full = vote.lease not in self._promises and len(self._promises) >= MAX_LEASES
        if now < self.votes_from or full or not (free or renews):
            return replace(vote, kind=VoteKind.DENY, ballot=promise.ballot)
        until = now + self._context.config.length
        self._promises[vote.lease] = Promise(vote.ballot, event.sender, event.instance, until)
        return replace(vote, kind=VoteKind.GRANT)

    def release(self, event: VoteReceived) -> None:
        """End a promise that its holder has released."""
        promise = self._promises.get(event.vote.lease)
        if promise is None or promise.instance != event.instance:
            return
        if promise.ballot <= event.vote.ballot:
            promise.until = min(promise.until, self._context.now)

    def forget_old_promises(self) -> None:
        """Forget the promises that expired more than ``PROMISE_RETENTION`` ago, to bound the memory used."""
        retention = PROMISE_RETENTION * self._context.config.length
        now = self._context.now
        self._promises = {
            lease: promise for lease, promise in self._promises.items() if now <= promise.until + retention
        }
