"""A router's clock, and delayed calls on the running event loop."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from typing import Protocol

from grebeproxy.net.wall_clock import WallClock
from grebeproxy.units import MS_PER_SECOND


class Cancellable(Protocol):
    """A delayed call."""

    def cancel(self) -> None:
        """Cancel the call."""


class LoopTimers:
    """Times in seconds on the monotonic clock, and delayed calls on the running event loop.

    Methods that schedule a call require a running event loop.
    """

    def __init__(self) -> None:
        self._wake: Cancellable | None = None
        self._wall_clock = WallClock(time.time, time.monotonic)
        self._wall_clock.observe()

    def now(self) -> float:
        """The time on the monotonic clock, in seconds."""
        return time.monotonic()

    def from_unix_ms(self, unix_ms: int) -> float:
        """Convert a Unix time in milliseconds to the clock of ``now``."""
        return self._wall_clock.to_monotonic(unix_ms)

    def call_soon(self, call: Callable[[], None]) -> None:
        """Make the call in the loop's next iteration."""
        asyncio.get_running_loop().call_soon(call)

    def call_later(self, delay: float, call: Callable[[], None]) -> Cancellable:
        """Make the call after ``delay`` seconds."""
        return asyncio.get_running_loop().call_later(delay, call)

    def wake_at(self, due: float, call: Callable[[], None]) -> None:
        """Make the call at the time ``due``, after reading the sockets. Replaces the previous wake-up."""
        if self._wake is not None:
            self._wake.cancel()
        # The loop's timers have a resolution of milliseconds. Without rounding up, a timer would fire early
        # and the router would request another wake-up.
        delay = max(0.0, math.ceil((due - self.now()) * MS_PER_SECOND) / MS_PER_SECOND)
        self._wake = self.call_later(delay, lambda: self._call_after_reading(call))

    def _call_after_reading(self, call: Callable[[], None]) -> None:
        """Let the loop read its sockets, then make the call.

        The loop runs timers before it polls the sockets, so a timer could act on outdated state. A callback
        that another callback schedules runs after that poll.
        """
        self.call_soon(lambda: self.call_soon(call))
