"""Versioned records: one per origin, with a join that is commutative, associative and idempotent.

An origin numbers its changes. A copy holds the latest entry of every key among all changes up to the number
``top``. Of two copies of one incarnation, the one with the higher ``top`` therefore holds everything that the
other holds, and comparing this number suffices. Each process of an origin has an incarnation of its own, and
a copy of a later incarnation replaces a copy of an earlier one completely.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

HEARTBEAT_KEY = ""  # key that an origin changes only to refresh its record
MAX_COUNTER = 2**53  # highest generation and change number that are accepted from others
ENTRY_OVERHEAD_BYTES = 8  # counted for each entry of a record, besides its key and value


class Entry(NamedTuple):
    """The latest value of one key."""

    number: int  # number of the change that set this value
    value: bytes | None  # ``None`` if the key is withdrawn (a tombstone)


class Incarnation(NamedTuple):
    """Identifies one process of an origin. Incarnations are ordered; the later one is the higher one."""

    generation: int  # A process raises this when it meets a higher incarnation of its own name.
    nonce: int  # random number


class Version(NamedTuple):
    """The version of a copy. Versions are ordered by incarnation, then by the number of the last change."""

    generation: int
    nonce: int
    top: int  # number of the last change

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
    """The keys of one origin, with their latest entries.

    ``changed_at`` is the time of the last change, in seconds on the local clock, as far as it is known.
    """

    version: Version = FIRST_VERSION
    changed_at: float = 0.0
    entries: dict[str, Entry] = field(default_factory=dict)

    @property
    def incarnation(self) -> Incarnation:
        """The process of the origin that made the record's changes."""
        return self.version.incarnation

    def copy(self) -> Record:
        """A copy of this record with its own dict of entries."""
        return Record(self.version, self.changed_at, dict(self.entries))

    def size(self) -> int:
        """The size in bytes of all keys and values, with ``ENTRY_OVERHEAD_BYTES`` added for each entry."""
        return sum(
            len(key.encode()) + len(value or b"") + ENTRY_OVERHEAD_BYTES
            for key, (_, value) in self.entries.items()
        )

    def join(self, other: Record) -> None:
        """Merge the other copy of the same origin into this one."""
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
    # Two values under one number are an error of the origin. All copies must still choose the same value.
    return entry.number, b"" if entry.value is None else b"\1" + entry.value


@dataclass(frozen=True, slots=True)
class Digest:
    """The versions of the sender's copies, as pairs of an origin and a version.

    ``complete`` says that the sender holds copies of no other origins. ``requests_newer`` asks the receiver
    to answer with a digest of its outdated copies, so that the sender can send it the missing changes.
    """

    versions: tuple[tuple[str, Version], ...]
    complete: bool = False
    requests_newer: bool = True


@dataclass(frozen=True, slots=True)
class Delta:
    """An origin's changes after number ``base`` up to ``top``, for copies that hold all up to ``base``.

    ``age`` is the age of the change ``top`` in seconds, as far as the sender knows.
    """

    origin: str
    incarnation: Incarnation
    base: int
    top: int
    age: float
    entries: tuple[KeyChange, ...]

    @property
    def version(self) -> Version:
        """The version of a copy to which this delta has been applied."""
        generation, nonce = self.incarnation
        return Version(generation, nonce, self.top)
