"""What goes into the store and what comes out of it: limits, events, effects and errors."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

from grebeproxy.errors import GrebeproxyError
from grebeproxy.replica.records import Delta, Digest


class PublishLimitError(GrebeproxyError, ValueError):
    """A value could not be published: the key or the record would exceed ``Limits``.

    Derives from ``ValueError`` as well, which callers caught before this class existed.
    """


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds and times, in bytes and seconds. They must be the same at all routers."""

    origins: int = 1024  # whose records are kept
    keys: int = 256  # of one origin
    value: int = 600  # bytes of one value
    record: int = 32 * 1024  # bytes of one origin's record
    exchange_interval: float = 0.5  # mean time between the exchanges that a router begins
    ttl: float = 15.0  # after which a record that was not refreshed expires


# --- events


@dataclass(frozen=True, slots=True)
class Members:
    """The names of the members that can be reached, without this router's own."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from a member."""

    sender: str
    message: Digest | Delta


@dataclass(frozen=True, slots=True)
class Woken:
    """The time is ``Store.next_at`` or later."""


# --- effects


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member."""

    to: str
    message: Digest | Delta


@dataclass(frozen=True, slots=True)
class Changed:
    """What an origin publishes has changed; an origin whose record expired publishes nothing."""

    origin: str


Event = Union[Members, MessageReceived, Woken]
Effect = Union[Send, Changed]
