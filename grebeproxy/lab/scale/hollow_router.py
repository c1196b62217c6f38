"""One hollow router: the control part of a router, without connections to clients and engines."""

from __future__ import annotations

import socket
from random import Random

from grebeproxy.lab.scale.addresses import Address, loopback_host
from grebeproxy.lab.scale.clock import SkewedClock
from grebeproxy.lab.scale.deployment import settings
from grebeproxy.lab.scale.member import Member, bound_socket
from grebeproxy.lab.scale.meter import Meter
from grebeproxy.lab.scale.plans import MembershipPlan, RoutersPlan, router_name
from grebeproxy.lab.scale.watcher import Watcher

HOST_GROUP = 20  # 127.20.0.0/16


class HollowRouter:
    """A router that follows the change log and takes part in membership, each only if the plan has it."""

    def __init__(self, number: int, plan: RoutersPlan) -> None:
        self.name = router_name(number)
        self.meter = Meter()
        self.watcher: Watcher | None = None  # only while the router runs, and if the plan has a change log
        self.member: Member | None = None  # only while the router runs, and if the plan has membership
        self.address: Address = (loopback_host(HOST_GROUP, number), 0)
        self.advertise: Address | None = None
        self.seeds: tuple[Address, ...] = ()
        self._number = number
        self._plan = plan
        self._starts = 0
        self._socket: socket.socket | None = None
        if plan.membership is not None:
            self._bind()

    async def start(self) -> None:
        """Start the router as a new process would, with a new clock and new random numbers."""
        seed = hash((self._plan.seed, self._number, self._starts))
        clock = SkewedClock(Random(seed))
        self._starts += 1
        if self._plan.changelog is not None:
            router_settings = settings(self._plan.total, self._number)
            self.watcher = Watcher(self._plan.changelog, router_settings, seed, clock, self.meter)
            self.watcher.start()
        if self._plan.membership is not None:
            await self._join(self._plan.membership, seed, clock)

    def kill(self) -> None:
        """Stop the router at once, as if its process were killed: it notifies no other member."""
        if self.watcher is not None:
            self.watcher.close()
        if self.member is not None:
            self.member.close()  # This closes the socket, too.
        elif self._socket is not None:
            self._socket.close()
        self.watcher = None
        self.member = None
        self._socket = None

    async def _join(self, membership: MembershipPlan, seed: int, clock: SkewedClock) -> None:
        bound = self._socket or self._bind()
        advertise = self.advertise or self.address
        config = membership.peers_config(self.name, self.address, advertise, self.seeds)
        self.member = Member(config, seed, clock, self.meter)
        await self.member.open(bound)
        self.member.start()

    def _bind(self) -> socket.socket:
        """Bind the address at which the other members reach the router. A restart binds the same address."""
        self._socket = bound_socket(self.address)
        self.address = self._socket.getsockname()
        return self._socket
