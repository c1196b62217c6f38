"""A rate limit for log lines that peers can cause."""

from __future__ import annotations

from collections.abc import Callable

MIN_INTERVAL = 1.0  # seconds between two log lines


class RateLimitedLog:
    """Logs at most one line per second, and counts the suppressed lines.

    Without this limit, peers that keep sending malformed bytes would cost CPU time and fill the log.
    """

    def __init__(self, log: Callable[[str], None], now: Callable[[], float]) -> None:
        self._log = log
        self._now = now
        self._last_line = float("-inf")
        self._suppressed = 0

    def write(self, text: str) -> None:
        """Log a line unless the last one was logged less than a second ago."""
        now = self._now()
        if now < self._last_line + MIN_INTERVAL:
            self._suppressed += 1
            return
        self._log(f"{text} suppressed={self._suppressed}" if self._suppressed else text)
        self._last_line = now
        self._suppressed = 0
