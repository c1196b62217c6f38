"""Vote messages, and the events and effects of ``Leases``."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Union

from grebeproxy.membership.model import View, Wake


class Token(NamedTuple):
    """A fencing token. Tokens are ordered, and no two holders of a lease have the same one."""

    ballot: int
    holder: str


class VoteKind(IntEnum):
    """What a vote message is for. The values are those on the wire."""

    REQUEST = 1  # vote for the sender under this ballot
    GRANT = 2  # the vote is given, from when the request arrived
    DENY = 3  # not under this ballot: the vote is promised, or the ballot is not above ``ballot``
    RELEASE = 4  # the sender does not need the vote any longer


@dataclass(frozen=True, slots=True)
class Vote:
    """One vote message.

    An answer repeats the ``request_number`` of its request, which tells it from answers to earlier requests.
    """

    kind: VoteKind
    lease: str
    ballot: int
    request_number: int = 0


# --- events


@dataclass(frozen=True, slots=True)
class VoteReceived:
    """A vote message arrived from a member, given by name and instance."""

    sender: str
    instance: int
    vote: Vote


@dataclass(frozen=True, slots=True)
class ViewUpdated:
    """There is a new view of the members.

    ``duplicate``: another process of this router's name was heard of.
    """

    view: View
    duplicate: bool = False


@dataclass(frozen=True, slots=True)
class LeaseWanted:
    """This router wants to hold a lease, or does not any longer."""

    lease: str
    wanted: bool = True


@dataclass(frozen=True, slots=True)
class TokenRejected:
    """Work under the lease was rejected where it takes effect, because ``token`` was seen there."""

    lease: str
    token: Token


@dataclass(frozen=True, slots=True)
class Woken:
    """The time requested with ``Wake`` has come."""


Event = Union[VoteReceived, ViewUpdated, LeaseWanted, TokenRejected, Woken]


# --- effects


@dataclass(frozen=True, slots=True)
class SendVote:
    """Send a vote message to a member."""

    to: str
    vote: Vote


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The lease is held under that token from now on, for as long as ``Leases.token`` returns it."""

    lease: str
    token: Token


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease is not held any longer."""

    lease: str


Effect = Union[SendVote, LeaseAcquired, LeaseLost, Wake]
