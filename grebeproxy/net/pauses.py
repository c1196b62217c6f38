"""Notices that the process stood still: stopped, or on a machine that did not run it."""

from __future__ import annotations

MAX_LATENESS = 0.01  # seconds that the loop may be late before the process is taken to have stood still
RESUMING = 0.1  # seconds after a pause in which signals that came during it are handled


class PauseDetector:
    """Compares the times at which the loop runs with the wake-up that it asked for. Times in seconds."""

    def __init__(self, now: float) -> None:
        self.wake_at: float | None = None  # when the loop is to run at the latest
        self._ran_at = now
        self._paused_from = now
        self._resumed_at: float | None = None

    def ran(self, now: float) -> None:
        """Record that the loop runs."""
        if self.wake_at is not None and now > self.wake_at + MAX_LATENESS:
            self._paused_from, self._resumed_at = self._ran_at, now
            self.wake_at = None
        self._ran_at = now

    def ran_before(self, now: float) -> float:
        """When the loop ran last before a pause that has just ended; ``now`` if there was none."""
        if self._resumed_at is not None and now <= self._resumed_at + RESUMING:
            return self._paused_from
        return now
