"""Each periodic timer of a router has one chain, whatever happens to its process.

What happened: a router on a machine that pauses often sent ever more full exchanges of facts, until it was
restarted. After each pause ``Membership`` scheduled ``AntiEntropy.sync``, which renews itself, beside the
chain that was there: 11 chains after ten pauses of 60 s, and 332 exchanges in 300 s. Counting the callbacks
in the queue, and the exchanges that were begun, showed it. A pause that messages followed was also counted
once for each of them, as the wake-up that ``step`` compares with was still in the past: three notices of one.
"""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from members import Network
from test_membership import settled

from grebeproxy.membership import Membership, MessageReceived, NoticeKind, Send, Woken
from grebeproxy.membership.anti_entropy import SYNC_INTERVAL
from grebeproxy.membership.model import Effect, Kind, Message

PAUSES = 10
PAUSE = 60.0  # seconds
QUIET = 300.0  # seconds in which exchanges are counted
PERIODIC = ("join", "probe_next", "sync", "heal", "gossip")


class CountingNetwork(Network):
    """Counts the exchanges that each member begins."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.exchanges: Counter[int] = Counter()

    def carry_out(self, place: int, core: Membership, effects: list[Effect]) -> None:  # type: ignore[override]
        for effect in effects:
            if isinstance(effect, Send) and effect.message.kind is Kind.SYNC:
                self.exchanges[place] += 1
        super().carry_out(place, core, effects)


def chains(core: Membership) -> Counter[str]:
    """How often each periodic timer is scheduled."""
    callbacks = [callback for _, _, callback in core._context.timers._heap]
    names = [getattr(callback, "__name__", "") for callback in callbacks]
    return Counter(name for name in names if name in PERIODIC)


def pause_often(network: Network, place: int) -> None:
    for _ in range(PAUSES):
        network.pause(place)
        network.run(PAUSE)
        network.resume(place)
        network.run(5.0)


def test_exchanges_are_no_more_frequent_after_many_pauses() -> None:
    network = CountingNetwork(1, 3)
    network.start(*range(3))
    network.run_until(lambda: network.agree(range(3)), 60.0)
    pause_often(network, 2)
    network.run_until(lambda: network.agree(range(3)), 60.0)
    network.exchanges.clear()
    network.run(QUIET)
    shortest = 0.5 * SYNC_INTERVAL * network.config(2).period  # seconds between two exchanges of one chain
    assert 0 < network.exchanges[2] <= 1 + QUIET / shortest


@pytest.mark.parametrize("seed", range(10))
def test_each_periodic_timer_is_scheduled_once_after_pauses_partitions_and_restarts(seed: int) -> None:
    network = settled(5, seed)
    random = Random(seed)
    for _ in range(8):
        member = random.randrange(5)
        match random.randrange(4):
            case 0:
                network.pause(member)
                network.run(random.uniform(1.0, PAUSE))
                network.resume(member)
            case 1:
                side = [random.randrange(2) for _ in range(5)]
                network.cut = lambda sender, receiver, side=side: side[sender] != side[receiver]  # type: ignore[misc]
            case 2:
                network.cut = lambda sender, receiver: False
            case 3:
                network.start(member)
        network.run(random.uniform(0.0, 20.0))
    for core in network.cores.values():
        counted = chains(core)
        assert {name: counted[name] for name in PERIODIC if name != "join"} == dict.fromkeys(PERIODIC[1:], 1)
        assert counted["join"] <= 1


def test_a_pause_is_counted_once_though_a_message_comes_before_the_wake_up() -> None:
    network = settled(3, 1)
    core = network.cores[0]
    now = network.now + PAUSE
    sender = network.cores[1].me
    effects = core.step(now, [MessageReceived(Message(Kind.GOSSIP, sender))])
    effects += core.step(now, [MessageReceived(Message(Kind.GOSSIP, sender))])
    effects += core.step(now, [Woken()])
    assert [getattr(effect, "kind", None) for effect in effects].count(NoticeKind.PAUSED) == 1
