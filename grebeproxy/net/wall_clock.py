"""Conversion of Unix times to the monotonic clock, also where the wall clock is stepped."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable

from grebeproxy.units import MS_PER_SECOND

MAX_OFFSETS = 8  # steps of the wall clock that are remembered
MIN_STEP = 0.1  # seconds; smaller differences are drift
MAX_CONVERSIONS = 16_384  # at least one for each engine


class WallClock:
    """Converts the Unix times at which engines started.

    ``unix_now`` and ``monotonic_now`` return the time in seconds on the two clocks.
    """

    def __init__(self, unix_now: Callable[[], float], monotonic_now: Callable[[], float]) -> None:
        self._unix_now = unix_now
        self._monotonic_now = monotonic_now
        self._offsets: deque[float] = deque(maxlen=MAX_OFFSETS)
        # A start that is listed again has to give the same time again: otherwise the engine would count as
        # restarted and cold.
        self._conversions: OrderedDict[int, float] = OrderedDict()

    def to_monotonic(self, unix_ms: int) -> float:
        """Convert a Unix time in milliseconds to seconds on the monotonic clock.

        Before or after which steps of the wall clock the time was taken is unknown. The latest one that is
        possible is assumed, as an engine that started long ago is sent more than a cold one can take.
        """
        if unix_ms not in self._conversions:
            self._conversions[unix_ms] = self._convert(unix_ms / MS_PER_SECOND)
            if len(self._conversions) > MAX_CONVERSIONS:
                self._conversions.popitem(last=False)
        return self._conversions[unix_ms]

    def _convert(self, unix_time: float) -> float:
        self.observe()
        now = self._monotonic_now()
        times = [unix_time - offset for offset in self._offsets]
        return max((time for time in times if time <= now), default=now)

    def observe(self) -> None:
        """Read both clocks, to notice a step of the wall clock."""
        offset = self._unix_now() - self._monotonic_now()
        if all(abs(offset - known) > MIN_STEP for known in self._offsets):
            self._offsets.append(offset)
