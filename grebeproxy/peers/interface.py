"""What goes into the node and what comes out of it: events and effects, as plain values."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Union

from grebeproxy.membership.lease import Token
from grebeproxy.membership.model import Address

# --- events


@dataclass(frozen=True, slots=True)
class PayloadReceived:
    """The payload of a datagram, opened but not checked."""

    payload: Any


@dataclass(frozen=True, slots=True)
class Tick:
    """The time requested with ``Wake`` has come."""


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """This router is shutting down."""


@dataclass(frozen=True, slots=True)
class DutyRejected:
    """The receiver of a duty's report rejected it: it has seen a higher fencing token."""

    duty: str
    token: Token


Event = Union[PayloadReceived, Tick, ShutdownRequested, DutyRejected]


# --- effects


@dataclass(frozen=True, slots=True)
class Datagram:
    """Send a payload."""

    to: Address
    payload: Any


@dataclass(frozen=True, slots=True)
class Wake:
    """Send ``Tick`` at that time; replaces an earlier ``Wake``."""

    at: float


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a structured event, named ``peers.subject.event``, to the log."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()


@dataclass(frozen=True, slots=True)
class StartDuty:
    """This router is the holder of a duty's lease from now on; it checks ``Node.token`` before each act."""

    duty: str


@dataclass(frozen=True, slots=True)
class StopDuty:
    """This router no longer holds the duty's lease."""

    duty: str


Effect = Union[Datagram, Wake, LogEvent, StartDuty, StopDuty]


def log_event(event: str, /, **fields: object) -> LogEvent:
    """A log event with its fields in the order given."""
    return LogEvent(event, tuple(fields.items()))
