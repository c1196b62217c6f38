"""The events that the router takes, and the effects that it asks for. They name no wire protocol."""

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
    """A client's message has begun and is not whole."""

    conn: int


@dataclass(frozen=True, slots=True)
class ClientMessageReceived:
    """A client's message, read whole."""

    conn: int
    message: FromClient


@dataclass(frozen=True, slots=True)
class ClientClosed:
    """A client's connection has ended."""

    conn: int


@dataclass(frozen=True, slots=True)
class LinkOpened:
    """A connection to an engine is up."""

    link: int


@dataclass(frozen=True, slots=True)
class LinkClosed:
    """A connection to an engine has ended, or could not be made.

    ``local_shortage`` where that was for want of something on this machine.
    """

    link: int
    local_shortage: bool = False


@dataclass(frozen=True, slots=True)
class LinkPaused:
    """What was written last is not sent whole yet: nothing more may be written."""

    link: int


@dataclass(frozen=True, slots=True)
class LinkResumed:
    """All that was written is sent."""

    link: int


@dataclass(frozen=True, slots=True)
class LinkAnswerReceived:
    """An engine's answer, read whole."""

    link: int
    answer: EngineAnswer


@dataclass(frozen=True, slots=True)
class LinkAnswerStarted:
    """An engine's answer has begun and is not whole."""

    link: int


@dataclass(frozen=True, slots=True)
class ChangeLogOpened:
    """The connection to the change log is up, and asked for what is new; ``dial`` as in ``OpenChangeLog``."""

    dial: int


@dataclass(frozen=True, slots=True)
class ChangeLogReceived:
    """An event of the change log."""

    update: ChangeLogUpdate


@dataclass(frozen=True, slots=True)
class ChangeLogClosed:
    """The connection to the change log, made for ``OpenChangeLog``, has ended or could not be made."""

    reason: str
    dial: int


@dataclass(frozen=True, slots=True)
class Woken:
    """The time asked for with ``Wake`` has come, and what came on sockets until then has been reported."""


@dataclass(frozen=True, slots=True)
class AdminOpened:
    """An operator has connected."""

    conn: int


@dataclass(frozen=True, slots=True)
class AdminCallReceived:
    """An operator's call."""

    conn: int
    call: AdminCall


@dataclass(frozen=True, slots=True)
class AdminClosed:
    """An operator's connection has ended."""

    conn: int


@dataclass(frozen=True, slots=True)
class OverridesRead:
    """The manual overrides that another process of this router has written."""

    calls: Calls


@dataclass(frozen=True, slots=True)
class Reloaded:
    """The configuration was read again: where the change log is, and what holds, from now on."""

    changelog: Address
    settings: Settings
    limits: WireLimits


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The router is to finish what it has and end."""


ClientEvent = Union[ClientOpened, ClientMessageStarted, ClientMessageReceived, ClientClosed]
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
class Answer:
    """Write to a client."""

    conn: int
    message: ToClient


@dataclass(frozen=True, slots=True)
class CloseClient:
    """End a client's connection behind what was written. No ``ClientClosed`` follows."""

    conn: int


@dataclass(frozen=True, slots=True)
class HalfCloseClient:
    """End the router's side of a client's connection; ``ClientClosed`` follows."""

    conn: int


@dataclass(frozen=True, slots=True)
class AnswerAdmin:
    """Answer an operator's call and end the connection."""

    conn: int
    done: bool
    text: str


@dataclass(frozen=True, slots=True)
class CloseAdmin:
    """End an operator's connection with no answer."""

    conn: int


@dataclass(frozen=True, slots=True)
class SaveOverrides:
    """Write the manual overrides for this router's other processes."""

    calls: Calls


@dataclass(frozen=True, slots=True)
class OpenLink:
    """Connect to an engine."""

    link: int
    address: Address


@dataclass(frozen=True, slots=True)
class Write:
    """Write to an engine."""

    link: int
    commands: tuple[ToEngine, ...]


@dataclass(frozen=True, slots=True)
class CloseLink:
    """End a connection to an engine, or give up making it. No ``LinkClosed`` follows."""

    link: int


@dataclass(frozen=True, slots=True)
class OpenChangeLog:
    """Connect to the change log, ending an earlier connection, and ask for what came after an event.

    ``dial`` is its number: what an earlier connection still reports says nothing of this one.
    """

    address: Address
    seq: int
    dial: int


@dataclass(frozen=True, slots=True)
class Wake:
    """Send ``Woken`` at that time; replaces an earlier ``Wake``."""

    at: float


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class StartListening:
    """Take connections from now on."""


@dataclass(frozen=True, slots=True)
class StopListening:
    """Take no more connections."""


@dataclass(frozen=True, slots=True)
class Exit:
    """All is answered: end the program once what was written is sent."""


Effect = Union[
    Answer,
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
