"""How queries are ordered and placed: load factor, priority, weights, bounds and the choice of an engine."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from conftest import LOAD, LONG, SHORT, RouterHarness, cancels, final_answers, make_settings, sends

from grebeproxy import Settings
from grebeproxy.policy.interface import AttemptEnded, Outcome, Query
from grebeproxy.policy.records import Estimate, QueryRecord


def queued_query(harness: RouterHarness, cls: str, arrived_at: float, work: float = 0.5) -> QueryRecord:
    choice = harness.choice
    definition = choice.classes[choice.class_rank[cls]]
    query = Query(f"h-{cls}-{arrived_at}", cls, arrived_at + definition.deadline)
    return QueryRecord(query, definition, choice.class_rank[cls], arrived_at, Estimate(work, 0.0))


def test_classes_are_ranked_by_latency_objective(settings: Settings) -> None:
    choice = RouterHarness(settings).choice
    assert choice.class_rank == {"short": 0, "long": 1, "load": 2}
    assert choice.rank_weight[0] > choice.rank_weight[1] > choice.rank_weight[2]


def test_without_load_queries_run_in_arrival_order(settings: Settings) -> None:
    harness = RouterHarness(settings)
    early, late = queued_query(harness, "long", 99.0), queued_query(harness, "short", 99.5)
    assert harness.choice._priority(early, 0.0) > harness.choice._priority(late, 0.0)


def test_at_full_load_a_short_query_overtakes(settings: Settings) -> None:
    harness = RouterHarness(settings)
    early, late = queued_query(harness, "long", 97.0), queued_query(harness, "short", 100.0)
    assert harness.choice._priority(late, 1.0) > harness.choice._priority(early, 1.0)


def test_the_priority_gap_between_classes_outweighs_a_short_deadline_of_waiting(settings: Settings) -> None:
    choice = RouterHarness(settings).choice
    urgency = SHORT.deadline / choice.tightest_class.deadline
    for upper, lower in zip(choice.rank_weight, choice.rank_weight[1:], strict=False):
        assert choice.priority_gap * (upper - lower) > urgency


def test_starvation_is_bounded_by_age(settings: Settings) -> None:
    harness = RouterHarness(settings)
    harness.now = harness.choice.now = 200.0
    old, new = queued_query(harness, "load", 185.0), queued_query(harness, "short", 200.0)
    assert harness.choice._priority(old, 1.0) > harness.choice._priority(new, 1.0)


def test_load_factor_is_clamped_and_grows_with_depth(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=0)
    seen = []
    for _ in range(200):
        harness.submit(work=0.1)
        seen.append(harness.choice._load_factor())
    assert seen[0] < 1e-9 and seen[-1] == 1.0
    assert seen == sorted(seen)


def test_a_few_heavy_queued_queries_count_as_load(settings: Settings) -> None:
    light, heavy = RouterHarness(settings, engines=2), RouterHarness(settings, engines=2)
    for harness in (light, heavy):
        harness.choice.class_counts, harness.choice.typical_work = [80, 15, 5], [0.1, 3.0, 3.0]
        for engine_record in harness.choice.engines.values():
            engine_record.closed_until = harness.now + 10.0
    for _ in range(3):
        light.submit(work=0.1)
        heavy.submit("long", wait=20.0, work=9.0)
    assert heavy.choice._load_factor() > light.choice._load_factor()


def test_the_bound_applies_only_under_pressure(settings: Settings) -> None:
    calm, crowded = RouterHarness(settings, engines=1), RouterHarness(settings, engines=1)
    crowded.put_engines_under_pressure()
    sent = {"calm": 0, "crowded": 0}
    for _ in range(40):
        sent["calm"] += len(sends(calm.submit(work=0.1)))
        sent["crowded"] += len(sends(crowded.submit(work=0.1)))
    assert sent["calm"] == 40
    assert 8 <= sent["crowded"] < 40


def test_long_classes_stop_before_short_ones(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=1)
    harness.put_engines_under_pressure()
    for _ in range(20):
        harness.submit("long", wait=20.0, work=0.3)
    engine_record = harness.choice.engines["e0"]
    assert engine_record.long_threads == engine_record.threads > 0
    assert len(sends(harness.submit(work=0.1))) == 1


def test_the_bound_is_the_share_of_this_router() -> None:
    counts = []
    for balancers in (1, 4):
        harness = RouterHarness(make_settings(balancers=balancers), engines=1)
        harness.put_engines_under_pressure()
        counts.append(sum(len(sends(harness.submit(work=0.1))) for _ in range(60)))
    assert counts[0] >= 3 * counts[1]


def test_high_latency_is_pressure(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=1)
    engine_record = harness.choice.engines["e0"]
    for latency, under_pressure in ((0.2, False), (5.0, True)):
        for _ in range(8):
            [send] = sends(harness.submit("long", wait=20.0, work=0.6))
            harness.end_attempt(send, Outcome.OK, latency, work=0.6)
        assert harness.choice._under_pressure(engine_record) is under_pressure


def test_rejecting_for_slowness_ends_when_nothing_is_in_flight(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=1)
    for _ in range(30):
        for send in sends(harness.submit(work=0.2)):
            harness.end_attempt(send, Outcome.OK, 5.0, work=0.2)
    assert not sends(harness.submit(work=0.2))
    harness.now += 8.0
    assert sends(harness.submit(work=0.2))


def test_fewest_threads_per_core_is_the_default_choice(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=4)
    used = {send.engine for _ in range(4) for send in sends(harness.submit("long", wait=20.0, work=2.0))}
    assert used == {"e0", "e1", "e2", "e3"}


def test_a_data_set_returns_to_the_engine_that_read_it(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=4)
    used = set()
    for _ in range(6):
        [send] = sends(harness.submit(work=0.1, data_set=3))
        used.add(send.engine)
        harness.end_attempt(send, Outcome.OK, work=0.1)
    assert len(used) == 1


def test_routers_agree_on_the_engine_of_a_data_set_without_messages(settings: Settings) -> None:
    first, second = (RouterHarness(make_settings(balancers=2, index=i), engines=5) for i in (0, 1))
    for data_set in range(8):
        [one] = sends(first.submit(work=0.1, data_set=data_set))
        [two] = sends(second.submit(work=0.1, data_set=data_set))
        assert one.engine == two.engine
        first.end_attempt(one, Outcome.OK, work=0.1)
        second.end_attempt(two, Outcome.OK, work=0.1)


def test_two_loads_of_a_data_set_go_to_different_engines(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=3)
    engines = [sends(harness.submit("load", wait=20.0, work=2.0, data_set=1))[0].engine for _ in range(2)]
    assert len(set(engines)) == 2


def test_an_event_for_an_unknown_or_finished_query_is_ignored(settings: Settings) -> None:
    harness = RouterHarness(settings)
    [send] = sends(harness.submit(id="a"))
    harness.end_attempt(send, Outcome.OK, work=0.1)
    assert not sends(harness.handle(AttemptEnded("a", send.engine, 0, Outcome.ERROR, 0.1)))
    assert not final_answers(harness.handle(AttemptEnded("never", "e0", 0, Outcome.TIMEOUT, 0.1)))


def test_same_events_give_same_actions(settings: Settings) -> None:
    def replay() -> list[object]:
        harness = RouterHarness(settings, engines=5)
        log: list[object] = []
        for i in range(60):
            harness.now += 0.05
            cls = ("short", "long", "load")[i % 3]
            actions = harness.submit(cls, wait=4.0, work=0.3 * (i % 4 + 1), data_set=i % 7)
            log.extend(actions)
            for send in sends(actions)[:1]:
                log.extend(harness.end_attempt(send, (Outcome.OK, Outcome.ERROR)[i % 2], work=0.5))
        return log

    assert replay() == replay()
    assert LONG.threads > LOAD.threads


def waiting_settings(**changes: Any) -> Settings:
    return make_settings(classes=(replace(SHORT, waits_for_loads=True), LONG, LOAD), **changes)


def harness_with_cached_data_set() -> RouterHarness:
    """Two engines, both of which have read a data set; short queries wait for loads on it."""
    harness = RouterHarness(waiting_settings())
    for engine_record in harness.choice.engines.values():
        engine_record.cached_data_sets[7] = None
    return harness


def test_short_queries_avoid_the_engine_whose_load_locks_their_data_set() -> None:
    harness = harness_with_cached_data_set()
    load = sends(harness.submit("load", wait=20.0, data_set=7))[0]
    for _ in range(3):  # This holds even if that engine has fewer threads of this router in flight.
        assert sends(harness.submit("short", data_set=7))[0].engine != load.engine


def test_routers_keep_loads_of_a_data_set_apart_from_queries_that_wait_for_loads() -> None:
    engines_of: dict[tuple[int, str], set[str]] = {}
    for index in range(3):  # No router knows what the others send.
        harness = RouterHarness(waiting_settings(balancers=3, index=index), engines=5)
        for number in range(90):
            harness.now += 0.2
            data_set = number % 3
            cls = "load" if number // 3 % 2 else "short"
            [send] = sends(
                harness.submit(cls, wait=4.0, data_set=data_set, work=0.4 if cls == "load" else 0.1)
            )
            harness.end_attempt(send, Outcome.OK, work=0.4 if cls == "load" else 0.1)
            if number >= 30:  # By then the router has learned how many loads there are.
                engines_of.setdefault((data_set, cls), set()).add(send.engine)
    for data_set in range(3):
        assert len(engines_of[data_set, "load"]) == 1
        assert not engines_of[data_set, "load"] & engines_of[data_set, "short"]


def test_routers_begin_at_different_home_engines() -> None:
    """Loads of one data set at the same engine would wait for each other's end."""
    first = set()
    for index in range(3):
        harness = RouterHarness(waiting_settings(balancers=3, index=index), engines=5)
        for _ in range(40):
            harness.now += 0.3
            [send] = sends(harness.submit("load", wait=4.0, data_set=7, work=0.8))
            harness.end_attempt(send, Outcome.OK, work=0.8)
            harness.choice.engines[send.engine].cached_data_sets.clear()
        assert harness.choice._home_engines(7)[0] == 4.0
        first.add(send.engine)
    assert len(first) == 3


def test_a_router_that_sees_all_loads_spreads_them() -> None:
    harness = RouterHarness(waiting_settings(), engines=3)
    loads = [sends(harness.submit("load", wait=20.0, work=0.4, data_set=7))[0].engine for _ in range(3)]
    assert len(set(loads)) == 3


def test_a_stalled_short_query_is_retried_elsewhere_and_later_ones_avoid_the_engine() -> None:
    harness = harness_with_cached_data_set()
    first = sends(harness.submit("short", data_set=7, work=0.01))[0]
    assert cancels(harness.sweep(harness.now + 0.2)) == []
    assert [c.id for c in cancels(harness.sweep(harness.now + 0.2))] == [first.id]
    again = sends(harness.end_attempt(first, Outcome.CANCELLED))
    assert [a.engine != first.engine for a in again] == [True]
    assert sends(harness.submit("short", data_set=7, work=0.01))[0].engine == again[0].engine
