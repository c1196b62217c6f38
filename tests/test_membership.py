"""Membership in simulated networks with losses, partitions, pauses, restarts and duplicate names."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from simulated_members import SimulatedNetwork

from grebeproxy.membership import Condition, MessageReceived, Membership, Message
from grebeproxy.membership.model import Fact, Kind, State

SEEDS = range(40)
MAY_ACT = (Condition.QUORATE, Condition.SETTLED)


def settled_network(member_count: int, seed: int, **changes: object) -> SimulatedNetwork:
    network = SimulatedNetwork(seed, member_count, **changes)  # type: ignore[arg-type]
    network.start(*range(member_count))
    network.run_until(lambda: network.agree(range(member_count)), 60.0)
    return network


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("member_count", [2, 3, 5, 9])
def test_all_members_agree_on_one_view_and_settle(member_count: int, seed: int) -> None:
    network = settled_network(member_count, seed)
    network.run(6.0)
    assert set(network.conditions().values()) == {Condition.SETTLED}
    assert not network.failures()


@pytest.mark.parametrize("seed", SEEDS)
def test_a_killed_member_has_failed_for_all_others(seed: int) -> None:
    network = settled_network(9, seed)
    network.kill(4)
    seconds = network.run_until(lambda: network.agree([0, 1, 2, 3, 5, 6, 7, 8]), 30.0)
    assert seconds > 2.0  # One missing answer must not make a member fail.


@pytest.mark.parametrize("seed", SEEDS)
def test_loss_duplication_and_reordering_fail_nobody_for_long(seed: int) -> None:
    network = settled_network(9, seed, loss=0.3, duplication=0.3, delay=(0.001, 0.2))
    network.run(60.0)
    network.loss = 0.0
    network.run_until(lambda: network.agree(range(9)), 60.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_one_way_partitions_fail_nobody(seed: int) -> None:
    network = settled_network(5, seed)
    network.cut = lambda sender, receiver: (sender, receiver) in {(0, 1), (3, 2)}
    network.run(30.0)
    assert network.agree(range(5)) and not network.failures()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("member_count", "partition_count"), [(4, 2), (5, 2), (9, 3), (9, 2)])
def test_at_most_one_side_of_a_detected_partition_is_quorate_and_all_sides_merge_again(
    member_count: int, partition_count: int, seed: int
) -> None:
    network = settled_network(member_count, seed)
    partition_of = [network.rng.randrange(partition_count) for _ in range(member_count)]
    network.cut = lambda sender, receiver: partition_of[sender] != partition_of[receiver]
    partitions = [
        [member for member in range(member_count) if partition_of[member] == group]
        for group in range(partition_count)
    ]
    network.run_until(lambda: all(network.agree(partition) for partition in partitions), 60.0)
    for partition in partitions:
        may_act = {network.memberships[member].view.condition in MAY_ACT for member in partition}
        assert may_act <= {2 * len(partition) > member_count}
    for group in range(1, partition_count):  # The partitions are joined one after another.
        partition_of = [0 if other == group else other for other in partition_of]
        network.run(network.rng.uniform(0.0, 20.0))
    network.run_until(lambda: network.agree(range(member_count)), 120.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_paused_process_does_not_fail_the_others(seed: int) -> None:
    network = settled_network(5, seed)
    network.pause(2)
    network.run_until(
        lambda: network.agree([0, 1, 3, 4])
        if 2 not in network.memberships
        else all("n2" not in network.memberships[member].view.members for member in (0, 1, 3, 4)),
        60.0,
    )
    network.run(20.0)
    resumed_at = network.now
    network.resume(2)
    # The process has heard no member since the pause.
    assert network.memberships[2].view.condition is Condition.ALONE
    network.run_until(lambda: network.agree(range(5)), 30.0)
    assert not [notice for notice in network.failures() if notice.time >= resumed_at]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_restarted_process_takes_over_its_name_at_once(seed: int) -> None:
    network = settled_network(5, seed)
    for _ in range(3):
        network.start(3)
        network.run_until(
            lambda: network.agree(range(5))
            and len({membership.facts["n3"].instance for membership in network.memberships.values()}) == 1,
            30.0,
        )
    network.kill(3)
    network.run_until(lambda: network.agree([0, 1, 2, 4]), 60.0)
    network.start(3)  # Its new incarnation is below the one that the other members hold.
    network.run_until(lambda: network.agree(range(5)), 30.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_one_of_two_processes_of_a_name_is_displaced(seed: int) -> None:
    network = settled_network(4, seed)
    # The second process has the same name at another address.
    network.start(2, slot=7, address=("127.0.0.1", 9007))
    network.run_until(lambda: len(network.displaced) > 0, 60.0)
    network.run(30.0)
    assert len(network.displaced) == 1
    [yielding] = network.displaced
    [remaining] = {2, 7} - {yielding}
    assert network.memberships[remaining].me.instance > network.memberships[yielding].me.instance
    assert network.memberships[yielding].view.condition is Condition.ALONE
    assert all("n2" in membership.view.members for membership in network.memberships.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_a_flapping_member_does_not_fail_others(seed: int) -> None:
    network = settled_network(5, seed)
    for _ in range(10):
        network.pause(1)
        network.run(network.rng.uniform(0.5, 6.0))
        network.resume(1)
        network.run(network.rng.uniform(0.5, 3.0))
    network.run_until(lambda: network.agree(range(5)), 60.0)
    assert {notice.name for notice in network.failures() if notice.slot != 1} <= {"n1"}


def test_members_that_all_restart_at_once_agree_again() -> None:
    network = settled_network(9, 1)
    network.start(*range(9))
    network.run(1.0)
    network.run_until(lambda: network.agree(range(9)), 60.0)
    assert len({membership.facts["n0"].instance for membership in network.memberships.values()}) == 1


def test_a_member_that_leaves_is_not_suspected_first() -> None:
    network = settled_network(5, 1)
    network.leave(3)
    network.run_until(lambda: network.agree([0, 1, 2, 4]), 3.0)
    assert {notice.kind for notice in network.notices if notice.name == "n3"} == {"joined", "left"}


def test_one_right_seed_is_enough() -> None:
    network = SimulatedNetwork(1, 4, seeds=(77, 78, 79, 80, 0))
    network.start(*range(4))
    network.run_until(lambda: network.agree(range(4)), 60.0)


def test_without_seeds_a_router_is_alone_unless_it_is_the_whole_fleet() -> None:
    network = SimulatedNetwork(1, 3, seeds=())
    network.start(0)
    network.run(20.0)
    assert network.conditions() == {0: Condition.ALONE}
    whole_fleet = SimulatedNetwork(1, 1, seeds=())
    whole_fleet.start(0)
    whole_fleet.run(20.0)
    assert whole_fleet.conditions() == {0: Condition.SETTLED}


@pytest.mark.parametrize("member_count", [50, 200])
def test_large_fleets_agree_and_detect_a_failure(member_count: int) -> None:
    network = settled_network(member_count, 3)
    network.run(20.0)
    network.kill(member_count // 2)
    remaining = [member for member in range(member_count) if member != member_count // 2]
    network.run_until(lambda: network.agree(remaining), 60.0)
    assert {notice.name for notice in network.failures()} == {f"n{member_count // 2}"}


def test_the_number_of_names_is_bounded() -> None:
    network = SimulatedNetwork(1, 2)
    network.start(*range(40))
    network.run(20.0)
    assert max(len(membership.facts) for membership in network.memberships.values()) <= 12


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
    """For each known name the table holds the fact of the highest rank."""
    shuffled = list(facts)
    random.shuffle(shuffled)
    # Each name is made known first, because the table ignores the failure or leave of an unknown member.
    known = [Fact(name, ("127.0.0.1", 9001), 0, 0, State.ALIVE) for name in ("n1", "n2")]
    ranks = []
    for order in (facts, shuffled, shuffled + facts):
        membership = Membership(SimulatedNetwork(1, 3).config(0), 7, Random(1), 0.0)
        sender = Fact("n9", ("127.0.0.1", 9009), 9, 0, State.ALIVE)
        for fact in [*known, *order]:
            membership.step(0.0, [MessageReceived(Message(Kind.GOSSIP, sender, facts=(fact,)))])
        ranks.append({name: membership.facts[name].rank for name in ("n1", "n2")})
    highest_ranks = {
        name: max(fact.rank for fact in [*known, *facts] if fact.name == name) for name in ("n1", "n2")
    }
    assert ranks == [highest_ranks] * 3
