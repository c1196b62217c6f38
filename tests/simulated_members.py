"""A simulation of many members on one clock, with a seeded network that loses, delays and duplicates."""

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
BUFFERED_EVENTS = 64  # most datagrams and wake-ups that wait for a paused process


class NoticeRecord(NamedTuple):
    """A notice of one process, with its time and the slot of the process."""

    time: float
    slot: int
    kind: NoticeKind
    name: str


@dataclass
class SimulatedNetwork:
    """Members ``n0``, ``n1`` … Each runs in a slot, which is the offset of its port from ``BASE_PORT``.

    ``cut`` tells whether datagrams from one slot to another are lost.
    """

    seed: int  # seed of the random numbers
    fleet: int
    loss: float = 0.0
    duplication: float = 0.0  # part of the datagrams that arrive twice
    delay: tuple[float, float] = (0.001, 0.01)  # seconds: least and greatest delay of a datagram
    seeds: tuple[int, ...] = (0, 1, 2)  # members that are seeds of all others
    now: float = 100.0
    cut: Callable[[int, int], bool] = lambda sender, receiver: False
    memberships: dict[int, Membership] = field(default_factory=dict)
    paused: set[int] = field(default_factory=set)
    notices: list[NoticeRecord] = field(default_factory=list)
    views: list[tuple[float, int, View]] = field(default_factory=list)
    sent_count: int = 0
    displaced: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.sequence_numbers = count()
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

    def start(self, *members: int, slot: int | None = None, **changes: object) -> None:
        """Start processes. A process that already runs in the slot ends without leaving."""
        for member in members:
            own_slot = member if slot is None else slot
            instance = self.rng.getrandbits(48) << 8 | next(self.instances) % 256
            membership = Membership(self.config(member, **changes), instance, Random(instance), self.now)
            self.memberships[own_slot] = membership
            self.paused.discard(own_slot)
            self.buffered.pop(own_slot, None)
            self.carry_out(own_slot, membership, membership.step(self.now, []))

    def kill(self, *slots: int) -> None:
        for slot in slots:
            del self.memberships[slot]

    def pause(self, *slots: int) -> None:
        self.paused.update(slots)

    def resume(self, *slots: int) -> None:
        for slot in slots:
            self.paused.discard(slot)
            events = self.buffered.pop(slot, [])
            self.carry_out(slot, self.memberships[slot], self.memberships[slot].step(self.now, events))

    def leave(self, slot: int) -> None:
        self.carry_out(
            slot, self.memberships[slot], self.memberships[slot].step(self.now, [LeaveRequested()])
        )
        del self.memberships[slot]

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, slot, membership, event = heappop(self.queue)
            if self.memberships.get(slot) is not membership and not isinstance(event, MessageReceived):
                continue
            current = self.memberships.get(slot)
            if current is None:
                continue
            if slot in self.paused:
                if len(self.buffered.setdefault(slot, [])) < BUFFERED_EVENTS:
                    self.buffered[slot].append(event)
                continue
            self.carry_out(slot, current, current.step(self.now, [event]))
        self.now = until

    def carry_out(self, slot: int, membership: Membership, effects: Iterable[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.sent_count += 1
                    self.deliver(slot, to[1] - BASE_PORT, MessageReceived(message))
                case Wake(at):
                    heappush(
                        self.queue,
                        (max(at, self.now), next(self.sequence_numbers), slot, membership, Woken()),
                    )
                case Notice(kind, name):
                    self.notices.append(NoticeRecord(self.now, slot, kind, name))
                case ViewChanged(view):
                    self.views.append((self.now, slot, view))
                case Displaced():
                    self.displaced.append(slot)

    def deliver(self, sender: int, receiver: int, event: Event) -> None:
        if self.cut(sender, receiver) or receiver not in self.memberships:
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            if self.rng.random() >= self.loss:
                time = self.now + self.rng.uniform(*self.delay)
                heappush(
                    self.queue,
                    (time, next(self.sequence_numbers), receiver, self.memberships[receiver], event),
                )

    def failures(self) -> list[NoticeRecord]:
        """Return the notices that a member has failed."""
        return [notice for notice in self.notices if notice.kind == "failed"]

    def conditions(self) -> dict[int, Condition]:
        return {slot: membership.view.condition for slot, membership in self.memberships.items()}

    def agree(self, members: Iterable[int]) -> bool:
        """Return whether the view of each of these members holds exactly these members."""
        chosen = list(members)
        names = tuple(sorted(f"n{member}" for member in chosen))
        return all(self.memberships[member].view.members == names for member in chosen)

    def run_until(self, reached: Callable[[], bool], max_seconds: float) -> float:
        """Run until the condition is reached, and return the seconds that this took."""
        started_at = self.now
        while not reached():
            assert self.now - started_at < max_seconds, f"not within {max_seconds} s"
            self.run(0.1)
        return self.now - started_at
