"""A router's clock, and calls that are due later, on the running event loop."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from typing import Protocol

from grebeproxy.units import MS_PER_SECOND


class Cancellable(Protocol):
    """A call that is due later."""

    def cancel(self) -> None:
        """Do not make the call."""


class LoopTimers:
    """Times in seconds on the monotonic clock, and calls on the running event loop.

    Methods that schedule a call need a running loop.
    """

    def __init__(self) -> None:
        self._wake: Cancellable | None = None
        # Read once: with a fresh offset each time, an engine's start that is reported again would differ by a
        # little, and the decision module would take it for another start and the engine for cold.
        self._unix_offset = time.time() - time.monotonic()

    def now(self) -> float:
        """The monotonic clock, in seconds."""
        return time.monotonic()

    def from_unix_ms(self, unix_ms: int) -> float:
        """A Unix time in milliseconds, on the clock of ``now``."""
        return unix_ms / MS_PER_SECOND - self._unix_offset

    def call_soon(self, call: Callable[[], None]) -> None:
        """Call in the loop's next iteration."""
        asyncio.get_running_loop().call_soon(call)

    def call_later(self, delay: float, call: Callable[[], None]) -> Cancellable:
        """Call after ``delay`` seconds."""
        return asyncio.get_running_loop().call_later(delay, call)

    def wake_at(self, due: float, call: Callable[[], None]) -> None:
        """Call at the time ``due``, once the sockets were read. Replaces the call asked for before."""
        if self._wake is not None:
            self._wake.cancel()
        # The loop's timers count in milliseconds. Rounded up, or an early wake would be asked for again.
        delay = max(0.0, math.ceil((due - self.now()) * MS_PER_SECOND) / MS_PER_SECOND)
        self._wake = self.call_later(delay, lambda: self._call_after_reading(call))

    def _call_after_reading(self, call: Callable[[], None]) -> None:
        """Read what has come meanwhile, then call.

        The loop runs timers before it polls the sockets, so a timer could act on outdated state. A callback
        scheduled by a scheduled callback runs after that poll.
        """
        self.call_soon(lambda: self.call_soon(call))
