"""Orders of engines and positions of routers that all routers compute alike without talking to each other.

Engines form a ring, ordered by a hash of their ids. Router number ``i`` has its position on the same ring at
the fraction of ``i`` times the golden ratio (Fibonacci hashing): positions are even whether numbers are
assigned in blocks or in strides, and do not move where routers disagree on their count for a while. Positions
are integers, so that every router computes exactly the same.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from grebeproxy.policy.interface import Engine, EngineState

RING_BITS = 32
RING_SIZE = 1 << RING_BITS  # positions on the ring
POSITION_STEP = 2654435769  # from one router's number to the next: the golden ratio of the ring


def agreed_order(ids: Iterable[str], salt: str = "") -> list[str]:
    """The ids in an order that all routers agree on, a different one for each salt."""
    return sorted(ids, key=lambda id: blake2b(f"{salt}{id}".encode()).digest())


class HashRing:
    """Engines that are up, in the agreed order: all, or those of some zones and kinds.

    A change of one engine costs time for that engine, not for the length of the ring.
    """

    def __init__(self, zones: frozenset[str] | None = None, kinds: frozenset[str] | None = None) -> None:
        self.zones = zones
        self.kinds = kinds
        self._entries: list[tuple[bytes, str]] = []  # hashes and ids, sorted

    def __len__(self) -> int:
        """The number of engines."""
        return len(self._entries)

    def fits(self, entry: Engine) -> bool:
        """True if the engine is up, and of the zones and kinds of this ring."""
        return (
            entry.state is EngineState.UP
            and (self.zones is None or entry.zone in self.zones)
            and (self.kinds is None or entry.kind in self.kinds)
        )

    def fill(self, entries: Iterable[Engine]) -> None:
        """Replace the ring's engines by those of ``entries`` that fit."""
        self._entries = sorted(_ring_entry(entry.id) for entry in entries if self.fits(entry))

    def update(self, entry: Engine) -> None:
        """Insert one engine if it fits, remove it if it does not."""
        key = _ring_entry(entry.id)
        index = bisect_left(self._entries, key)
        if index < len(self._entries) and self._entries[index] == key:
            del self._entries[index]
        if self.fits(entry):
            self._entries.insert(index, key)

    def window(self, position: int, skip: int, count: int) -> list[str]:
        """Up to ``count`` engines from a position on, after the first ``skip``; none of them twice."""
        total = len(self._entries)
        first = (position * total >> RING_BITS) + skip
        last = first + min(count, total - skip)
        return [self._entries[index % total][1] for index in range(first, last)]

    def rank(self, id: str) -> int:
        """The number of engines that come before this one."""
        return bisect_left(self._entries, _ring_entry(id))


class Sharers(NamedTuple):
    """The routers that have an engine in their window."""

    routers: int  # how many they are
    own_index: int  # this router's index among them


class RouterPositions:
    """The positions of all routers on the ring, with this router's own."""

    def __init__(self, routers: int, index: int) -> None:
        self._positions = sorted(number * POSITION_STEP % RING_SIZE for number in range(routers))
        self.own = index * POSITION_STEP % RING_SIZE
        self._index = index

    def sharers(self, rank: int, window: int, engines: int) -> Sharers:
        """Who has the engine of this rank in a window of so many engines, on a ring of ``engines``."""
        routers = len(self._positions)
        if window >= engines:
            return Sharers(routers, self._index)
        first_start = rank - window + 1  # the earliest engine at which a window with this one begins
        before = self._starts_before(first_start % engines, engines)
        after = self._starts_before(rank + 1, engines)
        own = bisect_left(self._positions, self.own)
        return Sharers((after - before) % routers or routers, (own - before) % routers)

    def _starts_before(self, rank: int, engines: int) -> int:
        """The number of routers whose window begins before the engine of this rank."""
        return bisect_left(self._positions, -(-(rank << RING_BITS) // engines))


def _ring_entry(id: str) -> tuple[bytes, str]:
    return blake2b(id.encode(), digest_size=8).digest(), id
