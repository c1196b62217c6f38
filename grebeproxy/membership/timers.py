"""Timers: callbacks that are due at a time of the local monotonic clock."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import heappop, heappush

Callback = Callable[[], None]


class Timers:
    """A queue of callbacks by due time. Callbacks due at the same time run in the order of scheduling."""

    def __init__(self, numbers: Iterator[int]) -> None:
        self._numbers = numbers
        self._heap: list[tuple[float, int, Callback]] = []

    def schedule(self, due: float, callback: Callback) -> None:
        """Add a callback that is due at the time ``due``, in seconds."""
        heappush(self._heap, (due, next(self._numbers), callback))

    def next_due(self) -> float | None:
        """Return the time at which the next callback is due, or ``None`` if there is none."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> Callback | None:
        """Remove and return the next callback that is due at ``now``, or ``None`` if none is."""
        if not self._heap or self._heap[0][0] > now:
            return None
        return heappop(self._heap)[2]
