"""The router's timers, in the order in which they are due."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import heapify, heappop, heappush
from typing import Any

MIN_CANCELLED = 64  # cancelled timers that stay in the queue until their times, however few others there are


class Timer:
    """A callback that is due at a time."""

    __slots__ = ("_args", "_callback", "_queue")

    def __init__(self, queue: TimerQueue, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        self._queue = queue
        self._callback: Callable[..., None] | None = callback
        self._args = args

    @property
    def is_cancelled(self) -> bool:
        """Whether the timer has run or was cancelled."""
        return self._callback is None

    def cancel(self) -> None:
        """Do not make the call, and release its arguments; after the call, this does nothing."""
        if self._callback is not None:
            self._callback, self._args = None, ()
            self._queue.count_cancelled()

    def run(self) -> None:
        """Make the call, unless it was cancelled."""
        callback, args = self._callback, self._args
        self._callback, self._args = None, ()
        if callback is not None:
            callback(*args)


class TimerQueue:
    """A queue of callbacks, each due at a time. Timers due at the same time run in the order they were added.

    ``numbers`` yields ascending numbers, which break ties. Cancelled timers take up at most as much of the
    queue as the others.
    """

    def __init__(self, numbers: Iterator[int]) -> None:
        self._numbers = numbers
        self._heap: list[tuple[float, int, Timer]] = []
        self._cancelled = 0  # cancelled timers in the queue

    def __len__(self) -> int:
        """The number of timers in the queue, cancelled ones included."""
        return len(self._heap)

    def add(self, due: float, callback: Callable[..., None], *args: Any) -> Timer:
        """Call ``callback(*args)`` at the time ``due``, in seconds on the router's clock."""
        timer = Timer(self, callback, args)
        heappush(self._heap, (due, next(self._numbers), timer))
        return timer

    def next_due(self) -> float | None:
        """Return the time at which the earliest timer is due, or ``None`` if there is no timer."""
        while self._heap and self._heap[0][2].is_cancelled:
            self._pop()
        return self._heap[0][0] if self._heap else None

    def run_due(self, now: float) -> None:
        """Run all timers due by ``now``, including those that the callbacks add."""
        while self._heap and self._heap[0][0] <= now:
            self._pop().run()

    def count_cancelled(self) -> None:
        """Record that a timer of the queue was cancelled; remove all such timers if they are the majority."""
        self._cancelled += 1
        if self._cancelled > max(MIN_CANCELLED, len(self._heap) // 2):
            self._heap[:] = [entry for entry in self._heap if not entry[2].is_cancelled]
            heapify(self._heap)
            self._cancelled = 0

    def _pop(self) -> Timer:
        timer = heappop(self._heap)[2]
        self._cancelled -= timer.is_cancelled
        return timer
