"""Packets, bytes and CPU time that one simulated router has used, by kind of traffic."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, fields
from enum import Enum

from grebeproxy.peers.node import DELTA, DIGEST, MEMBER, VOTE

NANOSECONDS_PER_PERCENT = 1e7  # nanoseconds of CPU time per second that are one percent of a core


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
    """Counters since a router's start. Bytes are those of sealed packets, without UDP and IP headers."""

    packets_sent: int = 0
    bytes_sent: int = 0
    packets_received: int = 0
    bytes_received: int = 0
    cpu_ns: int = 0

    def __add__(self, other: Usage) -> Usage:
        """Return the sums of the counters."""
        return Usage(*(getattr(self, name) + getattr(other, name) for name in COUNTERS))

    def __sub__(self, earlier: Usage) -> Usage:
        """Return what was used since an earlier reading."""
        return Usage(*(getattr(self, name) - getattr(earlier, name) for name in COUNTERS))

    def rates(self, prefix: str, router_seconds: float) -> dict[str, float]:
        """Return packets and bytes sent per second, and CPU in percent of a core, under names with a prefix.

        ``router_seconds`` is the number of counted routers times the seconds that passed.
        """
        return {
            f"{prefix}_packets_per_s": self.packets_sent / router_seconds,
            f"{prefix}_bytes_per_s": self.bytes_sent / router_seconds,
            f"{prefix}_cpu_percent": self.cpu_ns / router_seconds / NANOSECONDS_PER_PERCENT,
        }


COUNTERS = tuple(counter.name for counter in fields(Usage))


@dataclass(slots=True)
class Account:
    """One router's usage, with a set of counters for each kind of traffic."""

    by_traffic: dict[Traffic, Usage] = field(default_factory=lambda: {kind: Usage() for kind in Traffic})

    def total(self, kinds: Iterable[Traffic] = tuple(Traffic)) -> Usage:
        """Return the total usage over some kinds of traffic."""
        return sum((self.by_traffic[kind] for kind in kinds), start=Usage())
