"""Facts, messages, views, events and effects of membership.

All times are seconds on the local monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, StrEnum
from typing import Union

from grebeproxy.errors import GrebeproxyError

Address = tuple[str, int]

MAX_NAME_BYTES = 32  # longest name, encoded, that the codec carries
MAX_SECONDS = 3600.0  # every configured time lies below this
MAX_HELPERS = 16  # members that are sent a ping-req for one probe, at most


class MembershipError(GrebeproxyError):
    """Base class of the errors that the membership package raises on purpose."""


class InvalidSettingError(MembershipError, ValueError):
    """A setting of membership or leases is out of its bounds; the text names the field and the bounds.

    It derives from ``ValueError`` too, for callers that catch that.
    """


class State(IntEnum):
    """The state of a member. Of two facts that are otherwise equal the one of the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Fact:
    """A statement about one member.

    ``instance`` is a random number that tells processes of one name apart. Only the member itself raises its
    ``incarnation``, to refute what others hold of it. ``suspected_by`` names the member that suspects it.
    """

    name: str
    address: Address
    instance: int
    incarnation: int
    state: State
    suspected_by: str = ""

    @property
    def rank(self) -> tuple[int, int, int]:
        """Of two facts on one name the one of higher rank wins, so the order of merging does not matter."""
        return self.incarnation, self.instance, int(self.state)


class Kind(IntEnum):
    """What a message is for. The values are those on the wire."""

    PING = 1  # to be answered with an ack of the same number
    ACK = 2  # answers a ping, or a ping-req whose target answered
    PING_REQ = 3  # requests a ping of ``target``
    NACK = 4  # answers a ping-req whose target did not answer
    GOSSIP = 5  # carries facts alone
    SYNC = 6  # begins a full exchange: answered with all facts and a digest if ``digest`` differs
    DIGEST = 7  # ends that answer: answered with all facts if ``digest`` still differs


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram. ``sender`` is the sender's fact about itself, with the address at which it is reached."""

    kind: Kind
    sender: Fact
    number: int = 0  # tells to which ping or ping-req an answer belongs
    target: str = ""
    digest: int = 0
    facts: tuple[Fact, ...] = ()


class Condition(Enum):
    """How far a view may be acted on, from least to most."""

    ALONE = "alone"  # no other member is known to run, or this process was paused just now
    MINORITY = "minority"  # half of the configured fleet or fewer, or a bad health score
    QUORATE = "quorate"  # more than half of the configured fleet
    SETTLED = "settled"  # quorate, with nobody suspected and no change for ``Config.settle``


@dataclass(frozen=True, slots=True)
class View:
    """The members as seen from here. ``epoch`` grows with each change of the members or the condition."""

    epoch: int
    members: tuple[str, ...]  # sorted names, this router's included
    condition: Condition
    since: float  # when the condition last changed

    @property
    def quorate(self) -> bool:
        """Whether more than half of the configured fleet takes part."""
        return self.condition in (Condition.QUORATE, Condition.SETTLED)


# --- events


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message arrived and was checked by the codec."""

    message: Message


@dataclass(frozen=True, slots=True)
class Woken:
    """The time requested with ``Wake`` has come."""


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This router shuts down and is to tell the others."""


Event = Union[MessageReceived, Woken, LeaveRequested]


# --- effects


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Wake:
    """Deliver ``Woken`` at that time. Replaces an earlier ``Wake``."""

    at: float


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """There is a new view."""

    view: View


class NoticeKind(StrEnum):
    """What happened to a member. The values appear in the log."""

    JOINED = "joined"
    RESTARTED = "restarted"  # another process of the name took over
    LEFT = "left"
    FAILED = "failed"
    PAUSED = "paused"  # this process did not run for some seconds
    DISPLACED = "displaced"  # this process yields its name to another one


@dataclass(frozen=True, slots=True)
class Notice:
    """An event for the operators, and the member that it is about."""

    kind: NoticeKind
    name: str


@dataclass(frozen=True, slots=True)
class Displaced:
    """Another process of this router's name goes on instead: this one must send nothing more."""


Effect = Union[Send, Wake, ViewChanged, Notice, Displaced]


@dataclass(frozen=True, slots=True)
class Config:
    """The settings of one router. Times are in seconds.

    Raises ``InvalidSettingError`` (a ``ValueError``), which names the field, for a value out of its bounds.
    """

    name: str
    address: Address  # at which the others reach it
    fleet: int  # configured routers: more than half of them are a quorum
    seeds: tuple[Address, ...] = ()
    period: float = 0.5  # between probes
    timeout: float = 0.15  # of a direct ping
    helpers: int = 3  # members that are sent a ping-req after that timeout
    settle: float = 3.0  # without a change until a view counts as settled

    def __post_init__(self) -> None:
        """Check all bounds."""
        if not 1 <= len(self.name.encode()) <= MAX_NAME_BYTES:
            raise InvalidSettingError(f"name: must have 1 to {MAX_NAME_BYTES} bytes")
        if self.fleet < 1:
            raise InvalidSettingError("fleet: must be 1 or more")
        for field in ("period", "timeout", "settle"):
            if not 0.0 < getattr(self, field) < MAX_SECONDS:
                raise InvalidSettingError(f"{field}: must be above 0 and below {MAX_SECONDS:.0f}")
        if self.timeout >= self.period:
            raise InvalidSettingError("timeout: must be below period")
        if not 0 <= self.helpers <= MAX_HELPERS:
            raise InvalidSettingError(f"helpers: must be 0 to {MAX_HELPERS}")
