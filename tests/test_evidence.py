"""What a gateway of many learns by asking: probes, progress notes, lateness of single attempts."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from conftest import LOAD, LONG, SHORT, Gateway, cancels, finals, make_settings, sends

from grebeproxy.policy.interface import (
    Action,
    AttemptBudget,
    Idempotency,
    Engine,
    EngineKind,
    ListKind,
    Outcome,
    Overbooked,
    HealthCheck,
    HealthCheckEnded,
    Progress,
    ProgressKind,
    Send,
    SetTerms,
)

ORDERED = replace(LOAD, ordered_by_key=True)


def probes(actions: list[Action]) -> list[str]:
    return [a.engine for a in actions if isinstance(a, HealthCheck)]


def asking(**changes: Any) -> Gateway:
    return Gateway(make_settings(balancers=100, may_health_check=True, **changes), engines=6)


def note(gateway: Gateway, engine: str, share: float, id: str = "a", attempt: int = 0) -> None:
    gateway.do(Progress(id, engine, attempt, ProgressKind.FRACTION_DONE, share))


def test_a_long_query_goes_where_a_probe_is_back_first() -> None:
    gateway = asking()
    first = gateway.ask("long", wait=20.0, work=1.0)
    asked = probes(first)
    assert len(set(asked)) == 3 and not sends(first)
    gateway.now += 0.01
    back = [HealthCheckEnded(asked[0], 0.004, Outcome.OK), HealthCheckEnded(asked[1], 0.002, Outcome.OK)]
    [send] = sends(gateway.do(*back))
    assert send.engine == asked[1]


def test_probes_that_do_not_come_back_hold_a_query_for_a_moment_only() -> None:
    gateway = asking()
    asked = probes(gateway.ask("long", wait=20.0, work=1.0))
    assert not sends(gateway.sweep(100.02))
    [send] = sends(gateway.sweep(100.1))
    assert send.engine not in asked


def test_a_failed_probe_is_no_recommendation() -> None:
    gateway = asking()
    asked = probes(gateway.ask("long", wait=20.0, work=1.0))
    gateway.now += 0.01
    assert not sends(gateway.do(HealthCheckEnded(asked[0], 0.001, Outcome.TIMEOUT)))
    [send] = sends(gateway.do(HealthCheckEnded(asked[2], 0.02, Outcome.OK)))
    assert send.engine == asked[2]


def test_short_queries_and_sites_without_probes_do_not_ask() -> None:
    assert len(sends(asking().ask(work=0.1))) == 1
    silent = Gateway(make_settings(balancers=100), engines=6)
    actions = silent.ask("long", wait=20.0, work=1.0)
    assert len(sends(actions)) == 1 and not probes(actions)


def test_a_probe_that_is_back_takes_an_ejected_engine_back_but_not_one_that_was_unreachable() -> None:
    for outcome, back in ((Outcome.RESET, True), (Outcome.CONNECT_FAILED, False)):
        gateway = asking()
        [send] = sends(gateway.ask(work=0.1, id="a"))
        lost = gateway.choice.engines[send.engine]
        lost.fault_rate = 1.0
        gateway.end(send, outcome)
        assert lost.ejected_at is not None
        gateway.now += 30.0
        assert send.engine in probes(gateway.ask("long", wait=20.0, work=1.0))
        gateway.do(HealthCheckEnded(send.engine, 0.002, Outcome.OK))
        assert (lost.ejected_at is None) is back


def test_an_attempt_that_a_fresh_one_would_beat_is_called_off_and_repeated() -> None:
    gateway = Gateway(make_settings(progress_period=2.0), engines=3)
    [send] = sends(gateway.ask("long", wait=20.0, work=3.0, id="a"))
    gateway.now += 2.0
    note(gateway, send.engine, 0.1)
    [cancel] = cancels(gateway.sweep(102.0))
    assert (cancel.id, cancel.attempt) == ("a", 0)
    slow = gateway.choice.engines[send.engine].slowdown
    [again] = sends(gateway.end(send, Outcome.CANCELLED, 2.0))
    assert again.engine != send.engine
    assert gateway.choice.engines[send.engine].slowdown <= slow  # a bad plan is no fault of the engine


def test_an_attempt_that_is_soon_done_or_must_not_run_twice_is_left_alone() -> None:
    once = replace(LONG, name="once", idempotency=Idempotency.NON_IDEMPOTENT)
    for name, share in (("long", 0.6), ("once", 0.1)):
        gateway = Gateway(make_settings(classes=(SHORT, LONG, once), progress_period=2.0), engines=3)
        [send] = sends(gateway.ask(name, wait=20.0, work=3.0, id="a"))
        gateway.now += 2.0
        note(gateway, send.engine, share)
        assert not cancels(gateway.sweep(102.0))


def test_a_lost_answer_is_asked_for_again_without_blaming_an_engine_that_is_heard() -> None:
    gateway = Gateway(make_settings(balancers=100), engines=3)
    [send] = sends(gateway.ask("long", wait=20.0, work=1.5, id="a"))
    node = gateway.choice.engines[send.engine]
    for step in range(1, 40):
        node.heard_at = gateway.now
        if cancels(gateway.sweep(100.0 + step * 0.1)):
            break
    assert node.ejected_at is None
    assert 101.5 < gateway.now < 102.5
    assert [s.id for s in sends(gateway.end(send, Outcome.CANCELLED, 2.0))] == ["a"]


def test_a_jam_that_slows_its_engine_does_not_call_an_attempt_off() -> None:
    gateway = Gateway(make_settings(progress_period=2.0), engines=3)
    [send] = sends(gateway.ask("long", wait=20.0, work=3.0, id="a"))
    gateway.choice.engines[send.engine].slowdown = 4.0
    gateway.now += 2.0
    note(gateway, send.engine, 0.15)
    assert not cancels(gateway.sweep(102.0))


@pytest.mark.parametrize(("slow", "off"), [(1.0, True), (4.0, False)])
def test_a_bad_plan_is_called_off_where_its_engine_is_not_slow(slow: float, off: bool) -> None:
    gateway = Gateway(make_settings(), engines=3)
    [send] = sends(gateway.ask("long", wait=20.0, work=1.5, id="a"))
    node = gateway.choice.engines[send.engine]
    node.heard_at, node.slowdown = 101.6, slow
    assert not cancels(gateway.sweep(101.4))
    assert [c.id for c in cancels(gateway.sweep(101.7))] == (["a"] if off else [])
    assert node.ejected_at is None


def test_an_engine_whose_reports_all_stand_still_is_left_once_it_is_silent() -> None:
    gateway = Gateway(make_settings(), engines=3)
    node = gateway.choice.engines["e0"]
    for _ in range(12):
        for send in sends(gateway.ask("long", wait=20.0, work=0.3)):
            if send.engine != "e0":
                gateway.end(send, Outcome.OK)
        gateway.now += 0.5
        for cancel in cancels(gateway.sweep(gateway.now)):
            lost = Send(cancel.id, "e0", 0.0)
            for again in sends(gateway.end(lost, Outcome.CANCELLED)):
                gateway.end(again, Outcome.OK)
    assert node.ejected_at is not None


def test_nothing_is_called_off_when_the_budget_of_attempts_is_used_up() -> None:
    budget = AttemptBudget(window=10.0, floor=0.0, fraction=0.0)
    config = make_settings(balancers=100)
    gateway = Gateway(replace(config, rules=replace(config.rules, attempt_budget=budget)), engines=3)
    [send] = sends(gateway.ask("long", wait=20.0, work=1.5, id="a"))
    for step in range(1, 40):
        gateway.choice.engines[send.engine].heard_at = gateway.now
        assert not cancels(gateway.sweep(100.0 + step * 0.1))


def test_what_waits_for_its_key_is_no_crowding() -> None:
    gateway = Gateway(make_settings(classes=(SHORT, LONG, ORDERED), balancers=6), engines=1)
    [first] = sends(gateway.ask("load", wait=20.0, work=1.0, key="k", id="a"))
    assert not gateway.ask("load", wait=20.0, work=1.0, key="k", id="b")[1:]
    assert gateway.choice._load_factor() == 0.0 and gateway.choice.backlog() == 0.0
    assert not finals(gateway.sweep(100.5))
    assert [s.id for s in sends(gateway.end(first, Outcome.OK, work=1.0))] == ["b"]


def test_what_cannot_end_behind_its_key_is_given_up_at_once() -> None:
    gateway = Gateway(make_settings(classes=(SHORT, LONG, ORDERED)), engines=1)
    gateway.ask("load", wait=20.0, work=24.0, key="k", id="a")
    assert [a.id for a in finals(gateway.ask("load", wait=15.0, work=10.0, key="k", id="b"))] == ["b"]


def test_a_part_below_one_long_query_is_kept_on_average() -> None:
    gateway = Gateway(make_settings(balancers=100), engines=6)
    gateway.choice.lasting_slowdown = 3.0
    [send] = sends(gateway.ask("long", wait=20.0, work=1.0, id="a"))
    assert not sends(gateway.ask("long", wait=20.0, work=1.0, id="b"))
    gateway.now += 3.0
    gateway.end(send, Outcome.OK, 3.0, work=1.0)
    assert gateway.choice.mean_long_threads > 0 and gateway.choice.queues[1]
    assert sends(gateway.ask(work=0.1))  # a short one passes meanwhile
    assert any(sends(gateway.sweep(103.0 + step)) for step in range(1, 9))


def test_spare_memory_is_granted_as_far_as_estimates_scatter() -> None:
    granted: dict[float, float] = {}
    for fill in (0.1, 0.6, 2.0):
        config = make_settings(
            memory_granted=True, overbooked=Overbooked.SHRINK, kinds=(EngineKind("medium", 8.0, 16000.0),)
        )
        gateway = Gateway(config, engines=2)
        gateway.choice.memory_corrections[1].spread = 0.5
        gateway.choice.memory_fill = fill
        [terms] = [
            a for a in gateway.ask("long", wait=20.0, work=1.0, memory_mb=100.0) if isinstance(a, SetTerms)
        ]
        assert terms.memory_mb is not None
        granted[fill] = terms.memory_mb
    assert granted[0.1] > granted[0.6] > granted[2.0] > 100.0
    assert granted[0.1] <= 2 * granted[2.0]


def test_a_load_that_bars_readers_is_served_first_by_the_engine() -> None:
    for waits, priority in ((True, 3), (False, 1)):
        classes = (SHORT, replace(LONG, waits_for_loads=waits), LOAD)
        gateway = Gateway(make_settings(classes=classes), engines=1)
        [terms] = [a for a in gateway.ask("load", wait=20.0, work=1.0) if isinstance(a, SetTerms)]
        assert terms.priority == priority


def test_late_and_unknown_news_changes_nothing() -> None:
    gateway = Gateway(make_settings(progress_period=2.0, may_health_check=True, balancers=100), engines=2)
    [send] = sends(gateway.ask(work=0.1, id="a"))
    gateway.end(send, Outcome.OK, work=0.1)
    assert not finals(gateway.end(send, Outcome.ERROR)) and not gateway.choice.queries  # told twice
    note(gateway, send.engine, 0.1)  # on what is over, and on what never was
    note(gateway, "nowhere", 0.0, id="b", attempt=7)
    assert not gateway.do(HealthCheckEnded("nowhere", 0.001, Outcome.OK))
    gateway.tell(Engine("odd", "unheard-of", weight=0.0), how=ListKind.CHANGES)
    assert gateway.choice.engines["odd"].cores == 8.0  # an unknown kind counts as the first one
    assert {s.engine for _ in range(9) for s in sends(gateway.ask(work=0.1))} >= {"odd"}
