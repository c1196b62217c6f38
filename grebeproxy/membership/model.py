"""Facts, messages, views, events and effects of membership.

All times are seconds on the local monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, StrEnum
from typing import Union

from grebeproxy.errors import GrebeproxyError

Address = tuple[str, int]

MAX_NAME_BYTES = 32  # greatest length of a name in UTF-8
MAX_SECONDS = 3600.0  # upper bound of every configured time, exclusive
MAX_HELPERS = 16  # most members that may be sent a ping-req for one probe


class MembershipError(GrebeproxyError):
    """Base class of the errors that the membership package raises on purpose."""


class InvalidSettingError(MembershipError, ValueError):
    """A setting of membership or leases is out of its bounds; the text names the field and the bounds.

    The class also derives from ``ValueError``, so that callers may catch that class instead.
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
    ``incarnation``, to refute wrong facts about it. ``suspected_by`` names the member that suspects it.
    """

    name: str
    address: Address
    instance: int
    incarnation: int
    state: State
    suspected_by: str = ""

    @property
    def rank(self) -> tuple[int, int, int]:
        """The precedence of this fact. Of two facts about one member the fact of the higher rank wins.

        The result of merging facts therefore does not depend on their order.
        """
        return self.incarnation, self.instance, int(self.state)


class Kind(IntEnum):
    """The purpose of a message. The values are those on the wire."""

    PING = 1  # is answered with an ack of the same number
    ACK = 2  # answers a ping, or a ping-req whose target has answered
    PING_REQ = 3  # asks the receiver to ping ``target``
    NACK = 4  # answers a ping-req whose target has not answered in time
    GOSSIP = 5  # carries facts only
    SYNC = 6  # begins a full exchange; is answered with all facts and a DIGEST if ``digest`` differs
    DIGEST = 7  # ends the answer to a SYNC; is answered with all facts if ``digest`` still differs


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram. ``sender`` is the sender's fact about itself, which holds its address."""

    kind: Kind
    sender: Fact
    number: int = 0  # number of a ping or ping-req, which its answer repeats
    target: str = ""
    digest: int = 0
    facts: tuple[Fact, ...] = ()


class Condition(Enum):
    """How far a router may rely on its view, from least to most."""

    ALONE = "alone"  # no other member is known to run, or this process was paused and has not resumed yet
    # Half of the configured fleet or fewer are alive, or this process has a bad health score.
    MINORITY = "minority"
    QUORATE = "quorate"  # more than half of the configured fleet is alive
    SETTLED = "settled"  # quorate, with no member suspected and no change for ``Config.settle``


@dataclass(frozen=True, slots=True)
class View:
    """The members as this router sees them. ``epoch`` grows with each change of members or condition."""

    epoch: int
    members: tuple[str, ...]  # sorted names, including this router
    condition: Condition
    since: float  # time at which the condition last changed

    @property
    def quorate(self) -> bool:
        """Whether the condition is quorate or settled: more than half of the configured fleet is alive."""
        return self.condition in (Condition.QUORATE, Condition.SETTLED)


# --- events


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message has arrived, and the codec has accepted it."""

    message: Message


@dataclass(frozen=True, slots=True)
class Woken:
    """The time that a ``Wake`` effect requested has come."""


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This router shuts down and has to tell the other members."""


Event = Union[MessageReceived, Woken, LeaveRequested]


# --- effects


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to an address."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Wake:
    """Deliver ``Woken`` at the time ``at``. This replaces an earlier ``Wake``."""

    at: float


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The view has changed to ``view``."""

    view: View


class NoticeKind(StrEnum):
    """The kind of event that a notice reports. The values appear in the log."""

    JOINED = "joined"
    RESTARTED = "restarted"  # another process of the member's name has taken over
    LEFT = "left"
    FAILED = "failed"
    PAUSED = "paused"  # this process did not run for some time
    DISPLACED = "displaced"  # this process yields its name to another process


@dataclass(frozen=True, slots=True)
class Notice:
    """An event that operators see in the log, with the name of the member that it is about."""

    kind: NoticeKind
    name: str


@dataclass(frozen=True, slots=True)
class Displaced:
    """This process has yielded its name to another process, and must send nothing more."""


Effect = Union[Send, Wake, ViewChanged, Notice, Displaced]


@dataclass(frozen=True, slots=True)
class Config:
    """The settings of one router. Times are in seconds.

    Raises ``InvalidSettingError`` (a ``ValueError``), which names the field, if a value is out of its bounds.
    """

    name: str
    address: Address  # address at which the other routers reach this one
    fleet: int  # number of configured routers; more than half of them are a quorum
    seeds: tuple[Address, ...] = ()  # addresses of routers to contact in order to join
    period: float = 0.5  # seconds between two probes
    timeout: float = 0.15  # seconds to wait for the ack of a direct ping
    helpers: int = 3  # members that are sent a ping-req after the timeout
    settle: float = 3.0  # seconds without a change until a view counts as settled

    def __post_init__(self) -> None:
        """Check that all values are within their bounds."""
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
