"""A rate limit for log lines that peers can cause."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

MIN_INTERVAL = 1.0  # seconds between two log lines of one event


@dataclass(slots=True)
class _Event:
    """When lines of one event may be logged."""

    last_line: float = float("-inf")
    suppressed: int = 0  # lines since the last one that was logged


class RateLimitedLog:
    """Logs at most one line per second of each event, and counts the suppressed lines.

    Without this limit, peers that keep sending malformed bytes would cost CPU time and fill the log. The
    first word of a line names its event; each has its own limit, so that a frequent one hides no other.
    """

    def __init__(self, log: Callable[[str], None], now: Callable[[], float]) -> None:
        self._log = log
        self._now = now
        self._events: dict[str, _Event] = {}

    def write(self, text: str) -> None:
        """Log a line unless the last one of its event was logged less than a second ago."""
        event = self._events.setdefault(text.split(" ", 1)[0], _Event())
        now = self._now()
        if now < event.last_line + MIN_INTERVAL:
            event.suppressed += 1
            return
        self._log(f"{text} suppressed={event.suppressed}" if event.suppressed else text)
        event.last_line = now
        event.suppressed = 0
