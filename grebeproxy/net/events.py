"""The events that the router takes and the effects that it returns, independent of the wire protocols.

``conn`` is the number of a client's or an operator's connection. ``link`` is the number of a connection to an
engine. Times are in seconds, on the clock whose time is passed to each step of the router.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

from grebeproxy.net.manual_overrides import Calls
from grebeproxy.net.messages import AdminCall, EngineAnswer, FromClient, ChangeLogUpdate, ToClient, ToEngine
from grebeproxy.policy.interface import Settings
from grebeproxy.settings import WireLimits

Address = tuple[str, int]


# --- events


@dataclass(frozen=True, slots=True)
class ClientOpened:
    """A client has connected."""

    conn: int


@dataclass(frozen=True, slots=True)
class ClientMessageStarted:
    """Some bytes of a client's message were received, but not the whole message."""

    conn: int


@dataclass(frozen=True, slots=True)
class ClientInputQueued:
    """A client's bytes were received and wait to be decoded, because the input of others comes first."""

    conn: int


@dataclass(frozen=True, slots=True)
class ClientMessageReceived:
    """A client's message was received in full.

    ``received_at`` is the time at which the message's last byte was read; ``None`` means the time of the
    step. ``may_have_left`` says that the message has waited, and that the client's disconnect may be unread
    behind it.
    """

    conn: int
    message: FromClient
    received_at: float | None = None
    may_have_left: bool = False


@dataclass(frozen=True, slots=True)
class ClientUnreadable:
    """Nothing more is read from a client, whose connection is still open and can be written to."""

    conn: int
    reason: str


@dataclass(frozen=True, slots=True)
class ClientClosed:
    """A client's connection has ended."""

    conn: int


@dataclass(frozen=True, slots=True)
class LinkOpened:
    """A connection to an engine was established."""

    link: int


@dataclass(frozen=True, slots=True)
class LinkClosed:
    """A connection to an engine has ended, or could not be opened.

    ``local_shortage`` says that it could not be opened because this machine ran out of a resource, such as
    file descriptors.
    """

    link: int
    local_shortage: bool = False


@dataclass(frozen=True, slots=True)
class LinkPaused:
    """Part of the last write to an engine is still unsent, so nothing more may be written to it."""

    link: int


@dataclass(frozen=True, slots=True)
class LinkResumed:
    """Everything that was written to an engine has been sent, so more may be written."""

    link: int


@dataclass(frozen=True, slots=True)
class LinkAnswerReceived:
    """An engine's answer was received in full."""

    link: int
    answer: EngineAnswer


@dataclass(frozen=True, slots=True)
class LinkAnswerStarted:
    """Some bytes of an engine's answer were received, but not the whole answer."""

    link: int


@dataclass(frozen=True, slots=True)
class ChangeLogOpened:
    """The connection to the change log was established and has sent its request.

    ``dial`` is the number that ``OpenChangeLog`` gave the connection.
    """

    dial: int


@dataclass(frozen=True, slots=True)
class ChangeLogReceived:
    """An event of the change log was received."""

    update: ChangeLogUpdate


@dataclass(frozen=True, slots=True)
class ChangeLogClosed:
    """The connection that ``OpenChangeLog`` asked for has ended, or could not be opened.

    ``dial`` is the number that ``OpenChangeLog`` gave the connection.
    """

    reason: str
    dial: int


@dataclass(frozen=True, slots=True)
class Woken:
    """The time of the last ``Wake`` has come, and all input received by that time has been reported."""


@dataclass(frozen=True, slots=True)
class AdminOpened:
    """An operator has connected."""

    conn: int


@dataclass(frozen=True, slots=True)
class AdminCallReceived:
    """An operator's call was received."""

    conn: int
    call: AdminCall


@dataclass(frozen=True, slots=True)
class AdminClosed:
    """An operator's connection has ended."""

    conn: int


@dataclass(frozen=True, slots=True)
class OverridesRead:
    """Another process of this router has written its manual overrides."""

    calls: Calls


@dataclass(frozen=True, slots=True)
class Reloaded:
    """The configuration was read again. The fields are the parts of it that take effect without a restart."""

    changelog: Address
    settings: Settings
    limits: WireLimits


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process is to shut down gracefully.

    ``requested_at`` is the earliest time at which the shutdown may have been requested; ``None`` means the
    time of the step.
    """

    requested_at: float | None = None


ClientEvent = Union[
    ClientOpened,
    ClientInputQueued,
    ClientMessageStarted,
    ClientMessageReceived,
    ClientUnreadable,
    ClientClosed,
]
LinkEvent = Union[LinkOpened, LinkClosed, LinkPaused, LinkResumed, LinkAnswerReceived, LinkAnswerStarted]
AdminEvent = Union[AdminOpened, AdminCallReceived, AdminClosed]
ChangeLogEvent = Union[ChangeLogOpened, ChangeLogReceived, ChangeLogClosed]
Event = Union[
    ClientEvent,
    LinkEvent,
    ChangeLogEvent,
    AdminEvent,
    OverridesRead,
    Woken,
    Reloaded,
    StopRequested,
]


# --- effects


@dataclass(frozen=True, slots=True)
class AnswerClient:
    """Send a message to a client."""

    conn: int
    message: ToClient


@dataclass(frozen=True, slots=True)
class CloseClient:
    """Close a client's connection once everything written to it is sent. No ``ClientClosed`` follows."""

    conn: int


@dataclass(frozen=True, slots=True)
class HalfCloseClient:
    """Close the router's side of a client's connection. ``ClientClosed`` follows when the connection ends."""

    conn: int


@dataclass(frozen=True, slots=True)
class AnswerAdmin:
    """Answer an operator's call and close the connection."""

    conn: int
    done: bool
    text: str


@dataclass(frozen=True, slots=True)
class CloseAdmin:
    """Close an operator's connection without an answer."""

    conn: int


@dataclass(frozen=True, slots=True)
class SaveOverrides:
    """Write the manual overrides for this router's other processes."""

    calls: Calls


@dataclass(frozen=True, slots=True)
class OpenLink:
    """Open a connection to an engine."""

    link: int
    address: Address


@dataclass(frozen=True, slots=True)
class Write:
    """Write commands to an engine, in order."""

    link: int
    commands: tuple[ToEngine, ...]


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a connection to an engine, or cancel opening it. No ``LinkClosed`` follows."""

    link: int


@dataclass(frozen=True, slots=True)
class OpenChangeLog:
    """Connect to the change log, closing any earlier connection, and request the events after ``seq``.

    ``dial`` is the connection's number. The events that report on the connection carry it, so that a late
    event of an earlier connection can be recognized.
    """

    address: Address
    seq: int
    dial: int


@dataclass(frozen=True, slots=True)
class Wake:
    """Send ``Woken`` at the time ``at``. This replaces any earlier ``Wake``."""

    at: float


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a line to the log. ``limited`` is set for lines that peers can cause at any rate."""

    text: str
    limited: bool = False


@dataclass(frozen=True, slots=True)
class StartListening:
    """Accept clients' connections from now on."""


@dataclass(frozen=True, slots=True)
class StopListening:
    """Accept no more clients' connections."""


@dataclass(frozen=True, slots=True)
class Exit:
    """Exit once everything that was written is sent."""


Effect = Union[
    AnswerClient,
    CloseClient,
    HalfCloseClient,
    AnswerAdmin,
    CloseAdmin,
    SaveOverrides,
    OpenLink,
    Write,
    CloseLink,
    OpenChangeLog,
    Wake,
    LogLine,
    StartListening,
    StopListening,
    Exit,
]
