"""The typed values that codecs decode to and encode from. They name no wire."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Union

from grebeproxy.policy.interface import EngineList


class BadFrameError(Exception):
    """Bytes that the protocol does not allow; the connection they came on cannot be read on."""


# --- from clients


@dataclass(frozen=True, slots=True)
class Call:
    """A request; ``limit`` is how long the client waits, in seconds from when it sent it."""

    msg: int
    txn: str
    cls: str
    limit: float
    body: bytes
    tenant: str | None = None
    is_client_retry: bool = False
    token: str | None = None
    work: float | None = None
    memory_mb: float | None = None
    key: str | None = None
    data_set: int | None = None


@dataclass(frozen=True, slots=True)
class Invalid:
    """A request that cannot be used, and the field that is at fault."""

    msg: int
    field: str


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The client no longer waits for the answer."""

    msg: int


@dataclass(frozen=True, slots=True)
class Ping:
    """The front asks whether this router serves."""

    msg: int


FromClient = Union[Call, Invalid, GiveUp, Ping]


# --- to clients


@dataclass(frozen=True, slots=True)
class Served:
    """All rows of the result, in order, as the parts they came in."""

    msg: int
    parts: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Rejected:
    """Not served; a retry is harmless, best after ``later`` seconds (the Retry-After), if given."""

    msg: int
    later: float | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """Not served; nothing is promised about the effect."""

    msg: int
    field: str | None = None


@dataclass(frozen=True, slots=True)
class Pong:
    """Whether this router serves."""

    msg: int
    serves: bool


ToClient = Union[Served, Rejected, Failed, Pong]


# --- to engines


@dataclass(frozen=True, slots=True)
class Run:
    """Run a request; ``wait`` is how long its answer is waited for, in seconds."""

    txn: str
    cls: str
    wait: float
    body: bytes
    token: str | None = None
    memory_mb: float | None = None


@dataclass(frozen=True, slots=True)
class Stop:
    """Give a request up."""

    txn: str


@dataclass(frozen=True, slots=True)
class Fetch:
    """Send a further page, counted from 1."""

    txn: str
    page: int


@dataclass(frozen=True, slots=True)
class End:
    """No more pages are wanted."""

    txn: str


@dataclass(frozen=True, slots=True)
class Hello:
    """Tell whether the connection works: the answer is ``ALIVE`` under the tag."""

    tag: str


ToEngine = Union[Run, Stop, Fetch, End, Hello]


# --- from engines


class AnswerKind(Enum):
    """What an engine's answer is."""

    OK = "ok"
    FULL = "full"
    ERROR = "error"
    STALE = "stale"
    PAGE = "page"
    ALIVE = "alive"
    INVALID = "invalid"  # well framed, with contents that cannot be


@dataclass(frozen=True, slots=True)
class EngineAnswer:
    """An answer; ``pages`` comes with OK, ``page`` with PAGE."""

    txn: str
    kind: AnswerKind
    body: bytes = b""
    pages: int = 1
    page: int = 0
    report: dict[str, float] | None = None


# --- from the change log


@dataclass(frozen=True, slots=True)
class ChangeLogUpdate:
    """One event of the change log; without a list it only shows that the log is alive.

    ``addresses`` holds host and port by engine id.
    """

    seq: int
    change: EngineList | None = None
    addresses: dict[str, tuple[str, int]] | None = None


# --- from operators, at the admin endpoint


@dataclass(frozen=True, slots=True)
class Status:
    """Does this process take clients?"""


@dataclass(frozen=True, slots=True)
class MaintenanceOn:
    """Nothing new is to go to an engine, whatever its state in the list."""

    engine: str


@dataclass(frozen=True, slots=True)
class MaintenanceOff:
    """The engine may serve again."""

    engine: str


@dataclass(frozen=True, slots=True)
class Standby:
    """Clients are to go elsewhere."""


@dataclass(frozen=True, slots=True)
class Active:
    """Clients may come again."""


@dataclass(frozen=True, slots=True)
class UnknownCall:
    """A line that is no call."""


AdminCall = Union[Status, MaintenanceOn, MaintenanceOff, Standby, Active, UnknownCall]
