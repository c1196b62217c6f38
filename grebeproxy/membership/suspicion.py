"""The duration of suspicions, and the health score of this process.

Both follow Lifeguard's extensions of SWIM. A suspicion that other members confirm independently is shorter.
A process that misses answers extends its own timeouts, because the fault may be local.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log, log10

MIN_SUSPICION_FACTOR = 4.0  # shortest suspicion, in periods times the decimal logarithm of the member count
MAX_SUSPICION_FACTOR = 6.0  # longest suspicion, as a multiple of the shortest
MAX_CONFIRMATIONS = 3  # confirmations by other members that reduce a suspicion to the shortest
MAX_SCORE = 8  # worst health score; 0 is the best
DISTRUST_SCORE = 5  # lowest score at which a process does not trust its own view


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member. Each of ``accusers`` suspects it independently."""

    started_at: float
    shortest: float  # seconds that the suspicion lasts when it is fully confirmed
    accusers: set[str] = field(default_factory=set)

    def confirm(self, accuser: str) -> bool:
        """Add an accuser. Return False if it was counted, or if the suspicion is already fully confirmed."""
        if accuser in self.accusers or len(self.accusers) > MAX_CONFIRMATIONS:
            return False
        self.accusers.add(accuser)
        return True

    def deadline(self) -> float:
        """Return the time at which the member counts as failed."""
        longest = MAX_SUSPICION_FACTOR * self.shortest
        confirmations = max(0, len(self.accusers) - 1)
        reduction = (longest - self.shortest) * log(confirmations + 1) / log(MAX_CONFIRMATIONS + 1)
        return self.started_at + max(self.shortest, longest - reduction)


def shortest_suspicion(period: float, member_count: int) -> float:
    """Return the shortest duration in seconds of a suspicion among this number of members."""
    return MIN_SUSPICION_FACTOR * max(1.0, log10(member_count + 1)) * period


@dataclass(slots=True)
class Health:
    """The health score: how well this process hears other members, from 0 (well) to ``MAX_SCORE``."""

    score: int = 0

    def improve(self) -> None:
        """Improve the score by one because a probe was answered."""
        self.score = max(0, self.score - 1)

    def degrade(self, by: int = 1) -> None:
        """Worsen the score after missing answers, a pause, or a suspicion of this process by others."""
        self.score = min(MAX_SCORE, self.score + by)

    @property
    def timeout_factor(self) -> int:
        """The factor by which this process extends its timeouts."""
        return 1 + self.score
