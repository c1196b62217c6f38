"""Records of the reducer: requests, attempts, connections to engines and where engines are."""

from __future__ import annotations

from dataclasses import dataclass, field

from grebeproxy.net.events import Address
from grebeproxy.net.messages import Call


@dataclass(slots=True, eq=False)
class Request:
    """What a client asked for; kept until it is answered and no attempt is out."""

    call: Call
    conn: int
    due: float
    owed: bool = True  # the client still waits for its answer
    attempts: int = 0
    in_flight: Attempt | None = None
    memory_mb: float | None = None
    # Links on which an earlier attempt was given up. Guards against taking its late answer, which has the
    # same id, for a later attempt's.
    abandoned_links: set[int] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request at an engine."""

    request: Request
    number: int
    engine: str
    sent: float
    until: float
    send_by: float  # not to be written later: a repeat is harmless only for so long
    link: Link | None = None
    written: bool = False
    stopped: bool = False
    pages: list[bytes | None] | None = None
    size: int = 0
    report: dict[str, float] | None = None


@dataclass(slots=True, eq=False)
class Link:
    """A connection to an engine."""

    id: int
    engine: str
    opened: float
    last_heard: float
    idle_since: float
    up: bool = False
    paused: bool = False
    answer_started_at: float | None = None  # since when an answer has begun and is not whole
    probed_at: float | None = None  # since when it is asked whether it works
    retired: bool = False  # takes no further attempts and ends with its last
    attempts: dict[str, Attempt] = field(default_factory=dict)
    unsent: list[Attempt] = field(default_factory=list)  # written last, and not sent whole while paused


@dataclass(slots=True)
class Place:
    """Where an engine listens, and since when, if it started lately."""

    address: Address
    started: float | None
    gone: bool = False  # kept only until the last connection to it has ended
