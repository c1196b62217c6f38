"""The order in which members are probed."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random


class ProbeOrder:
    """The members still to be probed in this round.

    Each member is probed once in a round, in an order drawn anew for each round. No member waits longer than
    two rounds.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._names: list[str] = []

    def insert(self, name: str) -> None:
        """Add a member that joined, at a random place of this round."""
        self._names.insert(self._rng.randrange(len(self._names) + 1), name)

    def pop(self) -> str | None:
        """The next name, which may have failed since; ``None`` at the end of the round."""
        return self._names.pop() if self._names else None

    def begin_round(self, names: Iterable[str]) -> None:
        """Begin a round over all these names."""
        self._names = list(names)
        self._rng.shuffle(self._names)
