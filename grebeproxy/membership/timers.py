"""Callbacks that are due at a time of the local monotonic clock."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import heappop, heappush

Callback = Callable[[], None]


class Timers:
    """A queue of callbacks by due time; those of the same time run in the order they were scheduled in."""

    def __init__(self, numbers: Iterator[int]) -> None:
        self._numbers = numbers
        self._heap: list[tuple[float, int, Callback]] = []

    def schedule(self, due: float, callback: Callback) -> None:
        """Run ``callback`` at ``due``, in seconds."""
        heappush(self._heap, (due, next(self._numbers), callback))

    def next_due(self) -> float | None:
        """When the next callback is due."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> Callback | None:
        """Remove and return the next callback that is due by now."""
        if not self._heap or self._heap[0][0] > now:
            return None
        return heappop(self._heap)[2]
