"""A bound on log lines about peers that cannot be understood."""

from __future__ import annotations

from collections.abc import Callable

MIN_INTERVAL = 1.0  # seconds between two lines


class RateLimitedLog:
    """Passes on at most one line a second, and counts those it left out.

    Guards CPU and log against peers that go on sending what cannot be read.
    """

    def __init__(self, log: Callable[[str], None], now: Callable[[], float]) -> None:
        self._log, self._now = log, now
        self._last_line = float("-inf")
        self._suppressed = 0

    def write(self, text: str) -> None:
        """Log a line, unless there was one less than a second ago."""
        now = self._now()
        if now < self._last_line + MIN_INTERVAL:
            self._suppressed += 1
            return
        self._log(f"{text} (and {self._suppressed} more before)" if self._suppressed else text)
        self._last_line, self._suppressed = now, 0
