"""The state machine of all leases at one router. It does no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from grebeproxy.membership.lease.candidate import Candidate
from grebeproxy.membership.lease.config import LeaseConfig, LeaseContext
from grebeproxy.membership.lease.messages import (
    Effect,
    Event,
    LeaseWanted,
    SendVote,
    Token,
    TokenRejected,
    ViewUpdated,
    Vote,
    VoteKind,
    VoteReceived,
    Woken,
)
from grebeproxy.membership.lease.voter import Promise, Voter
from grebeproxy.membership.model import Condition, View, Wake


class Leases:
    """One router's voter and candidate. Times are seconds on the local monotonic clock."""

    def __init__(self, config: LeaseConfig, rng: Random, now: float) -> None:
        view = View(0, (config.name,), Condition.ALONE, now)
        self._context = LeaseContext(config, rng, now, view, [])
        self.voter = Voter(self._context)
        self._candidate = Candidate(self._context, self.voter, self._send)
        self._wake_at: float | None = None

    @property
    def instance(self) -> int:
        """The random number that identifies this process."""
        return self._context.config.instance

    def token(self, lease: str, now: float) -> Token | None:
        """Return the token of a lease, or ``None`` if this router does not hold the lease at ``now``.

        The holder must call this before each piece of work that the lease protects.
        """
        return self._candidate.token(lease, now)

    def promise(self, lease: str) -> Promise | None:
        """Return the latest promise that this router has given for a lease; it may have expired."""
        return self.voter.promise(lease)

    def step(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Handle events in order and return the effects to carry out."""
        context = self._context
        context.now = now
        context.effects = []
        for event in events:
            self._handle(event)
        self.voter.forget_old_promises()
        self._candidate.advance()
        self._request_wake()
        return context.effects

    def _handle(self, event: Event) -> None:
        match event:
            case VoteReceived():
                self._on_vote(event)
            case ViewUpdated(view, duplicate):
                self._context.view = view
                if duplicate:  # The duplicate process may vote as well, under the same name.
                    self.voter.suspend()
            case LeaseWanted(lease, wanted):
                self._candidate.want(lease, wanted)
            case TokenRejected(lease, token):
                self._candidate.on_token_rejected(lease, token)
            case Woken():
                self._wake_at = None

    def _on_vote(self, event: VoteReceived) -> None:
        vote = event.vote
        match vote.kind:
            case VoteKind.REQUEST:
                self._send(event.sender, self.voter.answer(event))
            case VoteKind.RELEASE:
                self.voter.release(event)
            case VoteKind.GRANT:
                self._candidate.on_grant(vote, event.sender)
            case VoteKind.DENY:
                self._candidate.on_deny(vote, event.sender)

    def _send(self, to: str, vote: Vote) -> None:
        config = self._context.config
        if to == config.name:  # A router's vote for itself needs no datagram.
            self._on_vote(VoteReceived(config.name, config.instance, vote))
        else:
            self._context.effects.append(SendVote(to, vote))

    def _request_wake(self) -> None:
        due = self._candidate.next_due()
        if due is not None and (self._wake_at is None or due < self._wake_at):
            self._wake_at = due
            self._context.effects.append(Wake(due))
