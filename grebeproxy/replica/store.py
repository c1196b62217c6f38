"""One router's copies of what all publish. ``step(now, events)`` gives effects; clock and randomness are
passed in.

Now and then it sends one other member how far its copies go, gets what is newer there and gives what is
newer here. Each origin marks now and then that it is still there; a copy that was not marked for ``ttl``
seconds is dropped, and one that is as old is not taken from others, so nothing of a router that is gone
lives on by being passed round.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Union

from grebeproxy.errors import GrebeproxyError
from grebeproxy.replica.records import Delta, Digest, Entry, Record, Version

HEARTBEAT_KEY = ""  # the key that an origin changes only to show that it is there
PER_DIGEST, DIGESTS = 16, 6  # origins in one packet, and packets in one exchange
DELTA_BYTES = 800  # of keys and values in one packet
MAX_TOP = 2**53
NOTHING = Record((-1, 0))
MAX_KEY_BYTES = 64


class PublishLimitError(GrebeproxyError, ValueError):
    """A value could not be published: the key or the record would go beyond ``Limits``.

    Derives from ``ValueError`` as well, which callers caught before this class existed.
    """


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds and times, in bytes and seconds. Alike for all routers."""

    origins: int = 1024
    keys: int = 256  # of one origin
    value: int = 600  # bytes of one value
    record: int = 32 * 1024  # bytes of all that is cached of one origin
    every: float = 0.5  # between exchanges
    ttl: float = 15.0


# --- events and effects


@dataclass(frozen=True, slots=True)
class Members:
    """Those that can be reached, by name, without oneself."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from a member."""

    sender: str
    message: Digest | Delta


@dataclass(frozen=True, slots=True)
class Woken:
    """The time is ``Store.next_at`` or later."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member."""

    to: str
    message: Digest | Delta


@dataclass(frozen=True, slots=True)
class Changed:
    """What an origin publishes has changed; an origin that is gone publishes nothing."""

    origin: str


Event = Union[Members, MessageReceived, Woken]
Effect = Union[Send, Changed]


class Store:
    """All copies, one's own record among them."""

    def __init__(self, name: str, limits: Limits, rng: Random, now: float) -> None:
        self.name, self.limits, self.rng, self.now = name, limits, rng, now
        self.records: dict[str, Record] = {name: Record((0, rng.getrandbits(48)), 0, now)}
        self.next_at = now  # when it wants to be woken
        self.rejected = 0  # deltas beyond the bounds
        self._members: tuple[str, ...] = ()
        self._from = 0  # where the next digest begins
        self._tombstones: dict[tuple[str, str], float] = {}  # keys taken back, and when that was learned
        self._effects: list[Effect] = []

    # --- one's own

    def put(self, now: float, key: str, value: bytes | None) -> None:
        """Publish a value, or with ``None`` take it back. Raises ``PublishLimitError`` beyond the bounds."""
        mine, limits = self.records[self.name], self.limits
        if not key or len(key.encode()) > MAX_KEY_BYTES:
            raise PublishLimitError(f"key: must have 1 to {MAX_KEY_BYTES} bytes")
        if value is not None and len(value) > limits.value:
            raise PublishLimitError(f"{key}: a value has {limits.value} bytes at most")
        if mine.entries.get(key, (0, None))[1] == value:
            return
        before = mine.entries.get(key)
        if before is None and len(mine.entries) >= limits.keys - 1:
            raise PublishLimitError(f"{key}: there are {limits.keys} keys at most")
        self._change(now, key, value)
        if value is not None and mine.size() > limits.record:
            self._change(now, key, None if before is None else before[1])
            raise PublishLimitError(f"{key}: all that is published has {limits.record} bytes at most")

    def _change(self, now: float, key: str, value: bytes | None) -> None:
        mine = self.records[self.name]
        mine.top, mine.at = mine.top + 1, now
        mine.entries[key] = (mine.top, value)
        self._record_tombstone(self.name, key, value)

    def _record_tombstone(self, origin: str, key: str, value: bytes | None) -> None:
        if value is None:
            self._tombstones[origin, key] = self.now
        else:
            self._tombstones.pop((origin, key), None)

    def _outbid(self, theirs: Version) -> None:
        """An earlier process of this name, or a twin, has a higher life: begin one above it."""
        mine = self.records[self.name]
        mine.incarnation = (min(theirs[0], MAX_TOP) + 1, mine.incarnation[1])
        self._change(self.now, HEARTBEAT_KEY, b"")

    # --- reading

    def get(self, origin: str, key: str) -> bytes | None:
        """What an origin publishes under a key, as far as is known."""
        record = self.records.get(origin)
        return record.entries.get(key, (0, None))[1] if record is not None else None

    def all(self, key: str) -> dict[str, bytes]:
        """What each origin publishes under a key, in the order of names."""
        published = ((origin, self.get(origin, key)) for origin in sorted(self.records))
        return {origin: value for origin, value in published if value is not None}

    # --- the reducer

    def step(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Take what happened, in order; gives the effects to carry out."""
        self.now, self._effects = now, []
        for event in events:
            match event:
                case Members(names):
                    self._members = names
                case MessageReceived(sender, Digest() as digest):
                    self._compare(sender, digest)
                case MessageReceived(_, Delta() as delta):
                    self._apply(delta)
        if now >= self.next_at:
            self.next_at = now + self.limits.every * (0.75 + 0.5 * self.rng.random())
            self._expire()
            if self._members:
                to = self.rng.choice(self._members)
                self._effects += [Send(to, digest) for digest in self._digests()]
        return self._effects

    def _expire(self) -> None:
        mine, ttl = self.records[self.name], self.limits.ttl
        if self.now - mine.at >= ttl / 4:
            self._change(self.now, HEARTBEAT_KEY, b"")
        # Who has not heard by now that it was taken back holds nothing of that origin any more.
        for (origin, key), since in list(self._tombstones.items()):
            if since < self.now - 2 * ttl or origin not in self.records:
                del self._tombstones[origin, key]
                if origin in self.records:
                    self.records[origin].entries.pop(key, None)
        for origin in [
            origin
            for origin, record in self.records.items()
            if origin != self.name and self.now - record.at >= ttl
        ]:
            del self.records[origin]
            self._effects.append(Changed(origin))

    def _digests(self) -> list[Digest]:
        """How far all copies go, or as many of them as fit, others each time."""
        origins = sorted(self.records)
        if len(origins) <= PER_DIGEST:
            return [
                Digest(tuple((origin, self.records[origin].version) for origin in origins), complete=True)
            ]
        most = min(len(origins), PER_DIGEST * DIGESTS)
        start, self._from = self._from % len(origins), self._from + most
        turn = (origins + origins)[start : start + most]
        chosen = [(origin, self.records[origin].version) for origin in turn]
        return [Digest(tuple(chosen[at : at + PER_DIGEST])) for at in range(0, most, PER_DIGEST)]

    def _compare(self, sender: str, digest: Digest) -> None:
        behind = []
        for origin, theirs in digest.versions:
            cached = self.records.get(origin, NOTHING)
            if origin == self.name and theirs[:2] > cached.incarnation:
                self._outbid(theirs)
            if cached.version > theirs:
                self._send_changes(
                    sender, origin, cached, theirs[2] if cached.incarnation == theirs[:2] else 0
                )
            elif cached.version < theirs:
                behind.append((origin, cached.version))
        if digest.complete:
            named = {origin for origin, _ in digest.versions}
            for origin in sorted(self.records.keys() - named):
                self._send_changes(sender, origin, self.records[origin], 0)
        if behind and digest.requests_newer:
            self._effects.append(Send(sender, Digest(tuple(behind), requests_newer=False)))

    def _send_changes(self, to: str, origin: str, cached: Record, base: int) -> None:
        """The changes after ``base``, in their order, as many as fit; the rest at the next exchange."""
        age = max(0.0, self.now - cached.at)
        if origin != self.name and age >= self.limits.ttl:
            return
        entries: list[tuple[str, int, bytes | None]] = []
        size, top = 0, cached.top
        for key, (number, value) in sorted(cached.entries.items(), key=lambda item: item[1][0]):
            if number <= base:
                continue
            size += len(key.encode()) + len(value or b"") + 16
            if entries and size > DELTA_BYTES:
                top = entries[-1][1]
                break
            entries.append((key, number, value))
        self._effects.append(Send(to, Delta(origin, cached.incarnation, base, top, age, tuple(entries))))

    def _apply(self, delta: Delta) -> None:
        cached = self.records.get(delta.origin)
        if delta.age >= self.limits.ttl or not 0 <= delta.base <= delta.top <= MAX_TOP:
            return
        if delta.origin == self.name:
            if delta.incarnation > self.records[self.name].incarnation:
                self._outbid((*delta.incarnation, delta.top))
            return
        same = cached is not None and cached.incarnation == delta.incarnation
        if delta.base > (cached.top if cached is not None and same else 0):
            return  # changes before it are missing: a message was lost
        if cached is not None and (*delta.incarnation, delta.top) < cached.version:
            return
        entries: dict[str, Entry] = {key: (number, value) for key, number, value in delta.entries}
        theirs = Record(delta.incarnation, delta.top, self.now - max(0.0, delta.age), entries)
        made = (
            Record(cached.incarnation, cached.top, cached.at, dict(cached.entries))
            if cached is not None
            else Record()
        )
        made.join(theirs)
        if (
            len(made.entries) > self.limits.keys
            or made.size() > self.limits.record
            or (cached is None and len(self.records) >= self.limits.origins)
        ):
            self.rejected += 1
            return
        before = {key: entry[1] for key, entry in cached.entries.items()} if cached is not None else {}
        for key, _, value in delta.entries:
            if key in made.entries and made.entries[key][1] == value:
                self._record_tombstone(delta.origin, key, value)
        self.records[delta.origin] = made
        after = {key: entry[1] for key, entry in made.entries.items()}
        published = (before.keys() | after.keys()) - {HEARTBEAT_KEY}
        if any(before.get(key) != after.get(key) for key in published):
            self._effects.append(Changed(delta.origin))
