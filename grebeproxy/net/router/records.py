"""Records of the router: requests, attempts, connections to engines, and engine locations."""

from __future__ import annotations

from dataclasses import dataclass, field

from grebeproxy.net.events import Address
from grebeproxy.net.messages import Call


@dataclass(slots=True, eq=False)
class Request:
    """A client's request; kept until it is answered and no attempt of it is in flight."""

    call: Call
    conn: int  # the client's connection
    deadline: float
    awaiting_answer: bool = True
    attempt_count: int = 0
    in_flight: Attempt | None = None
    memory_mb: float | None = None
    # Connections on which an earlier attempt was abandoned. They are not used for a later attempt, because
    # all attempts of a request share one id and a late answer could not be told apart.
    abandoned_links: set[int] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request on an engine."""

    request: Request
    number: int
    engine: str
    started_at: float
    deadline: float
    write_by: float  # it is not written later, because a retry is only harmless for a limited time
    link: Link | None = None
    written: bool = False
    stopped: bool = False
    pages: list[bytes | None] | None = None  # of the result, once its first page was received
    result_bytes: int = 0
    load_report: dict[str, float] | None = None


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
    answer_started_at: float | None = None  # when an answer began that is still incomplete
    health_checked_at: float | None = None  # when the health check was sent that is still open
    retired: bool = False  # takes no further attempts, and is closed after its last one
    attempts: dict[str, Attempt] = field(default_factory=dict)
    # Attempts of the latest write, which may not have been sent in full while the connection is paused.
    unsent_attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class EngineLocation:
    """Where an engine listens, and when it started if that was recently."""

    address: Address
    started_at: float | None
    gone: bool = False  # kept only until the last connection to the engine is closed
