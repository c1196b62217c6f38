"""Many routers' leases on one true time: clocks that drift, a bad network, stalls, restarts, and a fence."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from grebeproxy.membership.lease import (
    DRIFT,
    Event,
    Fence,
    LeaseAcquired,
    LeaseConfig,
    Leases,
    LeaseLost,
    TokenRejected,
    SendVote,
    Token,
    ViewUpdated,
    VoteReceived,
    LeaseWanted,
    Woken,
)
from grebeproxy.membership.model import Condition, View, Wake

LEASE, LENGTH = "duty", 2.0


@dataclass
class Voters:
    """``n`` routers that all want one lease. All times are true ones; each core sees its own clock."""

    seed: int
    n: int
    loss: float = 0.0
    delay: tuple[float, float] = (0.001, 0.05)
    drift: float = DRIFT / 2
    now: float = 0.0
    faults: list[str] = field(default_factory=list)
    acts: list[tuple[float, int, Token]] = field(default_factory=list)  # that took effect
    refused: int = 0

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.numbers = count()
        self.queue: list[tuple[float, int, int, int, Any]] = []
        self.rate = [1.0 + self.rng.uniform(-self.drift, self.drift) for _ in range(self.n)]
        self.side = [0] * self.n
        self.life = [0] * self.n
        self.frozen_until = [0.0] * self.n
        self.cores: list[Leases] = []
        self.fence = Fence()
        for n in range(self.n):
            self.cores.append(self.made(n))
            self.begin(n)

    def clock(self, n: int, at: float) -> float:
        return 1000.0 * n + at * self.rate[n]

    def made(self, n: int) -> Leases:
        instance = self.rng.getrandbits(60)
        config = LeaseConfig(f"n{n}", instance, self.n, LENGTH)
        return Leases(config, Random(instance), self.clock(n, self.now))

    def begin(self, n: int) -> None:
        self.do(n, LeaseWanted(LEASE), ViewUpdated(self.view(n)))
        at = self.now + self.rng.uniform(0, 0.2)
        heappush(self.queue, (at, next(self.numbers), n, self.life[n], "act"))

    def view(self, n: int) -> View:
        members = tuple(f"n{m}" for m in range(self.n) if self.side[m] == self.side[n])
        quorate = 2 * len(members) > self.n
        return View(1, members, Condition.SETTLED if quorate else Condition.MINORITY, 0.0)

    def do(self, n: int, *events: Event) -> None:
        for effect in self.cores[n].step(self.clock(n, self.now), events):
            match effect:
                case SendVote(to, vote):
                    m = int(to[1:])
                    if self.side[m] == self.side[n] and self.rng.random() >= self.loss:
                        at = self.now + self.rng.uniform(*self.delay)
                        heard = VoteReceived(f"n{n}", self.cores[n].instance, vote)
                        heappush(self.queue, (at, next(self.numbers), m, -1, heard))
                case Wake(at):
                    true = max(self.now, (at - 1000.0 * n) / self.rate[n])
                    heappush(self.queue, (true + 1e-6, next(self.numbers), n, self.life[n], Woken()))
                case LeaseAcquired() | LeaseLost():
                    self.check()

    def check(self) -> None:
        """At no moment do two hold it, each by its own clock."""
        holders = [n for n, core in enumerate(self.cores) if core.token(LEASE, self.clock(n, self.now))]
        if len(holders) > 1:
            self.faults.append(f"{self.now:.3f}: {holders} hold it")

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, n, life, event = heappop(self.queue)
            if life not in (-1, self.life[n]):
                continue
            if self.now < self.frozen_until[n]:
                heappush(self.queue, (self.frozen_until[n], next(self.numbers), n, life, event))
            elif event == "act":
                self.act(n)
            elif isinstance(event, tuple):  # what was sent to where it takes effect arrives
                self.effect(n, event)
            else:
                self.do(n, event)
        self.now = until
        self.check()

    def act(self, n: int) -> None:
        """Do the duty, if it is held: what is sent takes its time, or this process stands still first."""
        token = self.cores[n].token(LEASE, self.clock(n, self.now))
        heappush(self.queue, (self.now + 0.1, next(self.numbers), n, self.life[n], "act"))
        if token is not None:
            late = self.rng.uniform(0.0, 0.01) if self.rng.random() < 0.9 else self.rng.uniform(0.0, 6.0)
            heappush(self.queue, (self.now + late, next(self.numbers), n, -1, (token,)))

    def effect(self, n: int, event: tuple[Token]) -> None:
        if self.fence.admit(LEASE, event[0]):
            if self.acts and event[0] < self.acts[-1][2]:
                self.faults.append(f"{self.now:.3f}: {event[0]} after {self.acts[-1][2]}")
            self.acts.append((self.now, n, event[0]))
        else:
            self.refused += 1
            self.do(n, TokenRejected(LEASE, self.fence.highest(LEASE)))

    def trouble(self) -> None:
        """One random fault, or the end of one."""
        n = self.rng.randrange(self.n)
        match self.rng.randrange(6):
            case 0:
                self.cores[n], self.life[n] = self.made(n), self.life[n] + 1
                self.begin(n)
            case 1:
                self.frozen_until[n] = self.now + self.rng.uniform(0.1, 3 * LENGTH)
            case 2 | 3:
                groups = self.rng.choice([1, 2, 3])
                self.side = [self.rng.randrange(groups) for _ in range(self.n)]
            case 4:
                self.heal()
            case 5:
                self.loss = self.rng.choice([0.0, 0.3])
                self.delay = self.rng.choice([(0.001, 0.05), (0.001, 1.5 * LENGTH)])
        for m in range(self.n):
            self.do(m, ViewUpdated(self.view(m)))

    def heal(self) -> None:
        self.side, self.loss, self.delay = [0] * self.n, 0.0, (0.001, 0.05)
