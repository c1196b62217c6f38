"""A clock for each hollow router that differs from the machine's in offset and rate."""

from __future__ import annotations

import time
from random import Random

from grebeproxy.units import MS_PER_SECOND

MAX_OFFSET_S = 1000.0
MAX_DRIFT = 0.005  # a ratio; two clocks drift apart by up to twice this, half of what leases tolerate


class SkewedClock:
    """Seconds with a random offset that run slightly too fast or too slow."""

    def __init__(self, rng: Random) -> None:
        self._offset = rng.uniform(0.0, MAX_OFFSET_S)
        self._rate = 1.0 + rng.uniform(-MAX_DRIFT, MAX_DRIFT)
        self._unix_offset = time.time() - time.monotonic()

    def now(self) -> float:
        """The router's time."""
        return self._offset + self._rate * time.monotonic()

    def delay_until(self, router_time: float) -> float:
        """Seconds of the machine's clock until ``now`` is ``router_time``; negative once it has passed."""
        return (router_time - self.now()) / self._rate

    def from_unix_ms(self, unix_ms: int) -> float:
        """The router's time at a Unix time in milliseconds."""
        return self._offset + self._rate * (unix_ms / MS_PER_SECOND - self._unix_offset)
