"""Data classes of the simulated fleet: its network, processes and queued events. Times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from grebeproxy.lab.control.usage import Account
from grebeproxy.membership.wire import PacketCodec
from grebeproxy.peers import node

NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class Network:
    """The delay of a datagram, uniform between two bounds, and the probability that the datagram is lost."""

    min_delay: float = 0.001
    max_delay: float = 0.01
    loss: float = 0.0


NETWORK = Network()


@dataclass(frozen=True, slots=True)
class FailureReport:
    """The report of a router that declared another router failed at a simulated time."""

    time: float
    reporter: int
    failed: str


@dataclass(slots=True)
class Process:
    """One running process of a router."""

    router: int
    node: node.Node
    codec: PacketCodec
    account: Account
    wake_at: float = NEVER


class Scheduled(NamedTuple):
    """A queued event, ordered by time: a timer of ``timer_owner``, or else the arrival of a packet."""

    time: float
    order: int
    router: int
    timer_owner: Process | None
    packet: bytes
