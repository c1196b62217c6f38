"""The structured log of peer events: one JSON object per line, limited in rate."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import structlog

MAX_EVENTS_PER_SECOND = 20


class EventLog:
    """Writes at most ``MAX_EVENTS_PER_SECOND`` lines for each event name.

    The next line that is written carries the number of suppressed lines. Lines are counted by event name, so
    that an event that repeats, such as a lease that two routers take from each other, does not suppress a
    rare event, such as a change of the view.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._log = structlog.wrap_logger(
            structlog.WriteLogger(), processors=[structlog.processors.JSONRenderer()]
        )
        self._now = now
        self._current_second = 0
        # The number of lines in the current second by event name, including suppressed ones.
        self._counts: Counter[str] = Counter()
        self._suppressed_lines = 0

    def write(self, event: str, /, **fields: object) -> None:
        """Write an event, unless too many events of this name were written in the current second."""
        second = int(self._now())
        if second != self._current_second:
            self._current_second = second
            self._counts.clear()
        self._counts[event] += 1
        if self._counts[event] > MAX_EVENTS_PER_SECOND:
            self._suppressed_lines += 1
            return
        if self._suppressed_lines:
            fields["suppressed"] = self._suppressed_lines
            self._suppressed_lines = 0
        self._log.info(event, **fields)
