"""A change of the list counts from when it is written: how soon it is obeyed, whatever the link does."""

from __future__ import annotations

from itertools import pairwise

import pytest
from exchange import with_changes

from grebeproxy.config import parse
from grebeproxy.net import admission, events, follower
from grebeproxy.net.messages import Call, ChangeLogUpdate, Run
from grebeproxy.net.router import Router, RouterOptions
from grebeproxy.policy import interface as api

GRACE = 2.0  # of the example's settings: nothing new later than that after the change was written
ADDRESS = {"s-00000001": ("127.0.0.1", 9001)}


class Fleet:
    """A router, and a change log that answers each dial with all it holds, after ``way`` seconds."""

    def __init__(self, way: float) -> None:
        config = parse(with_changes({}))
        known = [
            ChangeLogUpdate(
                1,
                api.EngineList(api.ListKind.FULL, (api.Engine("s-00000001", "typ-a", "room-1"),), 1),
                ADDRESS,
            )
        ]
        self.now, self.way, self.number, self.runs = 0.0, way, 0, 0
        self.log: list[ChangeLogUpdate] = []
        self.answers: list[tuple[float, list[ChangeLogUpdate]]] = []  # what is on its way to the router
        self.broken_until, self.dials = 0.0, 0
        self.hanging = 0  # dials to come that never come up
        options = RouterOptions(
            config.settings,
            config.limits,
            changelog=config.changelog,
            seed=1,
            known=known,
            bounds=admission.bounds(config.sockets, config.memory_mb),
        )
        self.router = Router(options, now=0.0)
        self.carry_out(self.router.start(0.0))

    def carry_out(self, effects: list[events.Effect]) -> None:
        for effect in effects:
            match effect:
                case events.OpenChangeLog(_, seq, dial):
                    self.dials = dial
                    if self.now < self.broken_until:
                        continue
                    if self.hanging:
                        self.hanging -= 1
                        continue
                    self.carry_out(self.router.step(self.now, [events.ChangeLogOpened(dial)]))
                    newer = [ChangeLogUpdate(seq)] + [update for update in self.log if update.seq > seq]
                    self.answers.append((self.now + self.way, newer))
                case events.OpenLink(link, _):
                    self.carry_out(self.router.step(self.now, [events.LinkOpened(link)]))
                case events.Write(_, commands):
                    self.runs += sum(isinstance(command, Run) for command in commands)

    def run(self, until: float, *, frames: bool) -> None:
        """Let the time pass, with a frame each second where the link is sound, and a query each 20 ms."""
        while self.now < until:
            self.now += 0.01
            reported: list[events.Event] = [events.Woken()]
            for at, newer in [answer for answer in self.answers if answer[0] <= self.now]:
                reported += [events.ChangeLogReceived(update) for update in newer]
                self.answers.remove((at, newer))
            if frames and round(self.now * 100) % 100 == 0:
                reported.append(
                    events.ChangeLogReceived(ChangeLogUpdate(self.log[-1].seq if self.log else 1))
                )
            if round(self.now * 100) % 2 == 0:
                self.number += 1
                reported += [
                    events.ClientOpened(self.number),
                    events.ClientMessageReceived(
                        self.number,
                        Call(self.number, f"{self.number:016x}", "lookup", 0.4, b"", tenant="city"),
                    ),
                ]
            self.carry_out(self.router.step(self.now, reported))

    def drains(self) -> None:
        """The log writes that the engine drains; the connection may or may not tell."""
        draining = api.Engine("s-00000001", "typ-a", "room-1", state=api.EngineState.DRAINING)
        self.log.append(ChangeLogUpdate(2, api.EngineList(api.ListKind.CHANGES, (draining,), 2), ADDRESS))

    def obeys(self) -> bool:
        """Nothing new goes there once the grace is over."""
        self.run(self.now + GRACE - 0.02, frames=False)
        self.runs = 0
        self.run(self.now + 1.0, frames=False)
        return not self.runs


@pytest.mark.parametrize("phase", [0.0, 0.25, 0.5, 0.75, 0.99])
def test_a_link_that_falls_silent_just_before_a_change_is_given_up_in_time(phase: float) -> None:
    fleet = Fleet(way=0.05)
    fleet.run(3.0 + phase, frames=True)
    assert fleet.runs
    fleet.drains()  # the connection stays open and says no more
    assert fleet.obeys()


@pytest.mark.parametrize("phase", [0.0, 0.5, 0.99])
def test_a_dial_that_never_comes_up_is_given_up_in_time_for_another(phase: float) -> None:
    fleet = Fleet(way=0.05)
    fleet.run(3.0 + phase, frames=True)
    fleet.drains()
    fleet.hanging = 1  # the first dial after the silence
    assert fleet.obeys()


def test_connections_that_are_slow_to_come_up_are_given_ever_more_time() -> None:
    fleet = Fleet(way=0.05)
    fleet.run(2.0, frames=True)
    dials, fleet.hanging, patience = [], 5, []
    fleet.carry_out(fleet.router.step(fleet.now, [events.ChangeLogClosed("reset", fleet.dials)]))
    for _ in range(800):
        before = fleet.dials
        fleet.run(fleet.now + 0.01, frames=False)
        dials += [fleet.now] * (fleet.dials > before)
    patience = [round(later - dialled, 1) for dialled, later in pairwise(dials[:5])]
    assert patience == [0.4, 0.8, 1.6, 1.6]


def test_what_an_ended_connection_still_tells_says_nothing_of_the_next() -> None:
    fleet = Fleet(way=0.05)
    fleet.run(3.0, frames=True)
    fleet.carry_out(fleet.router.step(fleet.now, [events.ChangeLogClosed("reset", fleet.dials)]))
    fleet.run(3.2, frames=True)
    before = fleet.dials
    assert before == 2
    late: list[events.Event] = [events.ChangeLogOpened(1), events.ChangeLogClosed("reset", 1)]
    fleet.carry_out(fleet.router.step(fleet.now, late))
    fleet.run(4.0, frames=True)
    assert fleet.dials == before


@pytest.mark.parametrize("broken", [0.0, 0.3, 0.8, 1.4])
def test_a_link_that_breaks_is_dialled_until_it_is_heard(broken: float) -> None:
    fleet = Fleet(way=0.05)
    fleet.run(3.0, frames=True)
    fleet.drains()
    written, fleet.broken_until = fleet.now, fleet.now + broken  # connections are refused at first
    fleet.carry_out(fleet.router.step(fleet.now, [events.ChangeLogClosed("reset", fleet.dials)]))
    while fleet.now < written + GRACE - 0.02:
        fleet.run(fleet.now + 0.03, frames=False)
        if fleet.now < fleet.broken_until:
            fleet.carry_out(fleet.router.step(fleet.now, [events.ChangeLogClosed("refused", fleet.dials)]))
    fleet.runs = 0
    fleet.run(fleet.now + 1.0, frames=False)
    assert not fleet.runs


def test_a_start_takes_nobody_before_it_has_heard_what_was_written_meanwhile() -> None:
    fleet = Fleet(way=follower.FIRST_EVENT_TIMEOUT / 2)
    fleet.drains()  # after the configuration was made, before the router asked
    fleet.answers = [(at, [ChangeLogUpdate(1), *fleet.log]) for at, _ in fleet.answers]
    listening = [fleet.router.step(0.01, [])]
    for step in range(2, 20):
        fleet.now = step / 100
        heard = [
            events.ChangeLogReceived(update)
            for at, newer in fleet.answers
            if at <= fleet.now
            for update in newer
        ]
        fleet.answers = [answer for answer in fleet.answers if answer[0] > fleet.now]
        listening.append(fleet.router.step(fleet.now, heard))
        if events.StartListening() in listening[-1]:
            break
    fleet.run(0.6, frames=False)
    assert events.StartListening() in listening[-1] and not fleet.runs
