"""Orders of engines and positions of routers, which all routers compute alike without messages.

Engines form a ring, ordered by a hash of their ids. The position of router number ``i`` on the same ring is
the fractional part of ``i`` times the golden ratio (Fibonacci hashing). These positions are evenly spread
whether numbers are assigned in blocks or in strides, and they do not move while routers disagree on how many
routers there are. Positions are integers, so that every router computes exactly the same ones.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from grebeproxy.policy.interface import Engine, EngineState

RING_BITS = 32
RING_SIZE = 1 << RING_BITS  # positions on the ring
POSITION_STEP = 2654435769  # distance between consecutive routers: RING_SIZE over the golden ratio


def agreed_order(ids: Iterable[str], salt: str = "") -> list[str]:
    """Return the ids in an order that all routers agree on, a different order for each salt."""
    return sorted(ids, key=lambda id: blake2b(f"{salt}{id}".encode()).digest())


class HashRing:
    """Engines that are up, in the agreed order: all of them, or those of some zones and kinds.

    A change of one engine inserts or removes that engine only, and does not sort the ring again.
    """

    def __init__(self, zones: frozenset[str] | None = None, kinds: frozenset[str] | None = None) -> None:
        self.zones = zones
        self.kinds = kinds
        self._entries: list[tuple[bytes, str]] = []  # pairs of hash and id, sorted

    def __len__(self) -> int:
        """Return the number of engines on the ring."""
        return len(self._entries)

    def accepts(self, entry: Engine) -> bool:
        """True if the engine is up and belongs to the zones and kinds of this ring."""
        return (
            entry.state is EngineState.UP
            and (self.zones is None or entry.zone in self.zones)
            and (self.kinds is None or entry.kind in self.kinds)
        )

    def fill(self, entries: Iterable[Engine]) -> None:
        """Replace the ring's engines by those of ``entries`` that belong on this ring."""
        self._entries = sorted(_ring_entry(entry.id) for entry in entries if self.accepts(entry))

    def update(self, entry: Engine) -> None:
        """Insert the engine if it belongs on this ring, else remove it."""
        key = _ring_entry(entry.id)
        index = bisect_left(self._entries, key)
        if index < len(self._entries) and self._entries[index] == key:
            del self._entries[index]
        if self.accepts(entry):
            self._entries.insert(index, key)

    def window(self, position: int, skip: int, count: int) -> list[str]:
        """Return up to ``count`` engines from ``position`` on, after the first ``skip``; none is repeated."""
        total = len(self._entries)
        first = (position * total >> RING_BITS) + skip
        last = first + min(count, total - skip)
        return [self._entries[index % total][1] for index in range(first, last)]

    def rank(self, id: str) -> int:
        """Return the number of engines that come before this one."""
        return bisect_left(self._entries, _ring_entry(id))


class Sharers(NamedTuple):
    """The routers that have an engine in their window."""

    routers: int  # number of sharers
    own_index: int  # this router's index among them


class RouterPositions:
    """The positions of all routers on the ring, and this router's own position."""

    def __init__(self, routers: int, index: int) -> None:
        self._positions = sorted(number * POSITION_STEP % RING_SIZE for number in range(routers))
        self.own = index * POSITION_STEP % RING_SIZE
        self._index = index

    def sharers(self, rank: int, window: int, engines: int) -> Sharers:
        """Return which routers have the engine of this rank in their window, on a ring of ``engines``."""
        routers = len(self._positions)
        if window >= engines:
            return Sharers(routers, self._index)
        first_start = rank - window + 1  # rank of the first engine at which a window with this engine begins
        before = self._starts_before(first_start % engines, engines)
        after = self._starts_before(rank + 1, engines)
        own = bisect_left(self._positions, self.own)
        return Sharers((after - before) % routers or routers, (own - before) % routers)

    def _starts_before(self, rank: int, engines: int) -> int:
        """Return the number of routers whose window begins before the engine of this rank."""
        return bisect_left(self._positions, -(-(rank << RING_BITS) // engines))


def _ring_entry(id: str) -> tuple[bytes, str]:
    return blake2b(id.encode(), digest_size=8).digest(), id
