"""The typed messages that codecs decode to and encode from. They are independent of the wire protocols.

Times are in seconds. ``message_id`` is the id that a client gives a request, unique on the client's
connection. ``txn`` is the request's transaction id, which is sent to engines and is unique across all
clients.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Union

from grebeproxy.errors import GrebeproxyError
from grebeproxy.policy.interface import EngineList


class BadFrameError(GrebeproxyError):
    """Received bytes violate the protocol. The rest of the same stream cannot be decoded."""


# --- from clients


@dataclass(frozen=True, slots=True)
class Call:
    """A request to run a statement. ``timeout`` is how long the client waits after sending the request."""

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
    """A request that cannot be run, and the name of the field that is invalid."""

    message_id: int
    field: str


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """The client cancels a request and no longer waits for its answer."""

    message_id: int


@dataclass(frozen=True, slots=True)
class Ping:
    """A health check that asks whether this router accepts requests."""

    message_id: int


FromClient = Union[Call, InvalidRequest, CancelRequest, Ping]


# --- to clients


@dataclass(frozen=True, slots=True)
class Served:
    """The request was served. ``pages`` are the pages of the result, in order, as the engine sent them."""

    message_id: int
    pages: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request was not served. A retry is harmless, best after ``retry_after`` seconds, if given."""

    message_id: int
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """The request was not served, but its statement may have run. ``field`` names an invalid field."""

    message_id: int
    field: str | None = None


@dataclass(frozen=True, slots=True)
class Pong:
    """The answer to a ``Ping``. ``serving`` says whether this router accepts requests."""

    message_id: int
    serving: bool


ToClient = Union[Served, Rejected, Failed, Pong]


# --- to engines


@dataclass(frozen=True, slots=True)
class Run:
    """Run a request. ``timeout`` is how long the router waits for the engine's answer."""

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
    """Send another page of a result. Pages count from 0, and an engine sends page 0 without being asked."""

    txn: str
    page: int


@dataclass(frozen=True, slots=True)
class End:
    """Send no more pages of a result."""

    txn: str


@dataclass(frozen=True, slots=True)
class Hello:
    """A health check of a connection. The engine answers with ``ALIVE`` and with the tag as ``txn``."""

    tag: str


ToEngine = Union[Run, Stop, Fetch, End, Hello]


# --- from engines


class AnswerKind(Enum):
    """The kinds of answers that an engine sends."""

    OK = "ok"
    FULL = "full"
    ERROR = "error"
    STALE = "stale"
    PAGE = "page"
    ALIVE = "alive"
    INVALID = "invalid"  # a well-formed frame with impossible contents


@dataclass(frozen=True, slots=True)
class EngineAnswer:
    """An engine's answer. ``pages``, the number of pages of the result, comes with OK; ``page`` with PAGE."""

    txn: str
    kind: AnswerKind
    body: bytes = b""
    pages: int = 1
    page: int = 0
    report: dict[str, float] | None = None


# --- from the change log


@dataclass(frozen=True, slots=True)
class ChangeLogUpdate:
    """One event of the change log. An event without a ``change`` is a keep-alive.

    ``addresses`` maps each engine id in the change to the engine's host and port.
    """

    seq: int
    change: EngineList | None = None
    addresses: dict[str, tuple[str, int]] | None = None


# --- from operators, at the admin endpoint


@dataclass(frozen=True, slots=True)
class Status:
    """Ask whether this process accepts clients."""


@dataclass(frozen=True, slots=True)
class MaintenanceOn:
    """Disable an engine: no new requests are sent to it, whatever its state in the engine list."""

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
    """End the standby and accept clients again."""


@dataclass(frozen=True, slots=True)
class UnknownCall:
    """A line that is not a valid call."""


AdminCall = Union[Status, MaintenanceOn, MaintenanceOff, Standby, Active, UnknownCall]
