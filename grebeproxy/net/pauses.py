"""Notices that the process stood still: stopped, or on a machine that did not run it."""

from __future__ import annotations

# Seconds between heartbeats of the loop: no longer than a request may be sent after its client has left.
HEARTBEAT_INTERVAL = 0.1
MAX_LATENESS = 0.01  # seconds that the loop may be late before the process is taken to have stood still
RESUMING = 0.1  # seconds after a pause in which what came during it is read


class PauseDetector:
    """Compares the times at which the loop runs with the heartbeat that is due. Times in seconds."""

    def __init__(self, now: float) -> None:
        self._due: float | None = None  # the next heartbeat
        self._ran_at = now
        self._paused_from = now
        self._resumed_at: float | None = None

    def heartbeat(self, now: float) -> None:
        """Record a heartbeat; the next one is due after ``HEARTBEAT_INTERVAL``."""
        self.ran(now)
        self._due = now + HEARTBEAT_INTERVAL

    def ran(self, now: float) -> bool:
        """Record that the loop runs. True right after a pause."""
        if self._due is not None and now > self._due + MAX_LATENESS:
            self._paused_from, self._resumed_at = self._ran_at, now
            self._due = None  # until the late heartbeat comes
        self._ran_at = now
        return self._resumed_at is not None and now <= self._resumed_at + RESUMING

    def ran_before(self, now: float) -> float:
        """When the loop ran last before a pause that has just ended; ``now`` if there was none."""
        return self._paused_from if self.ran(now) else now
