"""What the router's reducer is told, and the effects that it asks for. They name no wire."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

from grebeproxy.net.hands import Calls
from grebeproxy.net.messages import DoorCall, EngineAnswer, FromClient, News, ToClient, ToEngine
from grebeproxy.policy.interface import Settings
from grebeproxy.settings import WireLimits

Address = tuple[str, int]


# --- events


@dataclass(frozen=True, slots=True)
class ClientOpened:
    """A client has connected."""

    conn: int


@dataclass(frozen=True, slots=True)
class ClientBegun:
    """A client's message has begun and is not whole."""

    conn: int


@dataclass(frozen=True, slots=True)
class ClientSaid:
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
    """A connection to an engine has ended or could not be made; ``ours`` if this machine lacked something."""

    link: int
    ours: bool = False


@dataclass(frozen=True, slots=True)
class LinkPaused:
    """What was written last is not sent whole yet: nothing more may be written."""

    link: int


@dataclass(frozen=True, slots=True)
class LinkResumed:
    """All that was written is sent."""

    link: int


@dataclass(frozen=True, slots=True)
class LinkSaid:
    """An engine's answer, read whole."""

    link: int
    answer: EngineAnswer


@dataclass(frozen=True, slots=True)
class LinkBegun:
    """An engine's answer has begun and is not whole."""

    link: int


@dataclass(frozen=True, slots=True)
class LogOpened:
    """The connection to the change log is up, and asked for what is new; ``dial`` as in ``OpenLog``."""

    dial: int


@dataclass(frozen=True, slots=True)
class LogSaid:
    """An event of the change log."""

    news: News


@dataclass(frozen=True, slots=True)
class LogClosed:
    """The connection to the change log, as told by ``OpenLog``, has ended or could not be made."""

    reason: str
    dial: int


@dataclass(frozen=True, slots=True)
class Woken:
    """The time asked for with ``Wake`` has come, and all that came on sockets until then has been told."""


@dataclass(frozen=True, slots=True)
class DoorOpened:
    """An operator has connected."""

    conn: int


@dataclass(frozen=True, slots=True)
class DoorSaid:
    """An operator's call."""

    conn: int
    call: DoorCall


@dataclass(frozen=True, slots=True)
class DoorClosed:
    """An operator's connection has ended."""

    conn: int


@dataclass(frozen=True, slots=True)
class HandsRead:
    """What the processes of this router have put down of engines taken out by hand."""

    calls: Calls


@dataclass(frozen=True, slots=True)
class Reloaded:
    """The configuration was read again: where the change log is, and what holds, from now on."""

    changelog: Address
    settings: Settings
    limits: WireLimits


@dataclass(frozen=True, slots=True)
class StopAsked:
    """The router is to finish what it has and end."""


LinkEvent = Union[LinkOpened, LinkClosed, LinkPaused, LinkResumed, LinkSaid, LinkBegun]
DoorEvent = Union[DoorOpened, DoorSaid, DoorClosed]
LogEvent = Union[LogOpened, LogSaid, LogClosed]
Event = Union[
    ClientOpened,
    ClientBegun,
    ClientSaid,
    ClientClosed,
    LinkEvent,
    LogEvent,
    DoorEvent,
    HandsRead,
    Woken,
    Reloaded,
    StopAsked,
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
class PartClient:
    """Tell a client that nothing more comes on its connection; ``ClientClosed`` follows."""

    conn: int


@dataclass(frozen=True, slots=True)
class AnswerDoor:
    """Answer an operator's call and end the connection."""

    conn: int
    done: bool
    text: str


@dataclass(frozen=True, slots=True)
class CloseDoor:
    """End an operator's connection with no answer."""

    conn: int


@dataclass(frozen=True, slots=True)
class SaveHands:
    """Put down what is known of engines taken out by hand, for this router's other processes."""

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
class OpenLog:
    """Connect to the change log, ending an earlier connection, and ask for what came after an event.

    ``dial`` is its number: what an earlier connection still tells of itself says nothing of this one.
    """

    address: Address
    seq: int
    dial: int


@dataclass(frozen=True, slots=True)
class Wake:
    """Send ``Woken`` at that time; replaces an earlier ``Wake``."""

    at: float


@dataclass(frozen=True, slots=True)
class Note:
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
    PartClient,
    AnswerDoor,
    CloseDoor,
    SaveHands,
    OpenLink,
    Write,
    CloseLink,
    OpenLog,
    Wake,
    Note,
    StartListening,
    StopListening,
    Exit,
]
