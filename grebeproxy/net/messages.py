"""The typed values that codecs decode to and encode from. They are independent of the wire protocol.

Times are in seconds. ``message_id`` is the id that a client gives its request on its connection; ``txn`` is
the request's id towards engines, unique over all clients.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Union

from grebeproxy.errors import GrebeproxyError
from grebeproxy.policy.interface import EngineList


class BadFrameError(GrebeproxyError):
    """Bytes that violate the protocol; the rest of the stream they came in cannot be decoded."""


# --- from clients


@dataclass(frozen=True, slots=True)
class Call:
    """A request. ``timeout`` is how long the client waits, from when it sent the request."""

    message_id: int
    txn: str
    query_class: str
    timeout: float
    body: bytes
    tenant: str | None = None
    is_client_retry: bool = False
    token: str | None = None
    work: float | None = None
    memory_mb: float | None = None
    key: str | None = None
    data_set: int | None = None


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """A request that cannot be used, and the name of the field that is invalid."""

    message_id: int
    field: str


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """The client no longer waits for the answer to a request."""

    message_id: int


@dataclass(frozen=True, slots=True)
class Ping:
    """A health check: does this router accept requests?"""

    message_id: int


FromClient = Union[Call, InvalidRequest, CancelRequest, Ping]


# --- to clients


@dataclass(frozen=True, slots=True)
class Served:
    """All rows of the result, in order, as the pages they were received in."""

    message_id: int
    pages: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Rejected:
    """Not served; a retry is harmless, best after ``retry_after`` seconds, if given."""

    message_id: int
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """Not served, and the statement may or may not have run. ``field`` names one that was invalid."""

    message_id: int
    field: str | None = None


@dataclass(frozen=True, slots=True)
class Pong:
    """The answer to a health check: whether this router accepts requests."""

    message_id: int
    serving: bool


ToClient = Union[Served, Rejected, Failed, Pong]


# --- to engines


@dataclass(frozen=True, slots=True)
class Run:
    """Run a request. ``timeout`` is how long the router waits for its answer."""

    txn: str
    query_class: str
    timeout: float
    body: bytes
    token: str | None = None
    memory_mb: float | None = None


@dataclass(frozen=True, slots=True)
class Stop:
    """Cancel a request."""

    txn: str


@dataclass(frozen=True, slots=True)
class Fetch:
    """Send another page of a result. Pages count from 0; the first is sent without being asked for."""

    txn: str
    page: int


@dataclass(frozen=True, slots=True)
class End:
    """Send no more pages of a result."""

    txn: str


@dataclass(frozen=True, slots=True)
class Hello:
    """A health check of the connection. The answer is ``ALIVE`` with the tag as its ``txn``."""

    tag: str


ToEngine = Union[Run, Stop, Fetch, End, Hello]


# --- from engines


class AnswerKind(Enum):
    """What an engine's answer says."""

    OK = "ok"
    FULL = "full"
    ERROR = "error"
    STALE = "stale"
    PAGE = "page"
    ALIVE = "alive"
    INVALID = "invalid"  # a well-formed frame with impossible contents


@dataclass(frozen=True, slots=True)
class EngineAnswer:
    """An answer. ``pages``, the number of pages of the result, comes with OK; ``page`` with PAGE."""

    txn: str
    kind: AnswerKind
    body: bytes = b""
    pages: int = 1
    page: int = 0
    report: dict[str, float] | None = None


# --- from the change log


@dataclass(frozen=True, slots=True)
class ChangeLogUpdate:
    """One event of the change log; without a ``change`` it is a keep-alive.

    ``addresses`` holds host and port by engine id.
    """

    seq: int
    change: EngineList | None = None
    addresses: dict[str, tuple[str, int]] | None = None


# --- from operators, at the admin endpoint


@dataclass(frozen=True, slots=True)
class Status:
    """Does this process accept clients?"""


@dataclass(frozen=True, slots=True)
class MaintenanceOn:
    """Disable an engine: it gets nothing new, whatever its state in the engine list."""

    engine: str


@dataclass(frozen=True, slots=True)
class MaintenanceOff:
    """Enable an engine that was disabled."""

    engine: str


@dataclass(frozen=True, slots=True)
class Standby:
    """Move clients to other routers; the process keeps running."""


@dataclass(frozen=True, slots=True)
class Active:
    """End the standby."""


@dataclass(frozen=True, slots=True)
class UnknownCall:
    """A line that is not a call."""


AdminCall = Union[Status, MaintenanceOn, MaintenanceOff, Standby, Active, UnknownCall]
