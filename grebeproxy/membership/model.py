"""What routers send about each other, as plain values. Times are seconds on the local monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Union

from grebeproxy.errors import GrebeproxyError

Address = tuple[str, int]

MAX_NAME_BYTES = 32  # longest name, encoded, that the codec carries
MAX_SECONDS = 3600.0  # every configured time lies below this
MAX_HELPERS = 16  # members asked at most to ping a target on one's behalf


class MembershipError(GrebeproxyError):
    """Base class of the errors that the membership package raises on purpose."""


class InvalidSettingError(MembershipError, ValueError):
    """A setting of membership or leases that cannot be meant; the text names the field and its bounds.

    It is a ``ValueError`` too, so callers that catch that go on catching it.
    """


class State(IntEnum):
    """What is held of a member. The higher one counts where all else is equal."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Fact:
    """One statement on a member.

    ``instance`` tells processes of one name apart; only the member itself raises its ``incarnation``, to
    refute what others hold of it. ``by`` is who came to suspect it.
    """

    name: str
    address: Address
    instance: int
    incarnation: int
    state: State
    by: str = ""

    @property
    def rank(self) -> tuple[int, int, int]:
        """Of two facts on one name the one of higher rank counts, so merging is the same in any order."""
        return self.incarnation, self.instance, int(self.state)


class Kind(IntEnum):
    """What a message is for."""

    PING = 1  # are you there?
    ACK = 2  # yes, under the same number
    ASK = 3  # ping ``target`` for me
    NACK = 4  # I am there, but had no answer from it
    GOSSIP = 5  # only facts
    SYNC = 6  # my digest; if yours differs, send me all your facts, and your digest
    DIGEST = 7  # the answer's end: if yours still differs, send me all of yours


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram. ``sender`` is the fact of the one who sends it, with the address where it is reached."""

    kind: Kind
    sender: Fact
    number: int = 0
    target: str = ""
    digest: int = 0
    facts: tuple[Fact, ...] = ()


class Condition(Enum):
    """What a view allows; the order is that of what may be done."""

    ALONE = "alone"  # nobody else is known to be there, or this process has just woken
    MINORITY = "minority"  # half of the configured fleet or fewer, or this process distrusts itself
    QUORATE = "quorate"  # more than half of the configured fleet
    SETTLED = "settled"  # that, nobody suspected, and unchanged for some time


@dataclass(frozen=True, slots=True)
class View:
    """Who is there as seen from here. ``epoch`` grows with every change of the members or the condition."""

    epoch: int
    members: tuple[str, ...]  # names, sorted, this one among them
    condition: Condition
    since: float  # when the condition became what it is

    @property
    def quorate(self) -> bool:
        """More than half of the configured fleet is there."""
        return self.condition in (Condition.QUORATE, Condition.SETTLED)


# --- events


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message that came, checked by the codec."""

    message: Message


@dataclass(frozen=True, slots=True)
class Woken:
    """The time asked for with ``Wake`` has come."""


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This router is to end, and to send that it does."""


Event = Union[MessageReceived, Woken, LeaveRequested]


# --- effects


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Wake:
    """Send ``Woken`` at that time; replaces an earlier ``Wake``."""

    at: float


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """There is a new view."""

    view: View


@dataclass(frozen=True, slots=True)
class Notice:
    """Something that operators may want to know: what happened, and to which member."""

    event: str
    name: str


@dataclass(frozen=True, slots=True)
class Displaced:
    """Another process of this name is there and goes on; this one has to send nothing more."""


Effect = Union[Send, Wake, ViewChanged, Notice, Displaced]


@dataclass(frozen=True, slots=True)
class Config:
    """How one router takes part. Times in seconds.

    Raises ``InvalidSettingError`` (a ``ValueError``) naming the field where a value cannot be meant.
    """

    name: str
    address: Address  # where the others reach it
    fleet: int  # routers that are configured: more than half of these are a quorum
    seeds: tuple[Address, ...] = ()
    period: float = 0.5  # between probes
    timeout: float = 0.15  # for a direct answer
    helpers: int = 3  # that are asked to probe where it does not come
    settle: float = 3.0  # without change, until a view counts as settled

    def __post_init__(self) -> None:
        """Refuse what cannot be meant."""
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
