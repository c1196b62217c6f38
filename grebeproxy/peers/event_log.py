"""The structured log of what routers share: one JSON object a line, bounded in rate."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import structlog

MAX_EVENTS_PER_SECOND = 20


class EventLog:
    """Writes at most ``MAX_EVENTS_PER_SECOND`` of each event; the next line has the number suppressed.

    Counted by event, so that one that repeats, such as a lease that two routers take from each other, does
    not suppress a rare one, such as a change of the view.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._log = structlog.wrap_logger(
            structlog.WriteLogger(), processors=[structlog.processors.JSONRenderer()]
        )
        self._now = now
        self._second = 0
        self._counts: Counter[str] = Counter()  # by event, in this second, suppressed ones among them
        self._suppressed = 0

    def write(self, event: str, /, **fields: object) -> None:
        """Write an event, unless there were too many of its name in this second."""
        second = int(self._now())
        if second != self._second:
            self._second = second
            self._counts.clear()
        self._counts[event] += 1
        if self._counts[event] > MAX_EVENTS_PER_SECOND:
            self._suppressed += 1
            return
        if self._suppressed:
            fields["suppressed"] = self._suppressed
            self._suppressed = 0
        self._log.info(event, **fields)
