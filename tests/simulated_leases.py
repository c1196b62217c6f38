"""A simulation of many routers that claim one lease.

It has clocks that drift, a faulty network, paused and restarted routers, and a fence that receives the work.
"""

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
LEASE_LENGTH = 2.0  # seconds
WORK_INTERVAL = 0.1  # seconds between two pieces of work of the holder
CLOCK_OFFSET = 1000.0  # seconds by which the clock of each router is ahead of the one before it
ANY_START = -1  # start number of a queued event that reaches whichever process runs at its router
DEFAULT_DELAY = (0.001, 0.05)  # seconds: least and greatest delay of a message


class WorkDue(NamedTuple):
    """A router sends work now if it holds the lease."""


class WorkArrived(NamedTuple):
    """Work of a holder arrives at the fence."""

    token: Token


class AdmittedWork(NamedTuple):
    """A piece of work that the fence has admitted."""

    time: float
    router: int
    token: Token


QueuedEvent = Union[Event, WorkDue, WorkArrived]


@dataclass
class SimulatedLeases:
    """Routers that all want one lease.

    All times are in simulated true time; each router reads a clock of its own.
    """

    seed: int
    router_count: int
    loss: float = 0.0
    delay: tuple[float, float] = DEFAULT_DELAY  # seconds
    drift: float = MAX_CLOCK_DRIFT / 2
    now: float = 0.0
    violations: list[str] = field(default_factory=list)
    admitted: list[AdmittedWork] = field(default_factory=list)
    rejected_count: int = 0

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.sequence_numbers = count()
        self.queue: list[tuple[float, int, int, int, QueuedEvent]] = []
        self.clock_rates = [1.0 + self.rng.uniform(-self.drift, self.drift) for _ in range(self.router_count)]
        self.partition_of = [0] * self.router_count
        self.start_counts = [0] * self.router_count  # number of restarts of each router so far
        self.paused_until = [0.0] * self.router_count
        self.leases: list[Leases] = []
        self.fence = Fence()
        for router in range(self.router_count):
            self.leases.append(self.new_leases(router))
            self.start_claiming(router)

    def clock(self, router: int, time: float) -> float:
        return CLOCK_OFFSET * router + time * self.clock_rates[router]

    def new_leases(self, router: int) -> Leases:
        instance = self.rng.getrandbits(60)
        config = LeaseConfig(f"n{router}", instance, self.router_count, LEASE_LENGTH)
        return Leases(config, Random(instance), self.clock(router, self.now))

    def start_claiming(self, router: int) -> None:
        self.step(router, LeaseWanted(LEASE), ViewUpdated(self.view(router)))
        self.schedule(self.now + self.rng.uniform(0, 0.2), router, self.start_counts[router], WorkDue())

    def schedule(self, time: float, router: int, start_number: int, event: QueuedEvent) -> None:
        heappush(self.queue, (time, next(self.sequence_numbers), router, start_number, event))

    def view(self, router: int) -> View:
        members = tuple(
            f"n{other}"
            for other in range(self.router_count)
            if self.partition_of[other] == self.partition_of[router]
        )
        quorate = 2 * len(members) > self.router_count
        return View(1, members, Condition.SETTLED if quorate else Condition.MINORITY, 0.0)

    def step(self, router: int, *events: Event) -> None:
        for effect in self.leases[router].step(self.clock(router, self.now), events):
            match effect:
                case SendVote(to, vote):
                    receiver = int(to[1:])
                    if (
                        self.partition_of[receiver] == self.partition_of[router]
                        and self.rng.random() >= self.loss
                    ):
                        time = self.now + self.rng.uniform(*self.delay)
                        received = VoteReceived(f"n{router}", self.leases[router].instance, vote)
                        self.schedule(time, receiver, ANY_START, received)
                case Wake(at):
                    time = max(self.now, (at - CLOCK_OFFSET * router) / self.clock_rates[router])
                    self.schedule(time + 1e-6, router, self.start_counts[router], Woken())
                case LeaseAcquired() | LeaseLost():
                    self.check_single_holder()

    def check_single_holder(self) -> None:
        """Record a violation if two routers hold the lease, each by its own clock."""
        holders = [
            router
            for router, leases in enumerate(self.leases)
            if leases.token(LEASE, self.clock(router, self.now))
        ]
        if len(holders) > 1:
            self.violations.append(f"{self.now:.3f}: {holders} hold the lease")

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, router, start_number, event = heappop(self.queue)
            if start_number not in (ANY_START, self.start_counts[router]):
                continue
            if self.now < self.paused_until[router]:
                self.schedule(self.paused_until[router], router, start_number, event)
            elif isinstance(event, WorkDue):
                self.send_work(router)
            elif isinstance(event, WorkArrived):
                self.receive_work(router, event.token)
            else:
                self.step(router, event)
        self.now = until
        self.check_single_holder()

    def send_work(self, router: int) -> None:
        """Send work if the router holds the lease.

        Some work arrives late, as if the router had been paused after it had checked its token.
        """
        token = self.leases[router].token(LEASE, self.clock(router, self.now))
        self.schedule(self.now + WORK_INTERVAL, router, self.start_counts[router], WorkDue())
        if token is not None:
            delay = self.rng.uniform(0.0, 0.01) if self.rng.random() < 0.9 else self.rng.uniform(0.0, 6.0)
            self.schedule(self.now + delay, router, ANY_START, WorkArrived(token))

    def receive_work(self, router: int, token: Token) -> None:
        if self.fence.admit(LEASE, token):
            if self.admitted and token < self.admitted[-1].token:
                self.violations.append(f"{self.now:.3f}: {token} after {self.admitted[-1].token}")
            self.admitted.append(AdmittedWork(self.now, router, token))
        else:
            self.rejected_count += 1
            self.step(router, TokenRejected(LEASE, self.fence.highest(LEASE)))

    def inject_fault(self) -> None:
        """Begin or end a random fault."""
        router = self.rng.randrange(self.router_count)
        match self.rng.randrange(6):
            case 0:
                self.leases[router] = self.new_leases(router)
                self.start_counts[router] += 1
                self.start_claiming(router)
            case 1:
                self.paused_until[router] = self.now + self.rng.uniform(0.1, 3 * LEASE_LENGTH)
            case 2 | 3:
                partition_count = self.rng.choice([1, 2, 3])
                self.partition_of = [self.rng.randrange(partition_count) for _ in range(self.router_count)]
            case 4:
                self.heal()
            case 5:
                self.loss = self.rng.choice([0.0, 0.3])
                self.delay = self.rng.choice([DEFAULT_DELAY, (0.001, 1.5 * LEASE_LENGTH)])
        self.update_views()

    def update_views(self) -> None:
        """Give each router its current view."""
        for router in range(self.router_count):
            self.step(router, ViewUpdated(self.view(router)))

    def heal(self) -> None:
        self.partition_of = [0] * self.router_count
        self.loss = 0.0
        self.delay = DEFAULT_DELAY
