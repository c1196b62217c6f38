"""How soon a written change of the engine list takes effect, whatever happens to the connection."""

from __future__ import annotations

from itertools import pairwise

import pytest
from exchange import router_options

from grebeproxy.net import events, follower
from grebeproxy.net.messages import Call, ChangeLogUpdate, Run
from grebeproxy.net.router import Router
from grebeproxy.policy import interface as api

# Seconds after a drain was written in which new requests may still be sent. The value is that of the
# example's settings.
DRAIN_GRACE = 2.0
ADDRESS = {"s-00000001": ("127.0.0.1", 9001)}


class FollowedChangeLog:
    """A router and its change log, which answers a dial with all newer events after ``latency`` seconds."""

    def __init__(self, latency: float) -> None:
        known = [
            ChangeLogUpdate(
                1,
                api.EngineList(api.ListKind.FULL, (api.Engine("s-00000001", "typ-a", "room-1"),), 1),
                ADDRESS,
            )
        ]
        self.now, self.latency, self.client_number, self.runs = 0.0, latency, 0, 0
        self.log: list[ChangeLogUpdate] = []  # the events of the change log
        # Events that are on their way to the router, with their times of arrival.
        self.in_transit: list[tuple[float, list[ChangeLogUpdate]]] = []
        self.broken_until, self.dials = 0.0, 0
        self.hanging_dials = 0  # how many of the next dials never connect
        options = router_options(known)
        self.router = Router(options, now=0.0)
        self.carry_out(self.router.start(0.0))

    def carry_out(self, effects: list[events.Effect]) -> None:
        for effect in effects:
            match effect:
                case events.OpenChangeLog(_, seq, dial):
                    self.dials = dial
                    if self.now < self.broken_until:
                        continue
                    if self.hanging_dials:
                        self.hanging_dials -= 1
                        continue
                    self.carry_out(self.router.step(self.now, [events.ChangeLogOpened(dial)]))
                    newer = [ChangeLogUpdate(seq)] + [update for update in self.log if update.seq > seq]
                    self.in_transit.append((self.now + self.latency, newer))
                case events.OpenLink(link, _):
                    self.carry_out(self.router.step(self.now, [events.LinkOpened(link)]))
                case events.Write(_, commands):
                    self.runs += sum(isinstance(command, Run) for command in commands)

    def run(self, until: float, *, frames: bool) -> None:
        """Let time pass, with a query every 20 ms, and with a keep-alive frame every second if ``frames``."""
        while self.now < until:
            self.now += 0.01
            reported: list[events.Event] = [events.Woken()]
            for arrives_at, newer in [sent for sent in self.in_transit if sent[0] <= self.now]:
                reported += [events.ChangeLogReceived(update) for update in newer]
                self.in_transit.remove((arrives_at, newer))
            if frames and round(self.now * 100) % 100 == 0:
                reported.append(
                    events.ChangeLogReceived(ChangeLogUpdate(self.log[-1].seq if self.log else 1))
                )
            if round(self.now * 100) % 2 == 0:
                self.client_number += 1
                reported += [
                    events.ClientOpened(self.client_number),
                    events.ClientMessageReceived(
                        self.client_number,
                        Call(
                            self.client_number,
                            f"{self.client_number:016x}",
                            "lookup",
                            0.4,
                            b"",
                            tenant="city",
                        ),
                    ),
                ]
            self.carry_out(self.router.step(self.now, reported))

    def drain_engine(self) -> None:
        """Write to the change log that the engine is draining. The connection may or may not deliver it."""
        draining = api.Engine("s-00000001", "typ-a", "room-1", state=api.EngineState.DRAINING)
        self.log.append(ChangeLogUpdate(2, api.EngineList(api.ListKind.CHANGES, (draining,), 2), ADDRESS))

    def obeys_drain(self) -> bool:
        """Whether no new request is sent to the engine once the grace period is over."""
        self.run(self.now + DRAIN_GRACE - 0.02, frames=False)
        self.runs = 0
        self.run(self.now + 1.0, frames=False)
        return not self.runs


@pytest.mark.parametrize("phase", [0.0, 0.25, 0.5, 0.75, 0.99])
def test_a_connection_that_falls_silent_just_before_a_change_times_out_early_enough(phase: float) -> None:
    followed = FollowedChangeLog(latency=0.05)
    followed.run(3.0 + phase, frames=True)
    assert followed.runs
    followed.drain_engine()  # The connection stays open and delivers nothing more.
    assert followed.obeys_drain()


@pytest.mark.parametrize("phase", [0.0, 0.5, 0.99])
def test_a_dial_that_hangs_times_out_early_enough_for_another(phase: float) -> None:
    followed = FollowedChangeLog(latency=0.05)
    followed.run(3.0 + phase, frames=True)
    followed.drain_engine()
    followed.hanging_dials = 1  # the first dial after the silence
    assert followed.obeys_drain()


def test_the_connect_timeout_doubles_while_connections_hang() -> None:
    followed = FollowedChangeLog(latency=0.05)
    followed.run(2.0, frames=True)
    dials: list[float] = []
    followed.hanging_dials = 5
    followed.carry_out(followed.router.step(followed.now, [events.ChangeLogClosed("reset", followed.dials)]))
    for _ in range(800):
        before = followed.dials
        followed.run(followed.now + 0.01, frames=False)
        dials += [followed.now] * (followed.dials > before)
    timeouts = [round(later - dialled, 1) for dialled, later in pairwise(dials[:5])]
    assert timeouts == [0.4, 0.8, 1.6, 1.6]


def test_late_events_of_a_closed_connection_do_not_affect_the_next() -> None:
    followed = FollowedChangeLog(latency=0.05)
    followed.run(3.0, frames=True)
    followed.carry_out(followed.router.step(followed.now, [events.ChangeLogClosed("reset", followed.dials)]))
    followed.run(3.2, frames=True)
    before = followed.dials
    assert before == 2
    late: list[events.Event] = [events.ChangeLogOpened(1), events.ChangeLogClosed("reset", 1)]
    followed.carry_out(followed.router.step(followed.now, late))
    followed.run(4.0, frames=True)
    assert followed.dials == before


@pytest.mark.parametrize("broken", [0.0, 0.3, 0.8, 1.4])
def test_a_broken_connection_is_dialled_again_until_it_delivers(broken: float) -> None:
    followed = FollowedChangeLog(latency=0.05)
    followed.run(3.0, frames=True)
    followed.drain_engine()
    written, followed.broken_until = followed.now, followed.now + broken  # Connections are refused at first.
    followed.carry_out(followed.router.step(followed.now, [events.ChangeLogClosed("reset", followed.dials)]))
    while followed.now < written + DRAIN_GRACE - 0.02:
        followed.run(followed.now + 0.03, frames=False)
        if followed.now < followed.broken_until:
            followed.carry_out(
                followed.router.step(followed.now, [events.ChangeLogClosed("refused", followed.dials)])
            )
    followed.runs = 0
    followed.run(followed.now + 1.0, frames=False)
    assert not followed.runs


def test_a_start_accepts_no_clients_before_it_received_what_was_written_meanwhile() -> None:
    followed = FollowedChangeLog(latency=follower.FIRST_EVENT_TIMEOUT / 2)
    followed.drain_engine()  # written after the configuration was made and before the router subscribes
    followed.in_transit = [
        (arrives_at, [ChangeLogUpdate(1), *followed.log]) for arrives_at, _ in followed.in_transit
    ]
    listening = [followed.router.step(0.01, [])]
    for step in range(2, 20):
        followed.now = step / 100
        received = [
            events.ChangeLogReceived(update)
            for arrives_at, newer in followed.in_transit
            if arrives_at <= followed.now
            for update in newer
        ]
        followed.in_transit = [sent for sent in followed.in_transit if sent[0] > followed.now]
        listening.append(followed.router.step(followed.now, received))
        if events.StartListening() in listening[-1]:
            break
    followed.run(0.6, frames=False)
    assert events.StartListening() in listening[-1] and not followed.runs
