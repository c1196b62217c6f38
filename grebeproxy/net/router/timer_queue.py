"""The router's timers, in the order in which they are due."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from typing import Any


class TimerQueue:
    """A queue of callbacks, each due at a time. Timers due at the same time run in the order they were added.

    ``numbers`` yields ascending numbers, which break ties. Timers can't be cancelled: a callback has to check
    whether it still applies.
    """

    def __init__(self, numbers: Iterator[int]) -> None:
        self._numbers = numbers
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def add(self, due: float, callback: Callable[..., None], *args: Any) -> None:
        """Call ``callback(*args)`` at the time ``due``, in seconds on the router's clock."""
        heappush(self._heap, (due, next(self._numbers), callback, args))

    def next_due(self) -> float | None:
        """Return the time at which the earliest timer is due, or ``None`` if there is no timer."""
        return self._heap[0][0] if self._heap else None

    def run_due(self, now: float) -> None:
        """Run all timers due by ``now``, including those that the callbacks add."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            _, _, callback, args = heappop(heap)
            callback(*args)
