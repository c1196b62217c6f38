"""Many membership cores on one clock, with a network between them that a seed and a test make worse."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from grebeproxy.membership import (
    ViewChanged,
    Condition,
    Config,
    Displaced,
    Effect,
    Event,
    MessageReceived,
    LeaveRequested,
    Membership,
    Send,
    Notice,
    View,
    Wake,
    Woken,
)

BASE = 9000


@dataclass
class Net:
    """Members ``n0``, ``n1`` … at ports of their own. ``cut`` tells which of them do not reach each other."""

    seed: int
    fleet: int
    loss: float = 0.0
    twice: float = 0.0  # part of datagrams that come twice
    delay: tuple[float, float] = (0.001, 0.01)
    seeds: tuple[int, ...] = (0, 1, 2)
    now: float = 100.0
    cut: Callable[[int, int], bool] = lambda a, b: False
    cores: dict[int, Membership] = field(default_factory=dict)
    frozen: set[int] = field(default_factory=set)
    told: list[tuple[float, int, str, str]] = field(default_factory=list)  # when, who, what, of whom
    views: list[tuple[float, int, View]] = field(default_factory=list)
    sent: int = 0
    displaced: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.numbers = count()
        self.queue: list[tuple[float, int, int, Membership, Event]] = []
        self.kept: dict[int, list[Event]] = {}
        self.instances = count(1)

    def config(self, n: int, **changes: object) -> Config:
        seeds = tuple(("127.0.0.1", BASE + seed) for seed in self.seeds)
        told: dict[str, object] = {"name": f"n{n}", "address": ("127.0.0.1", BASE + n), "fleet": self.fleet}
        return Config(**{**told, "seeds": seeds, **changes})  # type: ignore[arg-type]

    def start(self, *members: int, at: int | None = None, **changes: object) -> None:
        """Start processes; one that runs already at the place is gone without a word."""
        for n in members:
            place = n if at is None else at
            instance = self.rng.getrandbits(48) << 8 | next(self.instances) % 256
            core = Membership(self.config(n, **changes), instance, Random(instance), self.now)
            self.cores[place] = core
            self.frozen.discard(place)
            self.kept.pop(place, None)
            self.carry_out(place, core, core.step(self.now, []))

    def kill(self, *members: int) -> None:
        for n in members:
            del self.cores[n]

    def freeze(self, *members: int) -> None:
        self.frozen.update(members)

    def thaw(self, *members: int) -> None:
        for n in members:
            self.frozen.discard(n)
            events = self.kept.pop(n, [])
            self.carry_out(n, self.cores[n], self.cores[n].step(self.now, events))

    def leave(self, n: int) -> None:
        self.carry_out(n, self.cores[n], self.cores[n].step(self.now, [LeaveRequested()]))
        del self.cores[n]

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, n, core, event = heappop(self.queue)
            if self.cores.get(n) is not core and not isinstance(event, MessageReceived):
                continue
            now_there = self.cores.get(n)
            if now_there is None:
                continue
            if n in self.frozen:
                if len(self.kept.setdefault(n, [])) < 64:  # what the machine keeps for it
                    self.kept[n].append(event)
                continue
            self.carry_out(n, now_there, now_there.step(self.now, [event]))
        self.now = until

    def carry_out(self, n: int, core: Membership, effects: Iterable[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.sent += 1
                    self.pass_on(n, to[1] - BASE, core, MessageReceived(message))
                case Wake(at):
                    heappush(self.queue, (max(at, self.now), next(self.numbers), n, core, Woken()))
                case Notice(word, name):
                    self.told.append((self.now, n, word, name))
                case ViewChanged(view):
                    self.views.append((self.now, n, view))
                case Displaced():
                    self.displaced.append(n)

    def pass_on(self, a: int, b: int, core: Membership, event: Event) -> None:
        if self.cut(a, b) or b not in self.cores:
            return
        for _ in range(1 + (self.rng.random() < self.twice)):
            if self.rng.random() >= self.loss:
                at = self.now + self.rng.uniform(*self.delay)
                heappush(self.queue, (at, next(self.numbers), b, self.cores[b], event))

    def conditions(self) -> dict[int, Condition]:
        return {n: core.view.condition for n, core in self.cores.items()}

    def agree(self, members: Iterable[int]) -> bool:
        """All of these, and only these, are members to each of them."""
        names = tuple(sorted(f"n{n}" for n in members))
        return all(self.cores[n].view.members == names for n in members)

    def until(self, wanted: Callable[[], bool], most: float) -> float:
        """Let the time pass until that holds; tells for how long."""
        began = self.now
        while not wanted():
            assert self.now - began < most, f"not within {most} s"
            self.run(0.1)
        return self.now - began
