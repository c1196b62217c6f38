"""The record of one run, as the clients, the engines and the parent of the router processes observe it.

All times are in seconds on the machine's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Reply(StrEnum):
    """The kind of answer that a client received."""

    SERVED = "served"
    REJECTED = "rejected"  # The client may safely retry.
    FAILED = "failed"
    UNREADABLE = "unreadable"


class End(StrEnum):
    """How an attempt ended at its engine."""

    ANSWERED = "answered"
    NEVER_RAN = "never ran"  # The engine refused the statement.
    STOPPED = "stopped"  # The router stopped the attempt.
    CLOSED = "closed"  # The connection closed during the attempt.


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer that a client has read in full."""

    at: float
    reply: Reply


@dataclass(slots=True)
class Request:
    """One request that a client has written in full."""

    txn: str
    router: int
    connection: int  # number of the connection, unique in the run
    number: int  # number of the request on its connection, from 1
    query_class: str
    key: str | None
    work: float  # core-seconds
    limit: float  # seconds that the client waits
    sent_at: float
    answers: list[Answer] = field(default_factory=list)
    left_at: float | None = None  # when the client cancelled the request or closed its connection
    lost_at: float | None = None  # when the connection ended without an answer

    @property
    def deadline(self) -> float:
        """The time until which the client waits."""
        return self.sent_at + self.limit

    @property
    def finished_at(self) -> float | None:
        """When the client was answered, cancelled or lost its connection; ``None`` while it waits."""
        times = [answer.at for answer in self.answers]
        times += [at for at in (self.left_at, self.lost_at) if at is not None]
        return min(times, default=None)


@dataclass(slots=True)
class Attempt:
    """One attempt whose request message an engine has read in full."""

    txn: str
    engine: int
    began_at: float
    ended_at: float | None = None
    end: End | None = None


@dataclass(slots=True)
class ProcessRecord:
    """One process of a router, from its start to its end."""

    router: int
    started_at: float
    ready_at: float | None = None  # when the process first answered a probe with true
    terminated_at: float | None = None  # when the harness sent the first SIGTERM
    killed_at: float | None = None  # when the harness sent SIGKILL
    ended_at: float | None = None
    status: int | None = None  # exit status; negative for the signal that ended the process
    log: str = ""

    def runs_at(self, at: float) -> bool:
        """Whether the process was running at the time."""
        return self.started_at <= at and (self.ended_at is None or at <= self.ended_at)


@dataclass(frozen=True, slots=True)
class Span:
    """A period of time, such as one in which a process was paused or the harness ran late."""

    began: float
    ended: float

    def overlap(self, began: float, ended: float) -> float:
        """Seconds that the span has in common with another period."""
        return max(0.0, min(self.ended, ended) - max(self.began, began))


@dataclass(frozen=True, slots=True)
class EngineStart:
    """An engine's start, as published in the change log."""

    engine: int
    at: float


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """An engine's withdrawal: the change log published that it is draining or gone."""

    engine: int
    at: float


@dataclass(frozen=True, slots=True)
class Usage:
    """The memory and descriptors that a router process held at one time."""

    router: int
    at: float
    resident_bytes: int
    descriptors: int


@dataclass(frozen=True, slots=True)
class DutyReport:
    """One report of a duty, with the ballot and the lease holder that it names."""

    at: float
    ballot: int
    holder: str


@dataclass(slots=True)
class Recording:
    """Everything that the checks use."""

    requests: list[Request] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    pauses: dict[int, list[Span]] = field(default_factory=dict)  # pauses of each router, by its index
    late: list[Span] = field(default_factory=list)  # periods in which the harness itself ran late
    withdrawals: list[Withdrawal] = field(default_factory=list)
    engine_starts: list[EngineStart] = field(default_factory=list)
    usage: list[Usage] = field(default_factory=list)
    duty_reports: list[DutyReport] = field(default_factory=list)
    datagrams: list[float] = field(default_factory=list)  # times of the datagrams between routers
    quiet_from: float = 0.0  # time by which the last fault has ended
    baseline: Span | None = None  # a period before the first fault, for comparison
    ended_at: float = 0.0
    connections: int = 0  # client connections opened so far

    def new_connection(self) -> int:
        """A number for a new client connection, unique in the run."""
        self.connections += 1
        return self.connections

    def paused_seconds(self, router: int, began: float, ended: float) -> float:
        """Seconds for which a router's process was paused in the period."""
        return sum(span.overlap(began, ended) for span in self.pauses.get(router, ()))

    def resumed_after(self, router: int, at: float) -> float:
        """When the router's process resumed, if it was paused at the given time; otherwise that time."""
        spans = [span for span in self.pauses.get(router, ()) if span.began <= at <= span.ended]
        return max((span.ended for span in spans), default=at)

    def process_at(self, router: int, at: float) -> ProcessRecord | None:
        """The router's process that ran at the given time, or ``None``."""
        processes = [
            process for process in self.processes if process.router == router and process.runs_at(at)
        ]
        return processes[-1] if processes else None
