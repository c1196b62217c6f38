"""The figures of the rules that a run is checked by: those of the platform's protocol, with their slack."""

from __future__ import annotations

from dataclasses import dataclass

SLACK_S = 0.05  # by which each time limit is longer on sockets
LOST_AFTER_S = 0.5  # after its time, an answer counts as never given
CROSSING_S = 0.05  # in which a request may cross the close of a resting connection
LEFT_GRACE_S = 0.1  # after its client has left, in which an attempt may begin
READY_S = 10.0  # from a start until the router answers a probe with true
LONGEST_DEADLINE_S = 3.0  # from SIGTERM to SIGKILL, at most
SERVE_AFTER_STOP_S = 0.7  # after SIGTERM: the least time until SIGKILL, beyond the longest deadline
BUSY_FRACTION = 0.85  # capacity is the rate at which this fraction of the cores is busy
SMALL_BUDGET = 30.0  # below this many requests of mean work, chance is allowed more


@dataclass(frozen=True, slots=True)
class ClassRules:
    """What the settings say of one class. Times in seconds."""

    name: str
    deadline: float
    repeatable: bool  # it may be run again and rejected freely
    has_token: bool  # engines drop repeats within the window
    window: float
    ordered: bool


@dataclass(frozen=True, slots=True)
class Rules:
    """What the settings say of the rules. Times in seconds."""

    classes: dict[str, ClassRules]
    max_attempts: int
    drain_grace: float  # in which a router has to stop sending to an engine that drains or is gone
    key_settle: float  # that a key rests after an attempt that may still run
    overload_factor: float
    overload_time: float
    slow_start_fraction: float
    slow_start_time: float
    cores: float  # of each engine
    memory_bytes: int  # of each router
    sockets: int
    lease: float  # a duty's lease

    @property
    def killed_after(self) -> float:
        """Seconds from SIGTERM to the earliest SIGKILL."""
        longest = max(cls.deadline for cls in self.classes.values())
        return min(longest, LONGEST_DEADLINE_S) + SERVE_AFTER_STOP_S
