"""What is held of one origin, and how two copies of it become one.

An origin counts its changes. A copy holds all changes up to its ``top`` and of each key the latest, so a copy
with the higher top holds whatever the other does, and copies are told apart by one number. Each process of an
origin has an ``incarnation``: a copy of a later incarnation replaces one of an earlier one completely.
Joining is the same in any order and however often it is done.
"""

from __future__ import annotations

from dataclasses import dataclass, field

Entry = tuple[int, bytes | None]  # the change that made it, and the value; ``None`` where it was taken back
Incarnation = tuple[
    int, int
]  # how often the origin had to begin above an earlier process, and a random number
Version = tuple[int, int, int]  # incarnation and top


@dataclass(slots=True)
class Record:
    """One origin's keys. ``at`` is when its latest change was made, on the local clock, as far as known."""

    incarnation: Incarnation = (0, 0)
    top: int = 0
    at: float = 0.0
    entries: dict[str, Entry] = field(default_factory=dict)

    @property
    def version(self) -> Version:
        """How far this copy goes."""
        return (*self.incarnation, self.top)

    def size(self) -> int:
        """Bytes of keys and values."""
        return sum(len(key.encode()) + len(value or b"") + 8 for key, (_, value) in self.entries.items())

    def join(self, other: Record) -> None:
        """Take what the other copy holds and this one does not."""
        if other.incarnation < self.incarnation:
            return
        if other.incarnation > self.incarnation:
            self.incarnation, self.top, self.at, self.entries = (
                other.incarnation,
                other.top,
                other.at,
                dict(other.entries),
            )
            return
        for key, entry in other.entries.items():
            self.entries[key] = max(self.entries.get(key, (-1, None)), entry, key=_rank)
        if other.top > self.top:
            self.at = other.at
        elif other.top == self.top:
            self.at = max(self.at, other.at)
        self.top = max(self.top, other.top)


def _rank(entry: Entry) -> tuple[int, bytes]:
    # Equal numbers with unlike values are an origin's fault; all have to prefer the same.
    return entry[0], b"" if entry[1] is None else b"\1" + entry[1]


@dataclass(frozen=True, slots=True)
class Digest:
    """How far the sender's copies go, as ``(origin, (generation, random, top))`` pairs.

    ``complete``: the sender holds no other origins; ``requests_newer``: the receiver sends what is newer.
    """

    versions: tuple[tuple[str, Version], ...]
    complete: bool = False
    requests_newer: bool = True


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes of an origin after ``base`` up to ``top``; of use to copies that go as far as ``base``.

    ``age`` is how many seconds ago the change ``top`` was made, as far as the sender knows.
    """

    origin: str
    incarnation: Incarnation
    base: int
    top: int
    age: float
    entries: tuple[tuple[str, int, bytes | None], ...]
