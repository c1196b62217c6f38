"""Versioned records: one per origin, with a join that is commutative, associative and idempotent.

An origin numbers its changes. A copy holds the latest entry of every key among all changes up to its ``top``,
so of two copies of one incarnation the one with the higher ``top`` holds everything the other does, and one
number tells them apart. Each process of an origin has an incarnation of its own: a copy of a later
incarnation replaces one of an earlier incarnation completely.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

HEARTBEAT_KEY = ""  # the key that an origin changes only to refresh its record
MAX_COUNTER = 2**53  # highest generation and change number that are accepted from others
ENTRY_OVERHEAD_BYTES = 8  # counted for each entry of a record, beside its key and value


class Entry(NamedTuple):
    """The latest value of one key."""

    number: int  # of the change that made it
    value: bytes | None  # ``None``: withdrawn (a tombstone)


class Incarnation(NamedTuple):
    """Tells the processes of one origin apart; ordered, the later one is the higher."""

    generation: int  # raised by a process that meets a higher incarnation of its own name
    nonce: int  # random


class Version(NamedTuple):
    """How far a copy goes; ordered by incarnation, then by the number of the last change."""

    generation: int
    nonce: int
    top: int

    @property
    def incarnation(self) -> Incarnation:
        """The process of the origin that made the copy's changes."""
        return Incarnation(self.generation, self.nonce)


class KeyChange(NamedTuple):
    """One change of a key; a value of ``None`` withdraws the key."""

    key: str
    number: int
    value: bytes | None


FIRST_VERSION = Version(0, 0, 0)
NO_ENTRY = Entry(0, None)
_BELOW_ANY_ENTRY = Entry(-1, None)


@dataclass(slots=True)
class Record:
    """The keys of one origin.

    ``changed_at`` is when the last change was made, in seconds on the local clock, as far as is known.
    """

    version: Version = FIRST_VERSION
    changed_at: float = 0.0
    entries: dict[str, Entry] = field(default_factory=dict)

    @property
    def incarnation(self) -> Incarnation:
        """The process of the origin that made the changes."""
        return self.version.incarnation

    def copy(self) -> Record:
        """The same with a dict of entries of its own."""
        return Record(self.version, self.changed_at, dict(self.entries))

    def size(self) -> int:
        """Bytes of keys and values, with ``ENTRY_OVERHEAD_BYTES`` for each entry."""
        return sum(
            len(key.encode()) + len(value or b"") + ENTRY_OVERHEAD_BYTES
            for key, (_, value) in self.entries.items()
        )

    def join(self, other: Record) -> None:
        """Take in what the other copy holds and this one does not."""
        if other.incarnation < self.incarnation:
            return
        if other.incarnation > self.incarnation:
            self.version = other.version
            self.changed_at = other.changed_at
            self.entries = dict(other.entries)
            return
        for key, entry in other.entries.items():
            self.entries[key] = max(self.entries.get(key, _BELOW_ANY_ENTRY), entry, key=_rank)
        if other.version > self.version:
            self.changed_at = other.changed_at
        elif other.version == self.version:
            self.changed_at = max(self.changed_at, other.changed_at)
        self.version = max(self.version, other.version)


def _rank(entry: Entry) -> tuple[int, bytes]:
    # Two values under one number are a fault of the origin; all copies must still prefer the same one.
    return entry.number, b"" if entry.value is None else b"\1" + entry.value


@dataclass(frozen=True, slots=True)
class Digest:
    """How far the sender's copies go, as pairs of an origin and a version.

    ``complete``: the sender holds no other origins; ``requests_newer``: the receiver is to answer with a
    digest of what it lacks, so that the sender sends that too.
    """

    versions: tuple[tuple[str, Version], ...]
    complete: bool = False
    requests_newer: bool = True


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes of an origin after ``base`` up to ``top``, for copies that go at least as far as ``base``.

    ``age`` is how many seconds ago the change ``top`` was made, as far as the sender knows.
    """

    origin: str
    incarnation: Incarnation
    base: int
    top: int
    age: float
    entries: tuple[KeyChange, ...]

    @property
    def version(self) -> Version:
        """How far a copy goes that has taken this delta in."""
        generation, nonce = self.incarnation
        return Version(generation, nonce, self.top)
