"""Many hollow routers in one process: the real control code of a router, and no data path."""

from __future__ import annotations

import asyncio
import gc
import os
import socket
import time
from dataclasses import dataclass
from random import Random

from grebeproxy.lab.scale.clock import SlackClock
from grebeproxy.lab.scale.deployment import Address, loopback_host, settings
from grebeproxy.lab.scale.member import Member, bound_socket
from grebeproxy.lab.scale.meter import Counters, Meter, resident_bytes
from grebeproxy.lab.scale.watcher import Watcher
from grebeproxy.membership import Config
from grebeproxy.peers import PeersConfig
from grebeproxy.peers.operator_file import Duty

HOST_GROUP = 20  # 127.20.0.0/16
KEY = b"the key of the lab's scale runs"
DUTY, DUTY_EVERY_S = "count", 1.0


@dataclass(frozen=True, slots=True)
class MembershipPlan:
    """How the routers know each other. Times in seconds."""

    fleet: int
    period_s: float = 0.5
    lease_s: float = 3.0
    settle_s: float = 3.0
    duty_report: Address | None = None

    def peers_config(
        self, name: str, listen: Address, advertise: Address, seeds: tuple[Address, ...]
    ) -> PeersConfig:
        """The configuration of one router."""
        timeout = 0.3 * self.period_s
        member = Config(name, advertise, self.fleet, seeds, self.period_s, timeout, settle=self.settle_s)
        duties = (Duty(DUTY, self.duty_report, DUTY_EVERY_S),) if self.duty_report is not None else ()
        return PeersConfig(listen, member, KEY, self.lease_s, duties)


@dataclass(frozen=True, slots=True)
class RoutersPlan:
    """The hollow routers of one process: ``count`` of ``total`` ones, from number ``first`` on."""

    first: int
    count: int
    total: int
    seed: int
    changelog: Address | None = None
    membership: MembershipPlan | None = None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What the routers of one process have used until now. CPU in seconds."""

    at: float
    process_cpu_s: float
    resident_bytes: int
    routers: list[Counters]


def router_name(number: int) -> str:
    """The name of a hollow router."""
    return f"h{number:05d}"


class HollowRouter:
    """One router's control part."""

    def __init__(self, number: int, plan: RoutersPlan) -> None:
        self.number, self.plan, self.name = number, plan, router_name(number)
        self.meter = Meter()
        self.watcher: Watcher | None = None
        self.member: Member | None = None
        self.address: Address = (loopback_host(HOST_GROUP, number), 0)
        self.advertise: Address | None = None
        self.seeds: tuple[Address, ...] = ()
        self._lives = 0
        self._socket: socket.socket | None = None
        if plan.membership is not None:
            self.bind()

    def bind(self) -> None:
        """Take the address where the others reach it."""
        self._socket = bound_socket(self.address)
        self.address = self._socket.getsockname()

    async def start(self) -> None:
        """Begin a process of this router, with a clock and random numbers of its own."""
        seed = hash((self.plan.seed, self.number, self._lives))
        clock = SlackClock(Random(seed))
        self._lives += 1
        if self.plan.changelog is not None:
            wanted = settings(self.plan.total, self.number)
            self.watcher = Watcher(self.plan.changelog, wanted, seed, clock, self.meter)
            self.watcher.start()
        if self.plan.membership is not None:
            if self._socket is None:
                self.bind()
            assert self._socket is not None
            advertise = self.advertise or self.address
            config = self.plan.membership.peers_config(self.name, self.address, advertise, self.seeds)
            self.member = Member(config, seed, clock, self.meter)
            await self.member.open(self._socket)
            self.member.start()

    def kill(self) -> None:
        """End it without a word."""
        if self.watcher is not None:
            self.watcher.close()
        if self.member is not None:
            self.member.close()
            self._socket = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        self.watcher = self.member = None


class HollowRouters:
    """The service of one process."""

    def __init__(self, plan: RoutersPlan) -> None:
        self._plan, self._rng = plan, Random(plan.seed * 1_000_003 + plan.first)
        self._routers = [HollowRouter(plan.first + offset, plan) for offset in range(plan.count)]
        self._tasks: list[asyncio.Task[None]] = []

    def addresses(self) -> list[Address]:
        """Where each router is reached by the others."""
        return [router.address for router in self._routers]

    def configure(self, seeds: list[tuple[Address, ...]], advertise: list[Address] | None = None) -> None:
        """Tell each router which others to begin with, and where it is to say that it is reached."""
        for position, router in enumerate(self._routers):
            router.seeds = seeds[position]
            router.advertise = advertise[position] if advertise is not None else None

    def start(self, spread_s: float = 0.0) -> None:
        """Start all, each at a random time within the spread."""
        self._tasks = [
            asyncio.get_running_loop().create_task(
                self._start_later(router, self._rng.uniform(0.0, spread_s))
            )
            for router in self._routers
        ]

    async def _start_later(self, router: HollowRouter, delay: float) -> None:
        await asyncio.sleep(delay)
        await router.start()

    async def close(self) -> None:
        """End all."""
        for task in self._tasks:
            task.cancel()
        for router in self._routers:
            router.kill()
        await asyncio.sleep(0.0)

    def freeze(self) -> None:
        """Leave what is there out of later garbage collections: a router's own process would have little."""
        gc.collect()
        gc.freeze()

    def snapshot(self) -> Snapshot:
        """What was used until now."""
        counters = [router.meter.counters + Counters() for router in self._routers]
        return Snapshot(time.monotonic(), time.process_time(), resident_bytes(os.getpid()), counters)

    # --- the change log

    def applied(self, seq: int) -> list[float]:
        """When each router that has the event applied it, on the machine's clock."""
        watchers = [router.watcher for router in self._routers if router.watcher is not None]
        return [watcher.applied_at[seq] for watcher in watchers if seq in watcher.applied_at]

    def engines_known(self) -> list[int]:
        """How many engines each router's decision module has on record."""
        return [
            len(router.watcher.choice.engine_list) for router in self._routers if router.watcher is not None
        ]

    def lost_connections(self) -> int:
        """How often a connection to the change log was given up."""
        return sum(router.watcher.lost_connections for router in self._routers if router.watcher is not None)

    # --- membership

    def member_counts(self) -> list[int]:
        """How many members each router sees, itself among them."""
        return [len(router.member.node.view.members) for router in self._routers if router.member is not None]

    def views(self) -> dict[str, tuple[tuple[str, ...], str]]:
        """The members and the condition that each router sees."""
        seen = {}
        for router in self._routers:
            if router.member is not None:
                view = router.member.node.view
                seen[router.name] = (view.members, view.condition.value)
        return seen

    def learned_since(self, names: list[str], since: float, words: tuple[str, ...]) -> list[float | None]:
        """For each running router, when it had heard of all these members since then; ``None``: not yet."""
        return [
            _last_learned(router.member, names, since, words)
            for router in self._routers
            if router.member is not None
        ]

    def origins_held(self) -> list[int]:
        """Of how many origins each router holds copies."""
        return [
            len(router.member.node.store.records) for router in self._routers if router.member is not None
        ]

    def kill(self, names: list[str]) -> float:
        """End some without a word; tells when, on the machine's clock."""
        for router in self._named(names):
            router.kill()
        return time.monotonic()

    async def restart(self, names: list[str]) -> float:
        """End some without a word and start them again at once; tells when that began."""
        began = time.monotonic()
        for router in self._named(names):
            router.kill()
        await asyncio.sleep(0.0)  # the sockets are closed in the loop's next turn
        await asyncio.sleep(0.0)
        for router in self._named(names):
            await router.start()
        return began

    def _named(self, names: list[str]) -> list[HollowRouter]:
        return [router for router in self._routers if router.name in names]


def _last_learned(member: Member, names: list[str], since: float, words: tuple[str, ...]) -> float | None:
    last = since
    for name in names:
        at, word = member.changes.get(name, (0.0, ""))
        if name != member.config.member.name and (at < since or word not in words):
            return None
        last = max(last, at)
    return last
