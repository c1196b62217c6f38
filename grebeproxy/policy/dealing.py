"""Orders that all gateways come to without being told. Bookkeeping only: no decision, no tuned value.

Engines form a ring, in the order of a hash of their ids. Gateways sit on the same ring, number ``i`` at the
fraction of ``i`` times the golden ratio (Fibonacci hashing): evenly, whether numbers are taken in blocks or
in strides, and at the same place where the count of gateways differs for a while. Places are whole numbers,
so that every gateway finds the same ones.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from hashlib import blake2b

from grebeproxy.policy.interface import Engine, EngineState

TURN = 1 << 32  # places on the ring
STEP = 2654435769  # of those from one gateway's number to the next: the golden ratio


def agreed(ids: Iterable[str], salt: str = "") -> list[str]:
    """The ids in an order that all gateways come to, another one for each salt."""
    return sorted(ids, key=lambda id: blake2b(f"{salt}{id}".encode()).digest())


class Ring:
    """Engines that are up, in the agreed order: all, or those of some zones and kinds.

    An engine that comes or goes costs by itself, not by the length of the ring.
    """

    def __init__(self, zones: frozenset[str] | None = None, kinds: frozenset[str] | None = None) -> None:
        self.zones, self.kinds = zones, kinds
        self._marks: list[tuple[bytes, str]] = []

    def __len__(self) -> int:
        """The number of engines."""
        return len(self._marks)

    def fits(self, entry: Engine) -> bool:
        """It is up, and of the zones and kinds of this ring."""
        return (
            entry.state is EngineState.UP
            and (self.zones is None or entry.zone in self.zones)
            and (self.kinds is None or entry.kind in self.kinds)
        )

    def fill(self, entries: Iterable[Engine]) -> None:
        """Take the engines that fit, in place of those that were there."""
        self._marks = sorted(_mark(entry.id) for entry in entries if self.fits(entry))

    def keep(self, entry: Engine) -> None:
        """Take in one engine that fits, or take it off where it does not."""
        mark = _mark(entry.id)
        at = bisect_left(self._marks, mark)
        if at < len(self._marks) and self._marks[at] == mark:
            del self._marks[at]
        if self.fits(entry):
            self._marks.insert(at, mark)

    def window(self, place: int, skip: int, count: int) -> list[str]:
        """So many engines from a place on, without the first ones; each of the ring at most once."""
        total = len(self._marks)
        first = (place * total >> 32) + skip
        return [self._marks[at % total][1] for at in range(first, first + min(count, total - skip))]

    def rank(self, id: str) -> int:
        """How many engines come before one."""
        return bisect_left(self._marks, _mark(id))


class Seats:
    """Where gateways sit on the ring, ours among them."""

    def __init__(self, gateways: int, index: int) -> None:
        self._places = sorted(number * STEP % TURN for number in range(gateways))
        self.place, self._index = index * STEP % TURN, index

    def sharers(self, rank: int, reach: int, engines: int) -> tuple[int, int]:
        """Who has an engine of that rank in a window of ``reach`` engines: how many, and our number there."""
        count = len(self._places)
        if reach >= engines:
            return count, self._index
        low = rank - reach + 1  # the earliest engine at which a window with it begins
        before = self._before(low % engines, engines)
        behind = self._before(rank + 1, engines)
        mine = bisect_left(self._places, self.place)
        return (behind - before) % count or count, (mine - before) % count

    def _before(self, rank: int, engines: int) -> int:
        """Gateways whose window begins before the engine of that rank."""
        return bisect_left(self._places, -(-(rank << 32) // engines))


def _mark(id: str) -> tuple[bytes, str]:
    return blake2b(id.encode(), digest_size=8).digest(), id
