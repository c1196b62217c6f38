"""Vote messages, and the events and effects of ``Leases``."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Union

from grebeproxy.membership.model import View, Wake


class Token(NamedTuple):
    """A fencing token. Tokens are ordered by ballot and then holder, and no two holders have the same one."""

    ballot: int
    holder: str


class VoteKind(IntEnum):
    """What a vote message is for. The values are those on the wire."""

    REQUEST = 1  # asks the receiver to vote for the sender under this ballot
    GRANT = 2  # gives the vote, from the time at which the request arrived
    DENY = 3  # refuses the vote: it is promised already, or the request does not exceed ``ballot``
    RELEASE = 4  # returns a vote that the sender does not need any longer


@dataclass(frozen=True, slots=True)
class Vote:
    """One vote message.

    An answer repeats the ``request_number`` of its request, so that the candidate can tell it from answers to
    earlier requests.
    """

    kind: VoteKind
    lease: str
    ballot: int
    request_number: int = 0


# --- events


@dataclass(frozen=True, slots=True)
class VoteReceived:
    """A vote message arrived from the process ``instance`` of the member ``sender``."""

    sender: str
    instance: int
    vote: Vote


@dataclass(frozen=True, slots=True)
class ViewUpdated:
    """The view of the members has changed.

    ``duplicate`` tells whether this router has heard of another process of its own name.
    """

    view: View
    duplicate: bool = False


@dataclass(frozen=True, slots=True)
class LeaseWanted:
    """This router wants to hold a lease, or does not want it any longer."""

    lease: str
    wanted: bool = True


@dataclass(frozen=True, slots=True)
class TokenRejected:
    """The receiver of work under the lease rejected it, because it has seen the higher ``token``."""

    lease: str
    token: Token


@dataclass(frozen=True, slots=True)
class Woken:
    """The time that a ``Wake`` effect requested has come."""


Event = Union[VoteReceived, ViewUpdated, LeaseWanted, TokenRejected, Woken]


# --- effects


@dataclass(frozen=True, slots=True)
class SendVote:
    """Send a vote message to a member."""

    to: str
    vote: Vote


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This router holds the lease under that token for as long as ``Leases.token`` returns a token."""

    lease: str
    token: Token


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This router does not hold the lease any longer."""

    lease: str


Effect = Union[SendVote, LeaseAcquired, LeaseLost, Wake]
