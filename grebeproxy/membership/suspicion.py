"""How long a member is suspected before it counts as failed, and how far this process trusts itself.

This follows SWIM with Lifeguard's extensions: a suspicion that other members confirm independently is
shorter, and a process that misses answers extends its own timeouts, because the fault may be local.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log, log10

MIN_SUSPICION_FACTOR = 4.0  # shortest suspicion, in periods times the logarithm of the number of members
MAX_SUSPICION_FACTOR = 6.0  # longest suspicion, in shortest ones
MAX_CONFIRMATIONS = 3  # members besides the first after which a suspicion is the shortest
MAX_SCORE = 8  # worst health score; 0 is the best
DISTRUST_SCORE = 5  # from this score on a process does not trust its own view


@dataclass(slots=True)
class Suspicion:
    """A member has been suspected since ``started_at``, independently by each of ``accusers``."""

    started_at: float
    shortest: float  # seconds
    accusers: set[str] = field(default_factory=set)

    def confirm(self, accuser: str) -> bool:
        """Count another member that suspects it. False for one that was counted, or is one too many."""
        if accuser in self.accusers or len(self.accusers) > MAX_CONFIRMATIONS:
            return False
        self.accusers.add(accuser)
        return True

    def deadline(self) -> float:
        """When the member counts as failed."""
        longest = MAX_SUSPICION_FACTOR * self.shortest
        confirmations = max(0, len(self.accusers) - 1)
        reduction = (longest - self.shortest) * log(confirmations + 1) / log(MAX_CONFIRMATIONS + 1)
        return self.started_at + max(self.shortest, longest - reduction)


def shortest_suspicion(period: float, members: int) -> float:
    """Seconds that a suspicion takes at least among so many members."""
    return MIN_SUSPICION_FACTOR * max(1.0, log10(members + 1)) * period


@dataclass(slots=True)
class Health:
    """How well this process hears the others, from 0 for well to ``MAX_SCORE``."""

    score: int = 0

    def improve(self) -> None:
        """Record that a probe was answered."""
        self.score = max(0, self.score - 1)

    def degrade(self, by: int = 1) -> None:
        """Record that an answer that was due did not come, or that others suspected this process."""
        self.score = min(MAX_SCORE, self.score + by)

    @property
    def timeout_factor(self) -> int:
        """Factor by which this process extends its timeouts."""
        return 1 + self.score
