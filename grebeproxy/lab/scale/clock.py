"""A clock of its own for each hollow router: shown time and rate differ from the machine's."""

from __future__ import annotations

import time
from random import Random

MOST_OFFSET_S = 1000.0
MOST_DRIFT = 0.005  # two clocks run apart by twice this at most, half of what leases allow


class SlackClock:
    """Seconds that begin anywhere and run a little too fast or too slow."""

    def __init__(self, rng: Random) -> None:
        self._offset = rng.uniform(0.0, MOST_OFFSET_S)
        self._rate = 1.0 + rng.uniform(-MOST_DRIFT, MOST_DRIFT)
        self._unix_offset = time.time() - time.monotonic()

    def now(self) -> float:
        """The time that the router takes it to be."""
        return self._offset + self._rate * time.monotonic()

    def delay(self, at: float) -> float:
        """Seconds of the machine's clock until this one shows ``at``; below 0 where that has passed."""
        return (at - self.now()) / self._rate

    def from_unix_ms(self, unix_ms: int) -> float:
        """A Unix millisecond on this clock."""
        return self._offset + self._rate * (unix_ms / 1000 - self._unix_offset)
