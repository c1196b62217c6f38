"""Membership, leases and copies put together: what each message is for, what each part learns of the others.

I/O-free like its parts: ``step(now, events)`` gives effects. Payloads are what a datagram's body carries; the
runtime seals and opens them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Any, Union

from grebeproxy import membership
from grebeproxy.errors import GrebeproxyError
from grebeproxy.membership import lease, wire
from grebeproxy.membership.lease import LeaseConfig, Leases, Token, Vote, VoteKind
from grebeproxy.membership.model import Address, View
from grebeproxy.peers.operator_file import PeersConfig
from grebeproxy.replica import Changed, Delta, Digest, MessageReceived, Limits, Members, Send, Store, Woken

MEMBER, VOTE, DIGEST, DELTA = 1, 2, 3, 4
MAX_ENTRIES = 64
MAX_NAME_BYTES = 64


class PayloadError(GrebeproxyError, ValueError):
    """A payload that carries the key but whose fields make no sense; the node counts it as rejected."""


# --- events


@dataclass(frozen=True, slots=True)
class PayloadReceived:
    """The payload of a datagram."""

    payload: Any


@dataclass(frozen=True, slots=True)
class Tick:
    """The time asked for with ``Wake`` has come."""


@dataclass(frozen=True, slots=True)
class Ending:
    """The router ends."""


@dataclass(frozen=True, slots=True)
class Declined:
    """A duty was refused where it takes effect, as a higher token was seen there."""

    duty: str
    token: Token


Event = Union[PayloadReceived, Tick, Ending, Declined]


# --- effects


@dataclass(frozen=True, slots=True)
class Datagram:
    """Send a payload."""

    to: Address
    payload: Any


@dataclass(frozen=True, slots=True)
class Wake:
    """Send ``Tick`` at that time; replaces an earlier ``Wake``."""

    at: float


@dataclass(frozen=True, slots=True)
class Line:
    """Write a structured line to the log."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()


@dataclass(frozen=True, slots=True)
class Begin:
    """From now on this router does a duty; it asks ``Node.token`` before each time."""

    duty: str


@dataclass(frozen=True, slots=True)
class Stop:
    """It does not any longer."""

    duty: str


Effect = Union[Datagram, Wake, Line, Begin, Stop]


class Node:
    """One router's part in all that routers share."""

    def __init__(
        self, config: PeersConfig, instance: int, rng: Random, now: float, limits: Limits | None = None
    ) -> None:
        self.config, self.instance = config, instance
        member = config.member
        self.members = membership.Membership(member, instance, rng, now)
        self.leases = Leases(LeaseConfig(member.name, instance, member.fleet, config.lease), rng, now)
        self.store = Store(member.name, limits or Limits(), rng, now)
        self.ended = False
        self.rejected = 0  # payloads that could not be read
        self._effects: list[Effect] = []
        self._wakes = {"members": now, "leases": now, "store": now}
        self._wake_at: float | None = None

    @property
    def view(self) -> View:
        """Who is there."""
        return self.members.view

    def token(self, duty: str, now: float) -> Token | None:
        """The token under which a duty may be done at this moment."""
        return None if self.ended else self.leases.token(duty, now)

    def step(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Take what happened, in order; gives the effects to carry out."""
        self._effects = []
        for event in events:
            if self.ended:
                break
            match event:
                case PayloadReceived(payload):
                    self._on_payload(now, payload)
                case Tick():
                    self._wake_at = None
                case Ending():
                    self._give_up_duties(now)
                    self._step_membership(now, membership.LeaveRequested())
                    self.ended = True
                case Declined(duty, token):
                    self._step_leases(now, lease.TokenRejected(duty, token))
        if not self.ended:
            self._wake_due_parts(now)
        return self._effects

    def _wake_due_parts(self, now: float) -> None:
        """Wake each part whose time has come, and ask for a ``Wake`` where the earliest one moved up."""
        for part, due in list(self._wakes.items()):
            if now >= due:
                self._wake(now, part)
        at = min(self._wakes.values())
        if self._wake_at is None or at < self._wake_at:
            self._wake_at = at
            self._effects.append(Wake(at))

    def begin(self, now: float) -> list[Effect]:
        """The first effects."""
        self._step_leases(now, *(lease.LeaseWanted(duty.name) for duty in self.config.duties))
        return self._effects + self.step(now, [])

    def _wake(self, now: float, part: str) -> None:
        match part:
            case "members":
                self._wakes[part] = now + 3600.0
                self._step_membership(now, membership.Woken())
            case "leases":
                self._wakes[part] = now + 3600.0
                self._step_leases(now, lease.Woken())
            case _:
                self._step_store(now, Woken())
                self._wakes[part] = self.store.next_at

    # --- what comes

    def _on_payload(self, now: float, payload: Any) -> None:
        """Guards all parts against a payload that has the key and makes no sense."""
        try:
            kind, rest = payload[0], payload[1:]
            if kind == MEMBER:
                self._step_membership(now, membership.MessageReceived(wire.unpacked(rest[0])))
            elif kind == VOTE:
                vote = _unpack_vote(rest[2])
                if self._knows(rest[0], rest[1]):
                    self._step_leases(now, lease.VoteReceived(rest[0], rest[1], vote))
            elif kind in (DIGEST, DELTA):
                message = _unpack_digest(rest[1:]) if kind == DIGEST else _unpack_delta(rest[1:])
                if rest[0] in self.view.members:
                    self._step_store(now, MessageReceived(rest[0], message))
            else:
                self.rejected += 1
        except (wire.WireError, IndexError, KeyError, TypeError, ValueError):
            self.rejected += 1

    def _knows(self, name: Any, instance: Any) -> bool:
        """Guards the votes against a process that is not, or not any longer, the one of its name."""
        fact = self.members.facts.get(name) if isinstance(name, str) else None
        return fact is not None and fact.instance == instance and name in self.view.members

    # --- the parts

    def _step_membership(self, now: float, *events: membership.Event) -> None:
        conflicts = self.members.name_conflicts
        for effect in self.members.step(now, events):
            match effect:
                case membership.Send(to, message):
                    self._effects.append(Datagram(to, [MEMBER, wire.packed(message)]))
                case membership.Wake(at):
                    self._wakes["members"] = at
                case membership.Notice(kind, name):
                    self._log("member", what=kind, name=name)
                case membership.ViewChanged(view):
                    self._log(
                        "view",
                        epoch=view.epoch,
                        condition=view.condition.value,
                        members=" ".join(view.members[:16]),
                        count=len(view.members),
                    )
                    self._step_leases(now, lease.ViewUpdated(view))
                    others = tuple(name for name in view.members if name != self.config.member.name)
                    self._step_store(now, Members(others))
                case membership.Displaced():
                    self._give_up_duties(now)
                    self.ended = True
        if self.members.name_conflicts > conflicts:
            self._step_leases(now, lease.ViewUpdated(self.view, duplicate=True))

    def _step_leases(self, now: float, *events: lease.Event) -> None:
        for effect in self.leases.step(now, events):
            match effect:
                case lease.SendVote(to, vote):
                    if (fact := self.members.facts.get(to)) is not None:
                        fields = [int(vote.kind), vote.lease, vote.ballot, vote.request_number]
                        voted = [VOTE, self.config.member.name, self.instance, fields]
                        self._effects.append(Datagram(fact.address, voted))
                case lease.LeaseAcquired(what, token):
                    self._log("lease held", lease=what, ballot=token[0])
                    self._effects.append(Begin(what))
                case lease.LeaseLost(what):
                    self._log("lease over", lease=what)
                    self._effects.append(Stop(what))
                case membership.Wake(at):
                    self._wakes["leases"] = at

    def _step_store(self, now: float, *events: MessageReceived | Members | Woken) -> None:
        for effect in self.store.step(now, events):
            match effect:
                case Send(to, message):
                    if (fact := self.members.facts.get(to)) is not None:
                        payload = _pack(self.config.member.name, message)
                        self._effects.append(Datagram(fact.address, payload))
                case Changed():
                    pass  # who uses what is published reads it when it decides

    def _give_up_duties(self, now: float) -> None:
        self._step_leases(now, *(lease.LeaseWanted(duty.name, False) for duty in self.config.duties))

    def _log(self, event: str, **fields: object) -> None:
        self._effects.append(Line(event, tuple(fields.items())))


def _unpack_vote(fields: Any) -> Vote:
    kind, what, ballot, asked = fields[:4]
    return Vote(VoteKind(kind), _text(what), _count(ballot), _count(asked))


def _pack(name: str, message: Digest | Delta) -> list[object]:
    if isinstance(message, Digest):
        versions = [[origin, *version] for origin, version in message.versions]
        return [DIGEST, name, versions, message.complete, message.requests_newer]
    fields = [list(entry) for entry in message.entries]
    return [DELTA, name, message.origin, *message.incarnation, message.base, message.top, message.age, fields]


def _unpack_digest(fields: list[Any]) -> Digest:
    versions, complete, requests_newer = fields[:3]
    if len(versions) > MAX_ENTRIES:
        raise PayloadError("too many origins")
    return Digest(
        tuple(
            (_text(origin), (_count(generation), _count(incarnation), _count(top)))
            for origin, generation, incarnation, top in versions
        ),
        complete is True,
        requests_newer is True,
    )


def _unpack_delta(fields: list[Any]) -> Delta:
    origin, generation, incarnation, base, top, age, entries = fields[:7]
    if len(entries) > MAX_ENTRIES or not isinstance(age, int | float) or not age >= 0.0:
        raise PayloadError("not a delta")
    for _, _, value in entries:
        if value is not None and not isinstance(value, bytes):
            raise PayloadError("not a value")
    return Delta(
        _text(origin),
        (_count(generation), _count(incarnation)),
        _count(base),
        _count(top),
        float(age),
        tuple((_text(key), _count(number), value) for key, number, value in entries),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str) or len(value.encode()) > MAX_NAME_BYTES:
        raise PayloadError("not a name")
    return value


def _count(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise PayloadError("not a number")
    return int(value)
