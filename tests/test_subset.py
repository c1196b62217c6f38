"""The subset of engines of one of many routers: agreed, even, and extended while few engines are reliable."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from conftest import LONG, SHORT, RouterHarness, final_answers, make_settings, sends
from hypothesis import given
from hypothesis import strategies as st

from grebeproxy.policy.hash_ring import HashRing, RouterPositions
from grebeproxy.policy.interface import (
    ManualOverridesChanged,
    Engine,
    EngineState,
    EngineKind,
    ListKind,
    Outcome,
    SettingsChanged,
    Send,
)
from grebeproxy.policy.placement import Placement
from grebeproxy.policy.subset import MIN_WINDOW, MAX_EXTENSION

ROUTERS, ENGINES = 200, 400
ZONES = tuple(f"zone-{n}" for n in range(6))


def ring_of(engines: int) -> tuple[HashRing, list[str]]:
    ring, names = HashRing(), [f"e{n}" for n in range(engines)]
    ring.fill(Engine(name, "medium") for name in names)
    return ring, names


def harness_of(
    index: int = 0, *, engines: int = ENGINES, balancers: int = ROUTERS, **changes: Any
) -> RouterHarness:
    settings = make_settings(balancers=balancers, index=index, **changes)
    harness = RouterHarness(settings, engines=0)
    harness.receive_engine_list(*(Engine(f"e{n}", "medium", ZONES[n % 6]) for n in range(engines)))
    return harness


def subset(harness: RouterHarness) -> set[str]:
    """The engines that may get attempts."""
    return {
        engine
        for engine, engine_record in harness.choice.engines.items()
        if harness.choice.is_usable(engine_record)
    }


@given(routers=st.integers(1, 60), engines=st.integers(1, 60), window_size=st.integers(1, 70))
def test_each_router_knows_the_sharers_of_an_engine_and_its_own_index(
    routers: int, engines: int, window_size: int
) -> None:
    ring, names = ring_of(engines)
    positions = [RouterPositions(routers, index) for index in range(routers)]
    windows = [ring.window(position.own, 0, window_size) for position in positions]
    assert all(len(set(window)) == min(window_size, engines) for window in windows)
    for name in names:
        sharers = [position for position, window in zip(positions, windows, strict=True) if name in window]
        found = [position.sharers(ring.rank(name), window_size, engines) for position in sharers]
        assert sorted(number for _, number in found) == list(range(len(sharers)))
        assert {count for count, _ in found} <= {len(sharers)}


def test_engines_are_shared_evenly_by_2400_routers() -> None:
    ring, names = ring_of(3200)
    routers_of = Counter(
        name for index in range(2400) for name in ring.window(RouterPositions(2400, index).own, 0, MIN_WINDOW)
    )
    assert (
        len(routers_of) == 3200
        and min(routers_of.values()) >= 0.8 * 12
        and max(routers_of.values()) <= 1.1 * 12
    )


def test_routers_keep_their_engines_while_the_count_of_routers_differs() -> None:
    before = [subset(harness_of(index)) for index in range(20)]
    assert [subset(harness_of(index, balancers=220)) for index in range(20)] == before


def test_a_change_of_the_list_moves_at_most_two_engines_of_each_router() -> None:
    moved = []
    for index in range(40):
        harness = harness_of(index)
        before = subset(harness)
        harness.receive_engine_list(
            Engine("e7", "medium", state=EngineState.GONE), list_kind=ListKind.CHANGES
        )
        moved.append(len(subset(harness) - before))
        harness.receive_engine_list(Engine("e7", "medium", ZONES[1]), list_kind=ListKind.CHANGES)
        assert subset(harness) == before
    assert sum(moved) > 0 and max(moved) <= 2


def test_a_restarted_router_has_the_engines_that_it_had_before() -> None:
    assert subset(harness_of(7)) == subset(harness_of(7))
    assert subset(harness_of(7)) != subset(harness_of(8))


@pytest.mark.parametrize("engines", [80, 3200])
def test_the_cost_of_a_query_depends_on_the_subset_and_not_on_the_fleet(
    engines: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    costs_computed = 0
    cost = Placement._cost

    def counted(self: Placement, *args: Any) -> tuple[float, float]:
        nonlocal costs_computed
        costs_computed += 1
        return cost(self, *args)

    monkeypatch.setattr(Placement, "_cost", counted)
    harness = harness_of(engines=engines, balancers=2400)
    for _ in range(10):
        [send] = sends(harness.submit(work=0.1))
        harness.end_attempt(send, Outcome.OK, 0.1)
    assert (
        costs_computed == 10 * MIN_WINDOW
        and len(harness.choice.engines) == len(harness.choice.usable_engines) == MIN_WINDOW
    )


def test_a_change_of_the_list_checks_only_the_changed_engines(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = harness_of(engines=3200, balancers=2400)
    checked: list[str] = []
    accepts = HashRing.accepts

    def counted(self: HashRing, entry: Engine) -> bool:
        checked.append(entry.id)
        return accepts(self, entry)

    monkeypatch.setattr(HashRing, "accepts", counted)
    harness.receive_engine_list(
        Engine("e5", "medium", state=EngineState.DRAINING), list_kind=ListKind.CHANGES
    )
    assert set(checked) == {"e5"}


def test_a_subset_has_enough_engines_of_its_zone_or_else_of_other_zones() -> None:
    harness = harness_of(zones=ZONES, zone=ZONES[2])
    zones = Counter(engine_record.entry.zone for engine_record in harness.choice.usable_engines)
    assert zones[ZONES[2]] >= MIN_WINDOW and MIN_WINDOW < sum(zones.values()) <= 2 * MIN_WINDOW
    small = RouterHarness(make_settings(balancers=ROUTERS, zones=ZONES, zone=ZONES[2]), engines=0)
    small.receive_engine_list(*(Engine(f"e{n}", "medium", ZONES[2 if n < 3 else 4]) for n in range(ENGINES)))
    assert {"e0", "e1", "e2"} <= subset(small) and len(subset(small)) >= MIN_WINDOW


def test_a_class_that_is_confined_to_a_rare_kind_finds_engines_of_it() -> None:
    kinds = (EngineKind("medium", 8.0, 16000.0), EngineKind("rare", 8.0, 16000.0))
    confined = replace(LONG, allowed_kinds=frozenset({"rare"}))
    settings = make_settings(balancers=ROUTERS, index=3, kinds=kinds, classes=(SHORT, confined))
    harness = RouterHarness(settings, engines=0)
    harness.receive_engine_list(
        *(Engine(f"e{n}", "rare" if n % 40 == 0 else "medium") for n in range(ENGINES))
    )
    rare = {engine for engine in subset(harness) if int(engine[1:]) % 40 == 0}
    assert len(rare) == ENGINES / 40  # The subset has all ten engines of the rare kind.
    [send] = sends(harness.submit("long", wait=20.0, work=0.5))
    assert send.engine in rare


def make_unreliable(harness: RouterHarness, engines: set[str], way: str) -> None:
    """Make engines unreliable by manual overrides, a restart or ejection."""
    if way == "by hand":
        harness.handle(ManualOverridesChanged(frozenset(engines)))
    elif way == "cold":
        fresh = [Engine(name, "medium", started=harness.now) for name in sorted(engines)]
        harness.receive_engine_list(*fresh, list_kind=ListKind.CHANGES)
    else:
        for name in engines:
            harness.choice.engines[name].ejected_at = harness.now
            harness.choice.engines[name].trial_at = harness.now + 1e6


@pytest.mark.parametrize("way", ["by hand", "cold", "ejected"])
def test_while_few_are_reliable_the_subset_is_wider_in_the_agreed_order(way: str) -> None:
    harness = harness_of(5)
    choice, before = harness.choice, subset(harness)
    order = choice.rings[0].window(choice.positions.own, 0, ENGINES)
    unreliable = set(order[: MIN_WINDOW * 3 // 4])
    make_unreliable(harness, unreliable, way)
    for _ in range(4):
        [send] = sends(harness.submit(work=0.1))
        assert send.engine not in unreliable or way == "cold"
        harness.end_attempt(send, Outcome.OK, 0.1)
    extended = {engine for engine, engine_record in choice.engines.items() if engine_record.in_subset}
    assert (
        extended == set(order[: len(extended)])
        and MIN_WINDOW < len(extended) <= (1 + MAX_EXTENSION) * MIN_WINDOW
    )
    assert len(extended - unreliable) >= MIN_WINDOW / 2
    if way == "by hand":
        harness.handle(ManualOverridesChanged(frozenset()))
        harness.now += 60.0  # Engines that operators enable again warm up first.
    elif way == "cold":
        harness.now += 60.0
    else:
        for name in unreliable:
            choice.engines[name].ejected_at = None
    for _ in range(8):
        [send] = sends(harness.submit(work=0.1))
        harness.end_attempt(send, Outcome.OK, 0.1)
    assert subset(harness) == before


def test_the_extension_of_a_subset_has_a_hysteresis() -> None:
    harness = harness_of(5)
    order = harness.choice.rings[0].window(harness.choice.positions.own, 0, ENGINES)
    make_unreliable(harness, set(order[: MIN_WINDOW // 2 + 1]), "ejected")
    harness.submit(work=0.1)
    harness.submit(work=0.1)
    wide = set(harness.choice.engines)
    assert len(wide) > MIN_WINDOW
    harness.choice.engines[order[0]].ejected_at = None  # Now one engine more is reliable.
    for _ in range(5):
        harness.submit(work=0.1)
    assert set(harness.choice.engines) >= wide


def test_the_extension_of_a_subset_is_bounded_when_no_engine_is_reliable() -> None:
    harness = harness_of(5)
    for _ in range(40):
        make_unreliable(harness, set(harness.choice.engines), "ejected")
        harness.submit(work=0.1)
    assert len(harness.choice.engines) <= (1 + MAX_EXTENSION) * MIN_WINDOW + MIN_WINDOW


@pytest.mark.parametrize("routers", [50, 200, 2400])
def test_no_two_routers_share_an_index_on_an_engine_whatever_their_window_sizes(
    routers: int,
) -> None:
    harnesses = [harness_of(index, engines=64, balancers=routers) for index in range(0, routers, 1)][:200]
    for number, harness in enumerate(harnesses):  # Some routers have more traffic, and so larger subsets.
        harness.choice.window_size = MIN_WINDOW * (1 + number % 4)
        harness.choice.subset_stale = True
        harness.choice.use_window(MIN_WINDOW)
    numbers: dict[str, list[int]] = {}
    for harness in harnesses:
        for engine, engine_record in harness.choice.engines.items():
            if engine_record.share_index >= 0:
                numbers.setdefault(engine, []).append(engine_record.share_index)
    assert len(numbers) == 64
    assert all(len(set(got)) == len(got) for got in numbers.values())  # No two routers have the same index.


def test_an_engine_that_left_the_subset_is_tracked_until_its_attempts_have_ended() -> None:
    harness = harness_of(5)
    [send] = sends(harness.submit(work=0.1))
    harness.handle(SettingsChanged(make_settings(balancers=ROUTERS, index=105)))
    assert send.engine in harness.choice.engines and send.engine not in subset(harness)
    assert not final_answers(harness.end_attempt(send, Outcome.OK, 0.1)) and not harness.choice.queries
    harness.sweep(harness.now + 0.3)
    assert send.engine not in harness.choice.engines


def test_an_engine_that_started_outside_the_subset_warms_up_when_it_joins() -> None:
    harness = harness_of(5)
    outside = sorted(set(harness.choice.engine_list) - subset(harness))
    fresh = [Engine(name, "medium", started=harness.now) for name in outside]
    harness.receive_engine_list(*fresh, list_kind=ListKind.CHANGES)
    make_unreliable(harness, subset(harness), "ejected")
    harness.submit(work=0.1)
    harness.submit(work=0.1)
    taken_in = [harness.choice.engines[name] for name in outside if name in harness.choice.engines]
    assert taken_in and all(harness.choice._warming_up(engine_record) for engine_record in taken_in)


def test_few_routers_work_with_all_engines() -> None:
    harness = harness_of(1, engines=60, balancers=3)
    assert len(subset(harness)) == 60
    harness.handle(SettingsChanged(make_settings(balancers=ROUTERS, index=1)))
    assert len(subset(harness)) == MIN_WINDOW
    harness.handle(SettingsChanged(make_settings(balancers=3, index=1)))
    assert len(subset(harness)) == 60


def test_nothing_is_sent_to_an_engine_that_left_the_list_or_drains() -> None:
    harness = harness_of(5)
    for name in sorted(subset(harness))[:6]:
        state = EngineState.GONE if len(name) % 2 else EngineState.DRAINING
        harness.receive_engine_list(Engine(name, "medium", state=state), list_kind=ListKind.CHANGES)
        assert name not in subset(harness) and len(subset(harness)) == MIN_WINDOW
        for _ in range(20):
            out: list[Send] = sends(harness.submit(work=0.1))
            assert out and name not in {send.engine for send in out}
            harness.end_attempt(out[0], Outcome.OK, 0.1)
