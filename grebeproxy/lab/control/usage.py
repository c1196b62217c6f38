"""What one simulated router has used, by kind of traffic."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, fields
from enum import Enum

from grebeproxy.peers.node import DELTA, DIGEST, MEMBER, VOTE


class Traffic(Enum):
    """The part of the control code that a datagram belongs to."""

    MEMBERSHIP = "membership"
    LEASE = "lease"
    REPLICA = "replica"


TRAFFIC_OF_PAYLOAD = {
    MEMBER: Traffic.MEMBERSHIP,
    VOTE: Traffic.LEASE,
    DIGEST: Traffic.REPLICA,
    DELTA: Traffic.REPLICA,
}


@dataclass(slots=True)
class Usage:
    """Counters since a router's start. Bytes are those of sealed packets, without headers of UDP and IP."""

    packets_sent: int = 0
    bytes_sent: int = 0
    packets_received: int = 0
    bytes_received: int = 0
    cpu_ns: int = 0

    def __add__(self, other: Usage) -> Usage:
        """The sum of each counter."""
        return Usage(*(getattr(self, name) + getattr(other, name) for name in COUNTERS))

    def __sub__(self, earlier: Usage) -> Usage:
        """What was used since an earlier reading."""
        return Usage(*(getattr(self, name) - getattr(earlier, name) for name in COUNTERS))


COUNTERS = tuple(counter.name for counter in fields(Usage))


@dataclass(slots=True)
class Account:
    """One router's usage, a counter set for each kind of traffic."""

    by_traffic: dict[Traffic, Usage] = field(default_factory=lambda: {kind: Usage() for kind in Traffic})

    def total(self, kinds: Iterable[Traffic] = tuple(Traffic)) -> Usage:
        """The sum over kinds of traffic."""
        return sum((self.by_traffic[kind] for kind in kinds), start=Usage())
