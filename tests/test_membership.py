"""Who is there: seeded schedules of many cores, with losses, cuts, stalls, restarts and twins."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from members import Net

from grebeproxy.membership import Condition, MessageReceived, Membership, Message
from grebeproxy.membership.model import Fact, Kind, State

SEEDS = range(40)
ACTS = (Condition.QUORATE, Condition.SETTLED)


def settled(n: int, seed: int, **changes: object) -> Net:
    net = Net(seed, n, **changes)  # type: ignore[arg-type]
    net.start(*range(n))
    net.until(lambda: net.agree(range(n)), 60.0)
    return net


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("n", [2, 3, 5, 9])
def test_all_come_to_one_view_and_settle(n: int, seed: int) -> None:
    net = settled(n, seed)
    net.run(6.0)
    assert set(net.conditions().values()) == {Condition.SETTLED}
    assert not [entry for entry in net.told if entry[2] == "failed"]


@pytest.mark.parametrize("seed", SEEDS)
def test_one_that_is_killed_is_found_by_all(seed: int) -> None:
    net = settled(9, seed)
    net.kill(4)
    took = net.until(lambda: net.agree([0, 1, 2, 3, 5, 6, 7, 8]), 30.0)
    assert took > 2.0  # never at the first answer that is missing


@pytest.mark.parametrize("seed", SEEDS)
def test_loss_doubling_and_reordering_fail_nobody_for_long(seed: int) -> None:
    net = settled(9, seed, loss=0.3, twice=0.3, delay=(0.001, 0.2))
    net.run(60.0)
    net.loss = 0.0
    net.until(lambda: net.agree(range(9)), 60.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_one_way_cuts_fail_nobody(seed: int) -> None:
    net = settled(5, seed)
    net.cut = lambda a, b: (a, b) in {(0, 1), (3, 2)}
    net.run(30.0)
    assert net.agree(range(5)) and not [entry for entry in net.told if entry[2] == "failed"]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("n", "groups"), [(4, 2), (5, 2), (9, 3), (9, 2)])
def test_no_two_sides_of_a_cut_are_quorate_once_it_is_found_and_all_meet_again(
    n: int, groups: int, seed: int
) -> None:
    net = settled(n, seed)
    side = [net.rng.randrange(groups) for _ in range(n)]
    net.cut = lambda a, b: side[a] != side[b]
    parts = [[m for m in range(n) if side[m] == group] for group in range(groups)]
    net.until(lambda: all(net.agree(part) for part in parts), 60.0)
    for part in parts:
        acts = {net.cores[m].view.condition in ACTS for m in part}
        assert acts <= {2 * len(part) > n}
    for group in range(1, groups):  # healed one after another
        side = [0 if s == group else s for s in side]
        net.run(net.rng.uniform(0.0, 20.0))
    net.until(lambda: net.agree(range(n)), 120.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_one_that_stood_still_does_not_take_the_others_for_failed(seed: int) -> None:
    net = settled(5, seed)
    net.freeze(2)
    net.until(
        lambda: net.agree([0, 1, 3, 4])
        if 2 not in net.cores
        else all("n2" not in net.cores[m].view.members for m in (0, 1, 3, 4)),
        60.0,
    )
    net.run(20.0)
    began = net.now
    net.thaw(2)
    assert net.cores[2].view.condition is Condition.ALONE  # it has heard nobody since, and knows it
    net.until(lambda: net.agree(range(5)), 30.0)
    assert not [entry for entry in net.told if entry[0] >= began and entry[2] == "failed"]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_name_comes_back_as_another_process_at_once(seed: int) -> None:
    net = settled(5, seed)
    for _ in range(3):
        net.start(3)
        net.until(
            lambda: net.agree(range(5))
            and len({core.facts["n3"].instance for core in net.cores.values()}) == 1,
            30.0,
        )
    net.kill(3)
    net.until(lambda: net.agree([0, 1, 2, 4]), 60.0)
    net.start(3)  # its incarnation begins anew, below what is held of it
    net.until(lambda: net.agree(range(5)), 30.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_of_two_processes_of_one_name_one_yields(seed: int) -> None:
    net = settled(4, seed)
    net.start(2, at=7, address=("127.0.0.1", 9007))  # again, elsewhere
    net.until(lambda: len(net.displaced) > 0, 60.0)
    net.run(30.0)
    assert len(net.displaced) == 1
    [yielded] = net.displaced
    [stays] = {2, 7} - {yielded}
    assert net.cores[stays].me.instance > net.cores[yielded].me.instance
    assert net.cores[yielded].view.condition is Condition.ALONE
    assert all("n2" in core.view.members for core in net.cores.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_one_that_flaps_does_not_take_others_with_it(seed: int) -> None:
    net = settled(5, seed)
    for _ in range(10):
        net.freeze(1)
        net.run(net.rng.uniform(0.5, 6.0))
        net.thaw(1)
        net.run(net.rng.uniform(0.5, 3.0))
    net.until(lambda: net.agree(range(5)), 60.0)
    assert {name for _, who, word, name in net.told if word == "failed" and who != 1} <= {"n1"}


def test_all_that_restart_at_once_meet_again() -> None:
    net = settled(9, 1)
    net.start(*range(9))
    net.run(1.0)
    net.until(lambda: net.agree(range(9)), 60.0)
    assert len({core.facts["n0"].instance for core in net.cores.values()}) == 1


def test_one_that_leaves_is_not_suspected_first() -> None:
    net = settled(5, 1)
    net.leave(3)
    net.until(lambda: net.agree([0, 1, 2, 4]), 3.0)
    assert {word for _, _, word, name in net.told if name == "n3"} == {"joined", "left"}


def test_seeds_that_are_wrong_but_for_one_are_enough() -> None:
    net = Net(1, 4, seeds=(77, 78, 79, 80, 0))
    net.start(*range(4))
    net.until(lambda: net.agree(range(4)), 60.0)


def test_alone_without_seeds_it_is_alone_unless_it_is_the_fleet() -> None:
    net = Net(1, 3, seeds=())
    net.start(0)
    net.run(20.0)
    assert net.conditions() == {0: Condition.ALONE}
    one = Net(1, 1, seeds=())
    one.start(0)
    one.run(20.0)
    assert one.conditions() == {0: Condition.SETTLED}


@pytest.mark.parametrize("n", [50, 200])
def test_large_fleets_agree_and_find_a_failed_one(n: int) -> None:
    net = settled(n, 3)
    net.run(20.0)
    net.kill(n // 2)
    rest = [m for m in range(n) if m != n // 2]
    net.until(lambda: net.agree(rest), 60.0)
    assert {name for _, _, word, name in net.told if word == "failed"} == {f"n{n // 2}"}


def test_names_beyond_what_can_be_are_not_kept() -> None:
    net = Net(1, 2)
    net.start(*range(40))
    net.run(20.0)
    assert max(len(core.facts) for core in net.cores.values()) <= 12


FACTS_PER_MESSAGE = st.builds(
    Fact,
    st.sampled_from(["n1", "n2"]),
    st.just(("127.0.0.1", 9001)),
    st.integers(1, 2),
    st.integers(0, 2),
    st.sampled_from(State),
)


@given(st.lists(FACTS_PER_MESSAGE, max_size=8), st.randoms(use_true_random=False))
def test_what_is_held_does_not_depend_on_the_order_of_facts(facts: list[Fact], random: Random) -> None:
    """The model: for each name the fact of the highest rank, once anything but an end was heard of it."""
    shuffled = list(facts)
    random.shuffle(shuffled)
    # Each name is known first, so that an end is not ignored as one of somebody unknown.
    known = [Fact(name, ("127.0.0.1", 9001), 0, 0, State.ALIVE) for name in ("n1", "n2")]
    held = []
    for order in (facts, shuffled, shuffled + facts):
        core = Membership(Net(1, 3).config(0), 7, Random(1), 0.0)
        sender = Fact("n9", ("127.0.0.1", 9009), 9, 0, State.ALIVE)
        for fact in [*known, *order]:
            core.step(0.0, [MessageReceived(Message(Kind.GOSSIP, sender, facts=(fact,)))])
        held.append({name: core.facts[name].rank for name in ("n1", "n2")})
    best = {name: max(fact.rank for fact in [*known, *facts] if fact.name == name) for name in ("n1", "n2")}
    assert held == [best] * 3
