"""Plain values of the simulated fleet: its network, its processes and its queued events. Times in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from grebeproxy.lab.control.usage import Account
from grebeproxy.membership.wire import PacketCodec
from grebeproxy.peers import node

NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class Network:
    """Delay of a datagram in seconds, uniform between two bounds, and the probability that it is lost."""

    min_delay: float = 0.001
    max_delay: float = 0.01
    loss: float = 0.0


NETWORK = Network()


@dataclass(frozen=True, slots=True)
class FailureReport:
    """A router declared another one failed, at a simulated time in seconds."""

    time: float
    reporter: int
    failed: str


@dataclass(slots=True)
class Process:
    """One running process of a router."""

    router: int
    node: node.Node
    sealed: PacketCodec
    account: Account
    wake_at: float = NEVER


class Scheduled(NamedTuple):
    """A queued event, ordered by time: the timer of ``sleeper``, or a packet's arrival without one."""

    time: float
    order: int
    router: int
    sleeper: Process | None
    packet: bytes
