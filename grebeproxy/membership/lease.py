"""Leases: the right to do what only one may do, from a majority of the configured fleet, with fencing tokens.

A holder asks all for their votes under a ballot. A voter promises to vote for nobody else until the lease's
length has passed by its own clock. The holder counts from before it asked, and a little less: so it is over
for the holder before any voter is free again, whatever the messages took. The ballot is the token. Any two
majorities share a voter, and a voter takes no ballot below one that it has promised: tokens grow from
holder to holder.

Assumed: clocks of two routers run apart by less than ``DRIFT``; a name runs once, or its twins hear of each
other before either votes. Nothing is kept over a restart: a voter that starts, or learns of a twin, does
not vote until every promise that it may have given is over.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import IntEnum
from random import Random
from typing import Union

from grebeproxy.membership.model import MAX_SECONDS, Condition, InvalidSettingError, View, Wake

DRIFT = 0.02  # part by which two clocks may run apart
RENEW = 0.3  # part of the length after which the votes are asked for anew
RETRY = 0.1  # the same after which they are asked for where a majority did not answer
MAX_LEASES = 64
MAX_BALLOT = 2**53

Token = tuple[int, str]  # ballot and holder: no two holders have the same one


class VoteKind(IntEnum):
    """What a message on a lease is for."""

    ASK = 1  # vote for me under this ballot
    GRANT = 2  # you have my vote, from when your ``asked`` reached me
    DENY = 3  # not under this ballot: another has it, or it is below ``ballot``
    GIVE_BACK = 4  # I do not need your vote any longer


@dataclass(frozen=True, slots=True)
class Vote:
    """One message. ``asked`` comes back as it was sent and tells an answer to this asking from one to an
    earlier.
    """

    kind: VoteKind
    lease: str
    ballot: int
    asked: int = 0


# --- events and effects


@dataclass(frozen=True, slots=True)
class VoteReceived:
    """A message from a member, by name and instance."""

    sender: str
    instance: int
    vote: Vote


@dataclass(frozen=True, slots=True)
class ViewUpdated:
    """There is a new view of the members; ``twin`` where another process of this name is about."""

    view: View
    twin: bool = False


@dataclass(frozen=True, slots=True)
class LeaseWanted:
    """This router would do what the lease is for, or would not any longer."""

    lease: str
    wanted: bool = True


@dataclass(frozen=True, slots=True)
class TokenRejected:
    """What the lease is for was rejected: a token this high was seen where it takes effect."""

    lease: str
    token: Token


@dataclass(frozen=True, slots=True)
class Woken:
    """The time asked for with ``Wake`` has come."""


Event = Union[VoteReceived, ViewUpdated, LeaseWanted, TokenRejected, Woken]


@dataclass(frozen=True, slots=True)
class SendVote:
    """Send a vote message to a member."""

    to: str
    vote: Vote


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The lease is held under that token, from now on and while ``token`` says so."""

    lease: str
    token: Token


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease is not held any longer."""

    lease: str


Effect = Union[SendVote, LeaseAcquired, LeaseLost, Wake]


@dataclass(slots=True)
class Promise:
    """What a voter has promised for one lease."""

    ballot: int = 0
    holder: str = ""
    instance: int = 0
    until: float = 0.0


@dataclass(slots=True)
class Claim:
    """What this router does to hold one lease."""

    ballot: int = 0
    asked: int = 0  # the asking that is out
    asked_at: float = 0.0
    votes: set[str] = field(default_factory=set)  # that were given for it
    denied: set[str] = field(default_factory=set)
    until: float = 0.0  # held until then, by one's own clock
    next_at: float = 0.0  # when votes are asked for next
    token: Token | None = None


class Leases:
    """One router's part, as a voter and as one that asks. ``length`` is in seconds, alike for all."""

    def __init__(self, name: str, instance: int, fleet: int, length: float, rng: Random, now: float) -> None:
        if not 0.0 < length < MAX_SECONDS:
            raise InvalidSettingError(f"length: must be above 0 and below {MAX_SECONDS:.0f}")
        self.name, self.instance, self.fleet, self.length, self.rng = name, instance, fleet, length, rng
        self.now = now
        # An earlier process of this name may have promised something just before it ended.
        self._votes_from = now + length * (1.0 + DRIFT)
        self._view = View(0, (name,), Condition.ALONE, now)
        self._promises: dict[str, Promise] = {}
        self._claims: dict[str, Claim] = {}
        self._asked = rng.getrandbits(50)  # guards against answers to an earlier process of this name
        self._effects: list[Effect] = []
        self._wake_at: float | None = None

    def token(self, lease: str, now: float) -> Token | None:
        """The token under which the lease is held at this moment, to be asked before each act."""
        claim = self._claims.get(lease)
        return claim.token if claim is not None and now < claim.until else None

    def step(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Take what happened, in order; gives the effects to carry out."""
        self.now, self._effects = now, []
        for event in events:
            match event:
                case VoteReceived():
                    self._on_vote(event)
                case ViewUpdated(view, twin):
                    self._view = view
                    if twin:  # it may vote as well, under the same name
                        self._votes_from = now + self.length * (1.0 + DRIFT)
                case LeaseWanted(lease, wanted):
                    self._want(lease, wanted)
                case TokenRejected(lease, token):
                    if (claim := self._claims.get(lease)) is not None:
                        claim.ballot = max(claim.ballot, min(token[0], MAX_BALLOT))
                        self._give_up(lease, claim)
                        claim.next_at = now
                case Woken():
                    self._wake_at = None
        self._promises = {lease: kept for lease, kept in self._promises.items() if not self._stale(kept)}
        for lease, claim in self._claims.items():
            if claim.token is not None and now >= claim.until:
                claim.token = None
                self._effects.append(LeaseLost(lease))
            if now >= claim.next_at:
                self._request_votes(lease, claim)
        self._ask_to_wake()
        return self._effects

    def _stale(self, promise: Promise) -> bool:
        """Guards the memory: a ballot is remembered for long after its lease, but not for good."""
        return self.now > promise.until + 100 * self.length

    def _ask_to_wake(self) -> None:
        times = [claim.next_at for claim in self._claims.values()]
        times += [claim.until for claim in self._claims.values() if claim.token is not None]
        at = min(times, default=None)
        if at is not None and (self._wake_at is None or at < self._wake_at):
            self._wake_at = at
            self._effects.append(Wake(at))

    # --- as one that asks

    def _want(self, lease: str, wanted: bool) -> None:
        claim = self._claims.get(lease)
        if wanted and claim is None and len(self._claims) < MAX_LEASES:
            self._claims[lease] = Claim(next_at=self.now)
        elif not wanted and claim is not None:
            self._give_up(lease, claim)
            del self._claims[lease]

    def _give_up(self, lease: str, claim: Claim) -> None:
        if claim.token is not None:
            claim.token, claim.until = None, 0.0
            self._effects.append(LeaseLost(lease))
        for name in self._view.members:
            self._send(name, Vote(VoteKind.GIVE_BACK, lease, claim.ballot))
        claim.asked = 0

    def _request_votes(self, lease: str, claim: Claim) -> None:
        """Ask all for their votes: to renew under the same ballot, else under a higher one."""
        claim.next_at = self.now + self.length * RETRY * (1.0 + self.rng.random())
        if not self._view.quorate:
            return
        if claim.token is None:
            if claim.asked:
                # Guards against two that each keep and renew a part of the votes: nobody would get more.
                self._give_up(lease, claim)
                claim.next_at = self.now + self.length * RETRY * (1.0 + 4.0 * self.rng.random())
                return
            known = self._promises.get(lease)
            if known is not None and self.now < known.until and known.holder != self.name:
                claim.next_at = known.until + self.length * RETRY * self.rng.random()
                return
            claim.ballot = max(claim.ballot, known.ballot if known is not None else 0) + 1
        self._asked += 1
        claim.asked, claim.asked_at, claim.votes = self._asked, self.now, set()
        claim.denied = set()
        for name in self._view.members:
            self._send(name, Vote(VoteKind.ASK, lease, claim.ballot, claim.asked))

    def _on_granted(self, lease: str, claim: Claim, voter: str) -> None:
        claim.votes.add(voter)
        if 2 * len(claim.votes) <= self.fleet:
            return
        claim.until = max(claim.until, claim.asked_at + self.length * (1.0 - DRIFT))
        if self.now >= claim.until:
            return  # the votes took longer than they hold
        claim.next_at = max(self.now, claim.asked_at + self.length * RENEW)
        if claim.token is None:
            claim.token = (claim.ballot, self.name)
            self._effects.append(LeaseAcquired(lease, claim.token))

    def _denied(self, vote: Vote, claim: Claim, voter: str) -> None:
        """Where a majority can't be had any more, the votes that were given are of use to others."""
        claim.denied.add(voter)
        if 2 * len(claim.denied) >= self.fleet:
            self._give_up(vote.lease, claim)
            claim.next_at = self.now + self.length * RETRY * (1.0 + 4.0 * self.rng.random())
        claim.ballot = max(claim.ballot, min(vote.ballot, MAX_BALLOT))

    # --- as a voter

    def _send(self, to: str, vote: Vote) -> None:
        if to == self.name:  # one's own vote needs no datagram
            self._on_vote(VoteReceived(self.name, self.instance, vote))
        else:
            self._effects.append(SendVote(to, vote))

    def _on_vote(self, event: VoteReceived) -> None:
        vote, claim = event.vote, self._claims.get(event.vote.lease)
        match vote.kind:
            case VoteKind.ASK:
                self._send(event.sender, self._answer(event))
            case VoteKind.GIVE_BACK:
                kept = self._promises.get(vote.lease)
                if kept is not None and kept.instance == event.instance and kept.ballot <= vote.ballot:
                    kept.until = min(kept.until, self.now)
            case VoteKind.GRANT if claim is not None:
                if (vote.asked, vote.ballot) == (claim.asked, claim.ballot):
                    self._on_granted(vote.lease, claim, event.sender)
            case VoteKind.DENY if claim is not None and vote.asked == claim.asked and claim.token is None:
                self._denied(vote, claim, event.sender)

    def _answer(self, event: VoteReceived) -> Vote:
        """Vote, or say why not: a promise to another, a ballot that is not above it, or a start just made."""
        vote = event.vote
        if not 0 < vote.ballot <= MAX_BALLOT:
            return replace(vote, kind=VoteKind.DENY, ballot=0)
        kept = self._promises.get(vote.lease, Promise())
        same = kept.instance == event.instance and kept.holder == event.sender
        free = self.now >= kept.until and vote.ballot > kept.ballot
        renews = same and vote.ballot >= kept.ballot
        full = vote.lease not in self._promises and len(self._promises) >= MAX_LEASES
        if self.now < self._votes_from or full or not (free or renews):
            return replace(vote, kind=VoteKind.DENY, ballot=kept.ballot)
        self._promises[vote.lease] = Promise(
            vote.ballot, event.sender, event.instance, self.now + self.length
        )
        return replace(vote, kind=VoteKind.GRANT)


class Fence:
    """Where what a lease is for takes effect: a token below one that was seen is refused."""

    def __init__(self) -> None:
        self._highest: dict[str, Token] = {}

    def admit(self, lease: str, token: Token) -> bool:
        """Whether what comes under this token may take effect."""
        if token < self._highest.get(lease, (0, "")):
            return False
        self._highest[lease] = token
        return True

    def highest(self, lease: str) -> Token:
        """The highest token that was seen."""
        return self._highest.get(lease, (0, ""))
