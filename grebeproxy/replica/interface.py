"""The interface of the replica store: its limits, events, effects and errors."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

from grebeproxy.errors import GrebeproxyError
from grebeproxy.replica.records import Delta, Digest


class PublishLimitError(GrebeproxyError, ValueError):
    """A value could not be published, because the key or the record would exceed ``Limits``.

    The class also derives from ``ValueError``, which callers caught before this class existed.
    """


@dataclass(frozen=True, slots=True)
class Limits:
    """Size limits in bytes and times in seconds. They must be the same at all routers."""

    origins: int = 1024  # number of origins whose records are kept
    keys: int = 256  # number of keys of one origin
    value: int = 600  # bytes of one value
    record: int = 32 * 1024  # bytes of one origin's record
    exchange_interval: float = 0.5  # mean seconds between two exchanges that a router begins
    ttl: float = 15.0  # seconds until a record that is not refreshed expires


# --- Events


@dataclass(frozen=True, slots=True)
class ReachableMembers:
    """The names of the members that this router can reach, without its own name."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from a member."""

    sender: str
    message: Digest | Delta


@dataclass(frozen=True, slots=True)
class Woken:
    """The time ``Store.next_wake_at`` has come."""


# --- Effects


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member."""

    to: str
    message: Digest | Delta


@dataclass(frozen=True, slots=True)
class OriginChanged:
    """The values that an origin publishes have changed; after its record expires there are none."""

    origin: str


Event = Union[ReachableMembers, MessageReceived, Woken]
Effect = Union[Send, OriginChanged]
