"""Leases on tasks that only one router may do, granted by a majority of the configured fleet.

A candidate requests the votes of all members under a ballot. A voter that grants its vote promises to
vote for nobody else until the lease's length has passed on the voter's own clock. The holder counts the
lease's length, shortened by the fraction ``MAX_CLOCK_DRIFT``, from the time at which it sent its requests.
Its lease therefore ends before any of its voters may vote for another router, however long the messages took.

The ballot and the holder's name form the fencing token. Any two majorities share a voter, and a voter grants
no ballot below one that it has promised, so each holder has a higher token than the holder before it. A
holder whose renewals are denied because of a higher ballot renews with a ballot above that one, so its token
may grow while it holds the lease.

Two assumptions must hold. The clocks of two routers differ in rate by less than ``MAX_CLOCK_DRIFT``. Each
name runs as one process, or duplicate processes of a name hear of each other before either votes. Nothing is
stored across a restart: a voter that starts, or that learns of a duplicate of itself, does not vote until
every promise that another process of its name may have given has expired.

A router calls ``Leases.step(now, events)``, which returns effects and does no I/O. The receiver of the work
that a lease protects checks each fencing token with a ``Fence``.
"""

from grebeproxy.membership.lease.candidate import RENEW_FRACTION, RETRY_FRACTION, Claim
from grebeproxy.membership.lease.config import MAX_BALLOT, MAX_CLOCK_DRIFT, MAX_LEASES, LeaseConfig
from grebeproxy.membership.lease.fence import Fence
from grebeproxy.membership.lease.leases import Leases
from grebeproxy.membership.lease.messages import (
    Effect,
    Event,
    LeaseAcquired,
    LeaseLost,
    LeaseWanted,
    SendVote,
    Token,
    TokenRejected,
    ViewUpdated,
    Vote,
    VoteKind,
    VoteReceived,
    Woken,
)
from grebeproxy.membership.lease.voter import Promise

__all__ = [
    "MAX_BALLOT",
    "MAX_CLOCK_DRIFT",
    "MAX_LEASES",
    "RENEW_FRACTION",
    "RETRY_FRACTION",
    "Claim",
    "Effect",
    "Event",
    "Fence",
    "LeaseAcquired",
    "LeaseConfig",
    "LeaseLost",
    "LeaseWanted",
    "Leases",
    "Promise",
    "SendVote",
    "Token",
    "TokenRejected",
    "ViewUpdated",
    "Vote",
    "VoteKind",
    "VoteReceived",
    "Woken",
]
