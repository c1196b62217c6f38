"""The order in which members are probed."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random


class ProbeOrder:
    """The members that are still to be probed in the current round.

    Each member is probed once in a round, in a new random order for each round. No member therefore waits
    longer than two rounds.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._names: list[str] = []

    def insert(self, name: str) -> None:
        """Insert a member that has joined at a random position of the current round."""
        self._names.insert(self._rng.randrange(len(self._names) + 1), name)

    def pop(self) -> str | None:
        """Remove and return the next name, or ``None`` at the end of the round.

        The member of that name may have failed or left since the round began.
        """
        return self._names.pop() if self._names else None

    def begin_round(self, names: Iterable[str]) -> None:
        """Begin a new round over these names."""
        self._names = list(names)
        self._rng.shuffle(self._names)
