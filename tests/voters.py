"""Many routers' leases on one true time: clocks that drift, a bad network, pauses, restarts, and a fence."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple, Union

from grebeproxy.membership.lease import (
    MAX_CLOCK_DRIFT,
    Event,
    Fence,
    LeaseAcquired,
    LeaseConfig,
    Leases,
    LeaseLost,
    LeaseWanted,
    SendVote,
    Token,
    TokenRejected,
    ViewUpdated,
    VoteReceived,
    Woken,
)
from grebeproxy.membership.model import Condition, View, Wake

LEASE = "duty"
LENGTH = 2.0  # seconds
ACT_INTERVAL = 0.1  # seconds between two acts of the holder
CLOCK_OFFSET = 1000.0  # seconds between the clocks of two routers
ANY_PROCESS = -1  # process of a queued event that reaches whichever one runs at its router
DEFAULT_DELAY = (0.001, 0.05)


class ActDue(NamedTuple):
    """A router acts now if it holds the lease."""


class ActArrives(NamedTuple):
    """What a holder did reaches the place where it takes effect."""

    token: Token


class Act(NamedTuple):
    """An act that took effect."""

    time: float
    router: int
    token: Token


QueuedEvent = Union[Event, ActDue, ActArrives]


@dataclass
class Voters:
    """``n`` routers that all want one lease. All times are true ones; each router sees its own clock."""

    seed: int
    n: int
    loss: float = 0.0
    delay: tuple[float, float] = DEFAULT_DELAY
    drift: float = MAX_CLOCK_DRIFT / 2
    now: float = 0.0
    violations: list[str] = field(default_factory=list)
    acts: list[Act] = field(default_factory=list)
    rejected: int = 0

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.numbers = count()
        self.queue: list[tuple[float, int, int, int, QueuedEvent]] = []
        self.clock_rates = [1.0 + self.rng.uniform(-self.drift, self.drift) for _ in range(self.n)]
        self.side = [0] * self.n
        self.process = [0] * self.n  # counts the starts of each router
        self.paused_until = [0.0] * self.n
        self.cores: list[Leases] = []
        self.fence = Fence()
        for router in range(self.n):
            self.cores.append(self.new_core(router))
            self.begin(router)

    def clock(self, router: int, time: float) -> float:
        return CLOCK_OFFSET * router + time * self.clock_rates[router]

    def new_core(self, router: int) -> Leases:
        instance = self.rng.getrandbits(60)
        config = LeaseConfig(f"n{router}", instance, self.n, LENGTH)
        return Leases(config, Random(instance), self.clock(router, self.now))

    def begin(self, router: int) -> None:
        self.step(router, LeaseWanted(LEASE), ViewUpdated(self.view(router)))
        self.schedule(self.now + self.rng.uniform(0, 0.2), router, self.process[router], ActDue())

    def schedule(self, time: float, router: int, process: int, event: QueuedEvent) -> None:
        heappush(self.queue, (time, next(self.numbers), router, process, event))

    def view(self, router: int) -> View:
        members = tuple(f"n{other}" for other in range(self.n) if self.side[other] == self.side[router])
        quorate = 2 * len(members) > self.n
        return View(1, members, Condition.SETTLED if quorate else Condition.MINORITY, 0.0)

    def step(self, router: int, *events: Event) -> None:
        for effect in self.cores[router].step(self.clock(router, self.now), events):
            match effect:
                case SendVote(to, vote):
                    receiver = int(to[1:])
                    if self.side[receiver] == self.side[router] and self.rng.random() >= self.loss:
                        time = self.now + self.rng.uniform(*self.delay)
                        received = VoteReceived(f"n{router}", self.cores[router].instance, vote)
                        self.schedule(time, receiver, ANY_PROCESS, received)
                case Wake(at):
                    time = max(self.now, (at - CLOCK_OFFSET * router) / self.clock_rates[router])
                    self.schedule(time + 1e-6, router, self.process[router], Woken())
                case LeaseAcquired() | LeaseLost():
                    self.check()

    def check(self) -> None:
        """At no moment do two hold the lease, each by its own clock."""
        holders = [
            router
            for router, core in enumerate(self.cores)
            if core.token(LEASE, self.clock(router, self.now))
        ]
        if len(holders) > 1:
            self.violations.append(f"{self.now:.3f}: {holders} hold it")

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, router, process, event = heappop(self.queue)
            if process not in (ANY_PROCESS, self.process[router]):
                continue
            if self.now < self.paused_until[router]:
                self.schedule(self.paused_until[router], router, process, event)
            elif isinstance(event, ActDue):
                self.act(router)
            elif isinstance(event, ActArrives):
                self.take_effect(router, event.token)
            else:
                self.step(router, event)
        self.now = until
        self.check()

    def act(self, router: int) -> None:
        """Act if the lease is held. The act takes its time to arrive, or this process is paused first."""
        token = self.cores[router].token(LEASE, self.clock(router, self.now))
        self.schedule(self.now + ACT_INTERVAL, router, self.process[router], ActDue())
        if token is not None:
            late = self.rng.uniform(0.0, 0.01) if self.rng.random() < 0.9 else self.rng.uniform(0.0, 6.0)
            self.schedule(self.now + late, router, ANY_PROCESS, ActArrives(token))

    def take_effect(self, router: int, token: Token) -> None:
        if self.fence.admit(LEASE, token):
            if self.acts and token < self.acts[-1].token:
                self.violations.append(f"{self.now:.3f}: {token} after {self.acts[-1].token}")
            self.acts.append(Act(self.now, router, token))
        else:
            self.rejected += 1
            self.step(router, TokenRejected(LEASE, self.fence.highest(LEASE)))

    def inject_fault(self) -> None:
        """One random fault, or the end of one."""
        router = self.rng.randrange(self.n)
        match self.rng.randrange(6):
            case 0:
                self.cores[router] = self.new_core(router)
                self.process[router] += 1
                self.begin(router)
            case 1:
                self.paused_until[router] = self.now + self.rng.uniform(0.1, 3 * LENGTH)
            case 2 | 3:
                groups = self.rng.choice([1, 2, 3])
                self.side = [self.rng.randrange(groups) for _ in range(self.n)]
            case 4:
                self.heal()
            case 5:
                self.loss = self.rng.choice([0.0, 0.3])
                self.delay = self.rng.choice([DEFAULT_DELAY, (0.001, 1.5 * LENGTH)])
        self.update_views()

    def update_views(self) -> None:
        """Give each router its present view."""
        for router in range(self.n):
            self.step(router, ViewUpdated(self.view(router)))

    def heal(self) -> None:
        self.side = [0] * self.n
        self.loss = 0.0
        self.delay = DEFAULT_DELAY
