"""Membership in seeded schedules: losses, partitions, pauses, restarts and duplicate names."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from members import Network

from grebeproxy.membership import Condition, MessageReceived, Membership, Message
from grebeproxy.membership.model import Fact, Kind, State

SEEDS = range(40)
MAY_ACT = (Condition.QUORATE, Condition.SETTLED)


def settled(n: int, seed: int, **changes: object) -> Network:
    network = Network(seed, n, **changes)  # type: ignore[arg-type]
    network.start(*range(n))
    network.run_until(lambda: network.agree(range(n)), 60.0)
    return network


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("n", [2, 3, 5, 9])
def test_all_members_agree_on_one_view_and_settle(n: int, seed: int) -> None:
    network = settled(n, seed)
    network.run(6.0)
    assert set(network.conditions().values()) == {Condition.SETTLED}
    assert not network.failures()


@pytest.mark.parametrize("seed", SEEDS)
def test_a_killed_member_has_failed_for_all_others(seed: int) -> None:
    network = settled(9, seed)
    network.kill(4)
    seconds = network.run_until(lambda: network.agree([0, 1, 2, 3, 5, 6, 7, 8]), 30.0)
    assert seconds > 2.0  # never at the first missing answer


@pytest.mark.parametrize("seed", SEEDS)
def test_loss_duplication_and_reordering_fail_nobody_for_long(seed: int) -> None:
    network = settled(9, seed, loss=0.3, duplication=0.3, delay=(0.001, 0.2))
    network.run(60.0)
    network.loss = 0.0
    network.run_until(lambda: network.agree(range(9)), 60.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_one_way_partitions_fail_nobody(seed: int) -> None:
    network = settled(5, seed)
    network.cut = lambda sender, receiver: (sender, receiver) in {(0, 1), (3, 2)}
    network.run(30.0)
    assert network.agree(range(5)) and not network.failures()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("n", "groups"), [(4, 2), (5, 2), (9, 3), (9, 2)])
def test_at_most_one_side_of_a_detected_partition_is_quorate_and_all_sides_merge_again(
    n: int, groups: int, seed: int
) -> None:
    network = settled(n, seed)
    side = [network.rng.randrange(groups) for _ in range(n)]
    network.cut = lambda sender, receiver: side[sender] != side[receiver]
    parts = [[m for m in range(n) if side[m] == group] for group in range(groups)]
    network.run_until(lambda: all(network.agree(part) for part in parts), 60.0)
    for part in parts:
        may_act = {network.cores[m].view.condition in MAY_ACT for m in part}
        assert may_act <= {2 * len(part) > n}
    for group in range(1, groups):  # healed one after another
        side = [0 if other == group else other for other in side]
        network.run(network.rng.uniform(0.0, 20.0))
    network.run_until(lambda: network.agree(range(n)), 120.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_paused_process_does_not_fail_the_others(seed: int) -> None:
    network = settled(5, seed)
    network.pause(2)
    network.run_until(
        lambda: network.agree([0, 1, 3, 4])
        if 2 not in network.cores
        else all("n2" not in network.cores[m].view.members for m in (0, 1, 3, 4)),
        60.0,
    )
    network.run(20.0)
    began = network.now
    network.resume(2)
    assert network.cores[2].view.condition is Condition.ALONE  # it has heard nobody since the pause
    network.run_until(lambda: network.agree(range(5)), 30.0)
    assert not [notice for notice in network.failures() if notice.time >= began]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_restarted_process_takes_over_its_name_at_once(seed: int) -> None:
    network = settled(5, seed)
    for _ in range(3):
        network.start(3)
        network.run_until(
            lambda: network.agree(range(5))
            and len({core.facts["n3"].instance for core in network.cores.values()}) == 1,
            30.0,
        )
    network.kill(3)
    network.run_until(lambda: network.agree([0, 1, 2, 4]), 60.0)
    network.start(3)  # its incarnation begins anew, below the one that others hold
    network.run_until(lambda: network.agree(range(5)), 30.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_one_of_two_processes_of_a_name_is_displaced(seed: int) -> None:
    network = settled(4, seed)
    network.start(2, place=7, address=("127.0.0.1", 9007))  # the same name at another address
    network.run_until(lambda: len(network.displaced) > 0, 60.0)
    network.run(30.0)
    assert len(network.displaced) == 1
    [yielding] = network.displaced
    [stays] = {2, 7} - {yielding}
    assert network.cores[stays].me.instance > network.cores[yielding].me.instance
    assert network.cores[yielding].view.condition is Condition.ALONE
    assert all("n2" in core.view.members for core in network.cores.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_a_flapping_member_does_not_fail_others(seed: int) -> None:
    network = settled(5, seed)
    for _ in range(10):
        network.pause(1)
        network.run(network.rng.uniform(0.5, 6.0))
        network.resume(1)
        network.run(network.rng.uniform(0.5, 3.0))
    network.run_until(lambda: network.agree(range(5)), 60.0)
    assert {notice.name for notice in network.failures() if notice.place != 1} <= {"n1"}


def test_members_that_all_restart_at_once_agree_again() -> None:
    network = settled(9, 1)
    network.start(*range(9))
    network.run(1.0)
    network.run_until(lambda: network.agree(range(9)), 60.0)
    assert len({core.facts["n0"].instance for core in network.cores.values()}) == 1


def test_a_member_that_leaves_is_not_suspected_first() -> None:
    network = settled(5, 1)
    network.leave(3)
    network.run_until(lambda: network.agree([0, 1, 2, 4]), 3.0)
    assert {notice.kind for notice in network.notices if notice.name == "n3"} == {"joined", "left"}


def test_one_right_seed_is_enough() -> None:
    network = Network(1, 4, seeds=(77, 78, 79, 80, 0))
    network.start(*range(4))
    network.run_until(lambda: network.agree(range(4)), 60.0)


def test_without_seeds_a_router_is_alone_unless_it_is_the_whole_fleet() -> None:
    network = Network(1, 3, seeds=())
    network.start(0)
    network.run(20.0)
    assert network.conditions() == {0: Condition.ALONE}
    whole_fleet = Network(1, 1, seeds=())
    whole_fleet.start(0)
    whole_fleet.run(20.0)
    assert whole_fleet.conditions() == {0: Condition.SETTLED}


@pytest.mark.parametrize("n", [50, 200])
def test_large_fleets_agree_and_detect_a_failure(n: int) -> None:
    network = settled(n, 3)
    network.run(20.0)
    network.kill(n // 2)
    rest = [m for m in range(n) if m != n // 2]
    network.run_until(lambda: network.agree(rest), 60.0)
    assert {notice.name for notice in network.failures()} == {f"n{n // 2}"}


def test_the_number_of_names_is_bounded() -> None:
    network = Network(1, 2)
    network.start(*range(40))
    network.run(20.0)
    assert max(len(core.facts) for core in network.cores.values()) <= 12


FACTS = st.builds(
    Fact,
    st.sampled_from(["n1", "n2"]),
    st.just(("127.0.0.1", 9001)),
    st.integers(1, 2),
    st.integers(0, 2),
    st.sampled_from(State),
)


@given(st.lists(FACTS, max_size=8), st.randoms(use_true_random=False))
def test_the_table_does_not_depend_on_the_order_of_facts(facts: list[Fact], random: Random) -> None:
    """The model: for each name the fact of the highest rank, once the name is known."""
    shuffled = list(facts)
    random.shuffle(shuffled)
    # Each name is known first, because the end of an unknown member is ignored.
    known = [Fact(name, ("127.0.0.1", 9001), 0, 0, State.ALIVE) for name in ("n1", "n2")]
    held = []
    for order in (facts, shuffled, shuffled + facts):
        core = Membership(Network(1, 3).config(0), 7, Random(1), 0.0)
        sender = Fact("n9", ("127.0.0.1", 9009), 9, 0, State.ALIVE)
        for fact in [*known, *order]:
            core.step(0.0, [MessageReceived(Message(Kind.GOSSIP, sender, facts=(fact,)))])
        held.append({name: core.facts[name].rank for name in ("n1", "n2")})
    best = {name: max(fact.rank for fact in [*known, *facts] if fact.name == name) for name in ("n1", "n2")}
    assert held == [best] * 3
