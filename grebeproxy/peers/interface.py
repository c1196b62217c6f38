"""The interface of the node: its events and effects, as plain values."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Union

from grebeproxy.membership.lease import Token
from grebeproxy.membership.model import Address

# --- Events


@dataclass(frozen=True, slots=True)
class PayloadReceived:
    """A payload was received in a datagram; its packet is verified, its fields are not."""

    payload: Any


@dataclass(frozen=True, slots=True)
class Tick:
    """The time that ``Wake`` requested has come."""


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """This router is shutting down."""


@dataclass(frozen=True, slots=True)
class DutyRejected:
    """The receiver of a duty's report rejected it because it has seen a higher fencing token, ``token``."""

    duty: str
    token: Token


Event = Union[PayloadReceived, Tick, ShutdownRequested, DutyRejected]


# --- Effects


@dataclass(frozen=True, slots=True)
class Datagram:
    """Send a payload to an address."""

    to: Address
    payload: Any


@dataclass(frozen=True, slots=True)
class Wake:
    """Deliver a ``Tick`` at a time in seconds; replaces an earlier ``Wake``."""

    at: float


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a structured event, named ``peers.subject.event``, to the log."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()


@dataclass(frozen=True, slots=True)
class StartDuty:
    """This router has acquired a duty's lease; it must check ``Node.token`` before each report."""

    duty: str


@dataclass(frozen=True, slots=True)
class StopDuty:
    """This router no longer holds a duty's lease."""

    duty: str


Effect = Union[Datagram, Wake, LogEvent, StartDuty, StopDuty]


def log_event(event: str, /, **fields: object) -> LogEvent:
    """A log event with its fields in the order given."""
    return LogEvent(event, tuple(fields.items()))
