"""Many memberships on one simulated clock, and a seeded network that loses, delays and duplicates."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from grebeproxy.membership import (
    Condition,
    Config,
    Displaced,
    Effect,
    Event,
    LeaveRequested,
    Membership,
    MessageReceived,
    Notice,
    NoticeKind,
    Send,
    View,
    ViewChanged,
    Wake,
    Woken,
)

BASE_PORT = 9000
BUFFERED_EVENTS = 64  # datagrams and timers that wait for a paused process, at most


class NoticeRecord(NamedTuple):
    """A notice that a process gave."""

    time: float
    place: int
    kind: NoticeKind
    name: str


@dataclass
class Network:
    """Members ``n0``, ``n1`` … each at a port of its own, the place.

    ``cut`` tells which places do not reach each other.
    """

    seed: int
    fleet: int
    loss: float = 0.0
    duplication: float = 0.0  # part of datagrams that arrive twice
    delay: tuple[float, float] = (0.001, 0.01)
    seeds: tuple[int, ...] = (0, 1, 2)
    now: float = 100.0
    cut: Callable[[int, int], bool] = lambda sender, receiver: False
    cores: dict[int, Membership] = field(default_factory=dict)
    paused: set[int] = field(default_factory=set)
    notices: list[NoticeRecord] = field(default_factory=list)
    views: list[tuple[float, int, View]] = field(default_factory=list)
    sent: int = 0
    displaced: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.numbers = count()
        self.queue: list[tuple[float, int, int, Membership, Event]] = []
        self.buffered: dict[int, list[Event]] = {}
        self.instances = count(1)

    def config(self, member: int, **changes: object) -> Config:
        settings: dict[str, object] = {
            "name": f"n{member}",
            "address": ("127.0.0.1", BASE_PORT + member),
            "fleet": self.fleet,
            "seeds": tuple(("127.0.0.1", BASE_PORT + seed) for seed in self.seeds),
        }
        return Config(**{**settings, **changes})  # type: ignore[arg-type]

    def start(self, *members: int, place: int | None = None, **changes: object) -> None:
        """Start processes. One that runs at the place already ends without leaving."""
        for member in members:
            there = member if place is None else place
            instance = self.rng.getrandbits(48) << 8 | next(self.instances) % 256
            core = Membership(self.config(member, **changes), instance, Random(instance), self.now)
            self.cores[there] = core
            self.paused.discard(there)
            self.buffered.pop(there, None)
            self.carry_out(there, core, core.step(self.now, []))

    def kill(self, *places: int) -> None:
        for place in places:
            del self.cores[place]

    def pause(self, *places: int) -> None:
        self.paused.update(places)

    def resume(self, *places: int) -> None:
        for place in places:
            self.paused.discard(place)
            events = self.buffered.pop(place, [])
            self.carry_out(place, self.cores[place], self.cores[place].step(self.now, events))

    def leave(self, place: int) -> None:
        self.carry_out(place, self.cores[place], self.cores[place].step(self.now, [LeaveRequested()]))
        del self.cores[place]

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, place, core, event = heappop(self.queue)
            if self.cores.get(place) is not core and not isinstance(event, MessageReceived):
                continue
            current = self.cores.get(place)
            if current is None:
                continue
            if place in self.paused:
                if len(self.buffered.setdefault(place, [])) < BUFFERED_EVENTS:
                    self.buffered[place].append(event)
                continue
            self.carry_out(place, current, current.step(self.now, [event]))
        self.now = until

    def carry_out(self, place: int, core: Membership, effects: Iterable[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.sent += 1
                    self.deliver(place, to[1] - BASE_PORT, MessageReceived(message))
                case Wake(at):
                    heappush(self.queue, (max(at, self.now), next(self.numbers), place, core, Woken()))
                case Notice(kind, name):
                    self.notices.append(NoticeRecord(self.now, place, kind, name))
                case ViewChanged(view):
                    self.views.append((self.now, place, view))
                case Displaced():
                    self.displaced.append(place)

    def deliver(self, sender: int, receiver: int, event: Event) -> None:
        if self.cut(sender, receiver) or receiver not in self.cores:
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            if self.rng.random() >= self.loss:
                time = self.now + self.rng.uniform(*self.delay)
                heappush(self.queue, (time, next(self.numbers), receiver, self.cores[receiver], event))

    def failures(self) -> list[NoticeRecord]:
        """The notices that a member failed."""
        return [notice for notice in self.notices if notice.kind == "failed"]

    def conditions(self) -> dict[int, Condition]:
        return {place: core.view.condition for place, core in self.cores.items()}

    def agree(self, members: Iterable[int]) -> bool:
        """All of these, and only these, are members to each of them."""
        chosen = list(members)
        names = tuple(sorted(f"n{member}" for member in chosen))
        return all(self.cores[member].view.members == names for member in chosen)

    def run_until(self, reached: Callable[[], bool], most_seconds: float) -> float:
        """Let time pass until the condition is reached, and give the seconds."""
        began = self.now
        while not reached():
            assert self.now - began < most_seconds, f"not within {most_seconds} s"
            self.run(0.1)
        return self.now - began
