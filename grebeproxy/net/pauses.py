"""Detects pauses of the process: it was stopped, or the machine did not schedule it."""

from __future__ import annotations

# Seconds between two heartbeats of the event loop. This is at most the time after a client's disconnect
# within which its request may still be sent to an engine.
HEARTBEAT_INTERVAL = 0.1
MAX_LATENESS = 0.01  # seconds by which a heartbeat may be late before it counts as a pause
RESUME_PERIOD = 0.1  # seconds after a pause in which input that arrived during the pause is read


class PauseDetector:
    """Compares the times at which the event loop runs with the next heartbeat. Times are in seconds."""

    def __init__(self, now: float) -> None:
        self._due: float | None = None  # when the next heartbeat is due
        self._ran_at = now
        self._paused_from = now
        self._resumed_at: float | None = None

    def heartbeat(self, now: float) -> None:
        """Record a heartbeat; the next one is due after ``HEARTBEAT_INTERVAL``."""
        self.ran(now)
        self._due = now + HEARTBEAT_INTERVAL

    def ran(self, now: float) -> bool:
        """Record that the event loop runs. Returns whether a pause has just ended."""
        if self._due is not None and now > self._due + MAX_LATENESS:
            self._paused_from, self._resumed_at = self._ran_at, now
            self._due = None  # The late heartbeat sets it again.
        self._ran_at = now
        return self._resumed_at is not None and now <= self._resumed_at + RESUME_PERIOD

    def ran_before(self, now: float) -> float:
        """When the event loop last ran before a pause that has just ended; ``now`` without a pause."""
        return self._paused_from if self.ran(now) else now
