"""What happened in a run, as the clients, the engines and the processes' parent saw it.

All times are in seconds on the monotonic clock of the machine.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Reply(StrEnum):
    """What a client was told."""

    SERVED = "served"
    REJECTED = "rejected"  # trying again is harmless
    FAILED = "failed"
    UNREADABLE = "unreadable"


class End(StrEnum):
    """How an attempt ended at its engine."""

    ANSWERED = "answered"
    NEVER_RAN = "never ran"  # refused by the engine
    STOPPED = "stopped"  # by the router
    CLOSED = "closed"  # with its connection


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
    connection: int  # a number that no other connection of the run has
    number: int  # of the request on its connection, from 1
    query_class: str
    key: str | None
    work: float  # core-seconds
    limit: float  # seconds that the client waits
    sent_at: float
    answers: list[Answer] = field(default_factory=list)
    left_at: float | None = None  # when the client cancelled it, or closed its connection
    lost_at: float | None = None  # when the router's side of the connection ended without an answer

    @property
    def deadline(self) -> float:
        """Until when the client waits."""
        return self.sent_at + self.limit

    @property
    def over_at(self) -> float | None:
        """When the client had its answer or had left, or its connection ended; ``None`` if none of it."""
        times = [answer.at for answer in self.answers]
        times += [at for at in (self.left_at, self.lost_at) if at is not None]
        return min(times, default=None)


@dataclass(slots=True)
class Attempt:
    """One attempt that reached an engine whole."""

    txn: str
    engine: int
    began_at: float
    ended_at: float | None = None
    end: End | None = None


@dataclass(slots=True)
class Life:
    """One process of a router, from its start to its end."""

    router: int
    started_at: float
    ready_at: float | None = None  # when it answered a probe with true
    terminated_at: float | None = None  # when it was sent the first SIGTERM
    killed_at: float | None = None  # when it was sent SIGKILL
    ended_at: float | None = None
    status: int | None = None  # of its exit; negative for a signal
    log: str = ""

    def runs_at(self, at: float) -> bool:
        """Whether it was running then."""
        return self.started_at <= at and (self.ended_at is None or at <= self.ended_at)


@dataclass(frozen=True, slots=True)
class Span:
    """A time in which something lasted: a process was stopped, or this harness ran late."""

    began: float
    ended: float

    def overlap(self, began: float, ended: float) -> float:
        """Seconds that both have in common."""
        return max(0.0, min(self.ended, ended) - max(self.began, began))


@dataclass(frozen=True, slots=True)
class EngineStart:
    """A start of an engine that the change log told of."""

    engine: int
    at: float


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """An engine that the change log told to be draining or gone."""

    engine: int
    at: float


@dataclass(frozen=True, slots=True)
class Usage:
    """What a router's process held."""

    router: int
    at: float
    resident_bytes: int
    descriptors: int


@dataclass(frozen=True, slots=True)
class DutyReport:
    """One report of a duty: the holder named in it, and the ballot."""

    at: float
    ballot: int
    holder: str


@dataclass(slots=True)
class Recording:
    """Everything that the checks look at."""

    requests: list[Request] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    pauses: dict[int, list[Span]] = field(default_factory=dict)  # by router
    late: list[Span] = field(default_factory=list)  # when the harness itself ran late
    withdrawals: list[Withdrawal] = field(default_factory=list)
    engine_starts: list[EngineStart] = field(default_factory=list)
    usage: list[Usage] = field(default_factory=list)
    duty_reports: list[DutyReport] = field(default_factory=list)
    datagrams: list[float] = field(default_factory=list)  # times at which routers sent one to another
    quiet_from: float = 0.0  # when the last fault had ended
    calm: Span | None = None  # a time before the first fault
    ended_at: float = 0.0
    connections: int = 0  # of clients, until now

    def new_connection(self) -> int:
        """A number that no other connection of the run has."""
        self.connections += 1
        return self.connections

    def paused(self, router: int, began: float, ended: float) -> float:
        """Seconds for which a router's process was stopped in that time."""
        return sum(span.overlap(began, ended) for span in self.pauses.get(router, ()))

    def resumed_after(self, router: int, at: float) -> float:
        """When the process went on, if it was stopped at that time; else that time."""
        spans = [span for span in self.pauses.get(router, ()) if span.began <= at <= span.ended]
        return max((span.ended for span in spans), default=at)

    def life_at(self, router: int, at: float) -> Life | None:
        """The process of a router that ran at that time."""
        lives = [life for life in self.lives if life.router == router and life.runs_at(at)]
        return lives[-1] if lives else None
