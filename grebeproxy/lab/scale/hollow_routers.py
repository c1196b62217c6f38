"""The service of one process with many hollow routers."""

from __future__ import annotations

import asyncio
import os
import time
from dataclasses import dataclass
from random import Random

from grebeproxy.lab.scale.addresses import Address
from grebeproxy.lab.scale.hollow_router import HollowRouter
from grebeproxy.lab.scale.member import Member
from grebeproxy.lab.scale.meter import Counters, resident_bytes
from grebeproxy.lab.scale.plans import RoutersPlan
from grebeproxy.lab.scale.usage import Snapshot
from grebeproxy.lab.scale.watcher import Watcher

SEED_STEP = 1_000_003  # gives each process its own sequence of random numbers


@dataclass(frozen=True, slots=True)
class MembershipView:
    """What one router knows of the fleet: the names of the members, and the condition such as ``quorate``."""

    members: tuple[str, ...]
    condition: str


class HollowRouters:
    """The routers of one plan."""

    def __init__(self, plan: RoutersPlan) -> None:
        self._rng = Random(plan.seed * SEED_STEP + plan.first)
        self._routers = [HollowRouter(plan.first + offset, plan) for offset in range(plan.count)]
        self._tasks: list[asyncio.Task[None]] = []

    def addresses(self) -> list[Address]:
        """Each router's own address."""
        return [router.address for router in self._routers]

    def configure(self, seeds: list[tuple[Address, ...]], advertise: list[Address] | None = None) -> None:
        """Set each router's seed members, and the address that it advertises if that is not its own."""
        for position, router in enumerate(self._routers):
            router.seeds = seeds[position]
            router.advertise = advertise[position] if advertise is not None else None

    def start(self, spread_s: float = 0.0) -> None:
        """Start all routers, each at a random moment within the spread."""
        loop = asyncio.get_running_loop()
        for router in self._routers:
            delay = self._rng.uniform(0.0, spread_s)
            self._tasks.append(loop.create_task(_start_later(router, delay)))

    async def close(self) -> None:
        """Stop all routers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for router in self._routers:
            router.kill()
        await asyncio.sleep(0.0)  # The sockets close in the next iteration of the event loop.

    def snapshot(self) -> Snapshot:
        """What the routers and this process have used until now."""
        counters = [router.meter.counters + Counters() for router in self._routers]
        return Snapshot(time.monotonic(), time.process_time(), resident_bytes(os.getpid()), counters)

    # --- the change log

    def applied(self, seq: int) -> list[float]:
        """The times, on the machine's clock, at which the routers that have applied the event did so."""
        return [watcher.applied_at[seq] for watcher in self._watchers() if seq in watcher.applied_at]

    def engines_known(self) -> list[int]:
        """How many engines the decision module of each running router knows."""
        return [len(watcher.choice.engine_list) for watcher in self._watchers()]

    def lost_connections(self) -> int:
        """How many connections to the change log the routers have given up."""
        return sum(watcher.lost_connections for watcher in self._watchers())

    def _watchers(self) -> list[Watcher]:
        return [router.watcher for router in self._routers if router.watcher is not None]

    # --- membership

    def member_counts(self) -> list[int]:
        """How many members each running router sees, including itself."""
        return [len(member.node.view.members) for member in self._members()]

    def views(self) -> dict[str, MembershipView]:
        """What each running router sees, by its name."""
        views = {}
        for member in self._members():
            view = member.node.view
            views[member.name] = MembershipView(view.members, view.condition.value)
        return views

    def learned_since(self, names: list[str], since: float, events: tuple[str, ...]) -> list[float | None]:
        """For each running router, when it had learned of one of the events for every named member.

        Times are on the machine's clock. Events learned before ``since`` do not count. ``None`` stands for a
        router that has not learned of all of them yet.
        """
        return [_learned_of_all(member, names, since, events) for member in self._members()]

    def origin_counts(self) -> list[int]:
        """For each running router, from how many origins it has replicated records."""
        return [len(member.node.store.records) for member in self._members()]

    def kill(self, names: list[str]) -> float:
        """Kill the named routers of this process; returns the time on the machine's clock."""
        for router in self._named(names):
            router.kill()
        return time.monotonic()

    async def restart(self, names: list[str]) -> float:
        """Kill the named routers and start them again at once; returns the time at which this began."""
        began = time.monotonic()
        for router in self._named(names):
            router.kill()
        # The sockets close in the next iteration of the event loop; until then, their addresses are in use.
        await asyncio.sleep(0.0)
        await asyncio.sleep(0.0)
        for router in self._named(names):
            await router.start()
        return began

    def _members(self) -> list[Member]:
        return [router.member for router in self._routers if router.member is not None]

    def _named(self, names: list[str]) -> list[HollowRouter]:
        return [router for router in self._routers if router.name in names]


async def _start_later(router: HollowRouter, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    await router.start()


def _learned_of_all(member: Member, names: list[str], since: float, events: tuple[str, ...]) -> float | None:
    last = since
    for name in names:
        change = member.changes.get(name)
        is_new = change is not None and change.learned_at >= since and change.event in events
        if name != member.name and not is_new:
            return None
        if change is not None:
            last = max(last, change.learned_at)
    return last
