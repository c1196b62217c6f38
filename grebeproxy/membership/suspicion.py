"""For how long a member is suspected before it counts as failed, and how much this process trusts itself.

After SWIM with Lifeguard's additions: a suspicion that others come to by themselves is shorter, and a process
that misses what it should have heard takes longer over everything, as the fault may be its own.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log, log10

SHORTEST, LONGEST = 4.0, 6.0  # in periods and the logarithm of members; and times that at first
CONFIRMERS = 3  # others that suspect it as well, until the wait is the shortest
MAX_SCORE = 8  # of the score for oneself, 0 is best
DISTRUST = 5  # from here on a process does not trust its own view


@dataclass(slots=True)
class Suspicion:
    """One member is suspected since ``began``; ``by`` are those who came to it."""

    began: float
    shortest: float
    by: set[str] = field(default_factory=set)

    def confirm(self, name: str) -> bool:
        """Another one suspects it. Tells whether that was new and counts."""
        if name in self.by or len(self.by) > CONFIRMERS:
            return False
        self.by.add(name)
        return True

    def until(self) -> float:
        """When the member counts as failed."""
        longest = LONGEST * self.shortest
        confirmations = max(0, len(self.by) - 1)
        wait = longest - (longest - self.shortest) * log(confirmations + 1) / log(CONFIRMERS + 1)
        return self.began + max(self.shortest, wait)


def shortest(period: float, members: int) -> float:
    """Seconds of suspicion at least, where so many members take part."""
    return SHORTEST * max(1.0, log10(members + 1)) * period


@dataclass(slots=True)
class Health:
    """How well this process hears, 0 for well. It stretches its own time-outs."""

    score: int = 0

    def better(self) -> None:
        """A probe was answered."""
        self.score = max(0, self.score - 1)

    def worse(self, by: int = 1) -> None:
        """Something that was due did not come, or others took this process for failed."""
        self.score = min(MAX_SCORE, self.score + by)

    @property
    def timeout_factor(self) -> int:
        """Times the usual time-outs."""
        return 1 + self.score
