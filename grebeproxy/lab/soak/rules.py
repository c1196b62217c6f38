"""The limits that a run is checked against: those of the platform's protocol, and a slack for timing."""

from __future__ import annotations

from dataclasses import dataclass

TIMING_SLACK_S = 0.05  # tolerance added to each time limit, for delays of real sockets
ANSWER_GRACE_S = 0.5  # An answer this long after the request's deadline counts as never given.
CLOSE_RACE_S = 0.05  # A request sent this shortly before the router closes an idle connection may be lost.
CANCEL_GRACE_S = 0.1  # An attempt may still begin this long after its client cancelled or disconnected.
READY_LIMIT_S = 10.0  # longest time from a router's start until it answers a probe with true
LONGEST_DEADLINE_S = 3.0  # upper limit of the longest deadline, where it delays SIGKILL
# A router serves new requests for this long after SIGTERM. SIGKILL comes no earlier than this time plus the
# longest deadline, which is counted up to LONGEST_DEADLINE_S.
SERVE_AFTER_SIGTERM_S = 0.7
BUSY_FRACTION = 0.85  # An engine's capacity is the rate at which this fraction of its cores is busy.
SMALL_BUDGET = 30.0  # Budgets below this many queries of mean work get a wider random allowance.


@dataclass(frozen=True, slots=True)
class ClassRules:
    """The rules that the settings state for one query class. Times are in seconds."""

    name: str
    deadline: float
    repeatable: bool  # A request may be run again, or rejected after it ran, without harm.
    has_idempotency_key: bool  # Engines drop requests with a repeated key within the window.
    window: float
    ordered: bool


@dataclass(frozen=True, slots=True)
class Rules:
    """The limits that the settings state. Times are in seconds."""

    classes: dict[str, ClassRules]
    max_attempts: int
    drain_grace: float  # A router stops sending to a draining or removed engine within this time.
    key_settle: float  # A key waits this long after an attempt that was ended and may still run.
    overload_factor: float
    overload_time: float
    slow_start_fraction: float
    slow_start_time: float
    cores: float  # cores of each engine
    memory_bytes: int  # memory limit of each router
    sockets: int  # descriptor limit of each router
    lease: float  # length of a duty's lease

    @property
    def killed_after(self) -> float:
        """Seconds from SIGTERM to the earliest time at which the platform may send SIGKILL."""
        longest = max(cls.deadline for cls in self.classes.values())
        return min(longest, LONGEST_DEADLINE_S) + SERVE_AFTER_SIGTERM_S
