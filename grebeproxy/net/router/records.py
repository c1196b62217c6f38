"""The router's records of requests, attempts, connections to engines, and locations of engines."""

from __future__ import annotations

from dataclasses import dataclass, field

from grebeproxy.net.events import Address
from grebeproxy.net.messages import Call
from grebeproxy.net.router.timer_queue import Timer


@dataclass(slots=True, eq=False)
class Request:
    """A client's request, which is kept until it is answered and has no attempt in flight."""

    call: Call
    conn: int  # the client's connection
    deadline: float
    awaiting_answer: bool = True
    attempt_count: int = 0
    in_flight: Attempt | None = None
    memory_mb: float | None = None
    overdue_timer: Timer | None = None
    # Numbers of the connections on which an earlier attempt was abandoned. They are not used for later
    # attempts: all attempts of a request share one transaction id, so a late answer could be taken for the
    # new one.
    abandoned_links: set[int] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request on an engine."""

    request: Request
    number: int
    engine: str
    started_at: float
    deadline: float
    # The attempt is not written after this time, because a retry is harmless only for a limited time.
    write_by: float
    link: Link | None = None
    written: bool = False
    stopped: bool = False
    pages: list[bytes | None] | None = None  # pages of the result, or None until the first page was received
    result_bytes: int = 0
    load_report: dict[str, float] | None = None
    deadline_timer: Timer | None = None


@dataclass(slots=True, eq=False)
class Link:
    """A connection to an engine."""

    id: int
    engine: str
    opened_at: float
    last_received_at: float
    idle_since: float
    connected: bool = False
    paused: bool = False
    answer_started_at: float | None = None  # time of the first bytes of an answer that is still incomplete
    health_checked_at: float | None = None  # time of a health check that is still unanswered
    retired: bool = False  # whether it takes no further attempts and is closed after its last one
    attempts: dict[str, Attempt] = field(default_factory=dict)
    # The attempts of the latest write, part of which may be unsent while the connection is paused.
    unsent_attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class EngineLocation:
    """The address at which an engine listens, and its start time if the engine list gives one."""

    address: Address
    started_at: float | None
    gone: bool = False  # whether the engine has left the list and is kept only until its connections close
    draining: bool = False
