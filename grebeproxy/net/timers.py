"""The clock of a router, and calls that are due later, on the running event loop."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from typing import Protocol


class Cancellable(Protocol):
    """A call that is due later."""

    def cancel(self) -> None:
        """Do not make the call."""


class LoopTimers:
    """Times in seconds on the monotonic clock, and calls on the event loop that runs.

    A loop has to be running whenever a call is asked for.
    """

    def __init__(self) -> None:
        self._wake: Cancellable | None = None
        # Read once. Guards against an engine's start that is reported again looking a little later than
        # before, and so like another start: the module would take the engine for cold anew.
        self._unix_offset = time.time() - time.monotonic()

    def now(self) -> float:
        """The monotonic clock, in seconds."""
        return time.monotonic()

    def from_unix_ms(self, unix_ms: int) -> float:
        """A Unix time in milliseconds on the clock of ``now``."""
        return unix_ms / 1000 - self._unix_offset

    def call_soon(self, call: Callable[[], None]) -> None:
        """Call in the next turn of the loop."""
        asyncio.get_running_loop().call_soon(call)

    def call_later(self, delay: float, call: Callable[[], None]) -> Cancellable:
        """Call after ``delay`` seconds."""
        return asyncio.get_running_loop().call_later(delay, call)

    def wake_at(self, at: float, call: Callable[[], None]) -> None:
        """Call at the time ``at``, behind a look at the sockets. Replaces what was asked for before."""
        if self._wake is not None:
            self._wake.cancel()
        # The loop's timers count in milliseconds: rounded up, or it would come back early and spin.
        delay = max(0.0, math.ceil((at - self.now()) * 1000) / 1000)
        self._wake = self.call_later(delay, lambda: self._call_after_reading(call))

    def _call_after_reading(self, call: Callable[[], None]) -> None:
        """Read what has come meanwhile, then call.

        Guards against timers that act on what was so before: the loop runs them ahead of its look at the
        sockets, and what is called soon by what is called soon runs behind that look.
        """
        self.call_soon(lambda: self.call_soon(call))
