"""Each periodic timer of a router is scheduled once, whatever happens to its process.

The tests guard against two failures. After each pause ``Membership`` scheduled ``AntiEntropy.sync``, which
schedules itself again, in addition to the chain of that timer that existed. A router on a machine that paused
often therefore sent ever more full exchanges of facts until it was restarted: 11 chains after ten pauses of
60 s, and 332 exchanges in 300 s. The number of callbacks in the queue and the number of exchanges show this.

A pause that was followed by messages was also reported once for each message, because the wake-up that
``step`` compares with was still in the past: three notices of one pause.
"""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from simulated_members import SimulatedNetwork
from test_membership import settled_network

from grebeproxy.membership import Membership, MessageReceived, NoticeKind, Send, Woken
from grebeproxy.membership.anti_entropy import SYNC_INTERVAL
from grebeproxy.membership.model import Effect, Kind, Message

PAUSE_COUNT = 10
PAUSE_SECONDS = 60.0
QUIET_SECONDS = 300.0  # duration for which exchanges are counted
PERIODIC_TIMERS = ("join", "probe_next", "sync", "heal", "gossip")


class CountingNetwork(SimulatedNetwork):
    """Counts the full exchanges of facts that each member begins."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.exchanges: Counter[int] = Counter()

    def carry_out(self, slot: int, membership: Membership, effects: list[Effect]) -> None:  # type: ignore[override]
        for effect in effects:
            if isinstance(effect, Send) and effect.message.kind is Kind.SYNC:
                self.exchanges[slot] += 1
        super().carry_out(slot, membership, effects)


def count_scheduled_timers(membership: Membership) -> Counter[str]:
    """Return how often each periodic timer is scheduled."""
    callbacks = [callback for _, _, callback in membership._context.timers._heap]
    names = [getattr(callback, "__name__", "") for callback in callbacks]
    return Counter(name for name in names if name in PERIODIC_TIMERS)


def pause_repeatedly(network: SimulatedNetwork, slot: int) -> None:
    for _ in range(PAUSE_COUNT):
        network.pause(slot)
        network.run(PAUSE_SECONDS)
        network.resume(slot)
        network.run(5.0)


def test_exchanges_are_no_more_frequent_after_many_pauses() -> None:
    network = CountingNetwork(1, 3)
    network.start(*range(3))
    network.run_until(lambda: network.agree(range(3)), 60.0)
    pause_repeatedly(network, 2)
    network.run_until(lambda: network.agree(range(3)), 60.0)
    network.exchanges.clear()
    network.run(QUIET_SECONDS)
    min_interval = 0.5 * SYNC_INTERVAL * network.config(2).period  # seconds between two exchanges
    assert 0 < network.exchanges[2] <= 1 + QUIET_SECONDS / min_interval


@pytest.mark.parametrize("seed", range(10))
def test_each_periodic_timer_is_scheduled_once_after_pauses_partitions_and_restarts(seed: int) -> None:
    network = settled_network(5, seed)
    random = Random(seed)
    for _ in range(8):
        member = random.randrange(5)
        match random.randrange(4):
            case 0:
                network.pause(member)
                network.run(random.uniform(1.0, PAUSE_SECONDS))
                network.resume(member)
            case 1:
                side = [random.randrange(2) for _ in range(5)]
                network.cut = lambda sender, receiver, side=side: side[sender] != side[receiver]  # type: ignore[misc]
            case 2:
                network.cut = lambda sender, receiver: False
            case 3:
                network.start(member)
        network.run(random.uniform(0.0, 20.0))
    for membership in network.memberships.values():
        scheduled = count_scheduled_timers(membership)
        assert {name: scheduled[name] for name in PERIODIC_TIMERS if name != "join"} == dict.fromkeys(
            PERIODIC_TIMERS[1:], 1
        )
        assert scheduled["join"] <= 1


def test_a_pause_is_reported_once_though_messages_come_before_the_wake_up() -> None:
    network = settled_network(3, 1)
    membership = network.memberships[0]
    now = network.now + PAUSE_SECONDS
    sender = network.memberships[1].me
    effects = membership.step(now, [MessageReceived(Message(Kind.GOSSIP, sender))])
    effects += membership.step(now, [MessageReceived(Message(Kind.GOSSIP, sender))])
    effects += membership.step(now, [Woken()])
    assert [getattr(effect, "kind", None) for effect in effects].count(NoticeKind.PAUSED) == 1
