"""What one of many routers learns from health checks, progress notes and late attempts."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from conftest import LOAD, LONG, SHORT, RouterHarness, cancels, final_answers, make_settings, sends

from grebeproxy.policy.interface import (
    Action,
    AttemptBudget,
    Idempotency,
    Engine,
    EngineKind,
    ListKind,
    Outcome,
    OvercommitBehavior,
    HealthCheck,
    HealthCheckEnded,
    Progress,
    ProgressKind,
    Send,
    SetTerms,
)

ORDERED = replace(LOAD, ordered_by_key=True)


def checked_engines(actions: list[Action]) -> list[str]:
    return [a.engine for a in actions if isinstance(a, HealthCheck)]


def harness_with_health_checks(**changes: Any) -> RouterHarness:
    return RouterHarness(make_settings(balancers=100, may_health_check=True, **changes), engines=6)


def report_progress(
    harness: RouterHarness, engine: str, share: float, id: str = "a", attempt: int = 0
) -> None:
    harness.handle(Progress(id, engine, attempt, ProgressKind.FRACTION_DONE, share))


def test_a_long_query_goes_to_the_engine_with_the_quickest_health_check() -> None:
    harness = harness_with_health_checks()
    first = harness.submit("long", wait=20.0, work=1.0)
    checked = checked_engines(first)
    assert len(set(checked)) == 3 and not sends(first)
    harness.now += 0.01
    results = [
        HealthCheckEnded(checked[0], 0.004, Outcome.OK),
        HealthCheckEnded(checked[1], 0.002, Outcome.OK),
    ]
    [send] = sends(harness.handle(*results))
    assert send.engine == checked[1]


def test_unanswered_health_checks_delay_a_query_for_a_moment_only() -> None:
    harness = harness_with_health_checks()
    checked = checked_engines(harness.submit("long", wait=20.0, work=1.0))
    assert not sends(harness.sweep(100.02))
    [send] = sends(harness.sweep(100.1))
    assert send.engine not in checked


def test_a_failed_health_check_does_not_attract_a_query() -> None:
    harness = harness_with_health_checks()
    checked = checked_engines(harness.submit("long", wait=20.0, work=1.0))
    harness.now += 0.01
    assert not sends(harness.handle(HealthCheckEnded(checked[0], 0.001, Outcome.TIMEOUT)))
    [send] = sends(harness.handle(HealthCheckEnded(checked[2], 0.02, Outcome.OK)))
    assert send.engine == checked[2]


def test_short_queries_and_sites_without_health_checks_send_none() -> None:
    assert len(sends(harness_with_health_checks().submit(work=0.1))) == 1
    silent = RouterHarness(make_settings(balancers=100), engines=6)
    actions = silent.submit("long", wait=20.0, work=1.0)
    assert len(sends(actions)) == 1 and not checked_engines(actions)


def test_a_health_check_takes_an_ejected_engine_back_but_not_one_that_was_unreachable() -> None:
    for outcome, taken_back in ((Outcome.RESET, True), (Outcome.CONNECT_FAILED, False)):
        harness = harness_with_health_checks()
        [send] = sends(harness.submit(work=0.1, id="a"))
        ejected = harness.choice.engines[send.engine]
        ejected.fault_rate = 1.0
        harness.end_attempt(send, outcome)
        assert ejected.ejected_at is not None
        harness.now += 30.0
        assert send.engine in checked_engines(harness.submit("long", wait=20.0, work=1.0))
        harness.handle(HealthCheckEnded(send.engine, 0.002, Outcome.OK))
        assert (ejected.ejected_at is None) is taken_back


def test_an_attempt_that_a_retry_would_overtake_is_cancelled_and_retried() -> None:
    harness = RouterHarness(make_settings(progress_period=2.0), engines=3)
    [send] = sends(harness.submit("long", wait=20.0, work=3.0, id="a"))
    harness.now += 2.0
    report_progress(harness, send.engine, 0.1)
    [cancel] = cancels(harness.sweep(102.0))
    assert (cancel.id, cancel.attempt) == ("a", 0)
    slow = harness.choice.engines[send.engine].slowdown
    [retry] = sends(harness.end_attempt(send, Outcome.CANCELLED, 2.0))
    assert retry.engine != send.engine
    assert harness.choice.engines[send.engine].slowdown <= slow  # A bad plan is no fault of the engine.


def test_an_attempt_that_is_soon_done_or_must_not_run_twice_is_left_alone() -> None:
    once = replace(LONG, name="once", idempotency=Idempotency.NON_IDEMPOTENT)
    for name, share in (("long", 0.6), ("once", 0.1)):
        harness = RouterHarness(make_settings(classes=(SHORT, LONG, once), progress_period=2.0), engines=3)
        [send] = sends(harness.submit(name, wait=20.0, work=3.0, id="a"))
        harness.now += 2.0
        report_progress(harness, send.engine, share)
        assert not cancels(harness.sweep(102.0))


def test_a_lost_answer_is_retried_without_a_fault_for_an_engine_that_is_heard() -> None:
    harness = RouterHarness(make_settings(balancers=100), engines=3)
    [send] = sends(harness.submit("long", wait=20.0, work=1.5, id="a"))
    engine_record = harness.choice.engines[send.engine]
    for step in range(1, 40):
        engine_record.heard_at = harness.now
        if cancels(harness.sweep(100.0 + step * 0.1)):
            break
    assert engine_record.ejected_at is None
    assert 101.5 < harness.now < 102.5
    assert [s.id for s in sends(harness.end_attempt(send, Outcome.CANCELLED, 2.0))] == ["a"]


def test_an_overload_that_slows_its_engine_does_not_cancel_an_attempt() -> None:
    harness = RouterHarness(make_settings(progress_period=2.0), engines=3)
    [send] = sends(harness.submit("long", wait=20.0, work=3.0, id="a"))
    harness.choice.engines[send.engine].slowdown = 4.0
    harness.now += 2.0
    report_progress(harness, send.engine, 0.15)
    assert not cancels(harness.sweep(102.0))


@pytest.mark.parametrize(("slow", "off"), [(1.0, True), (4.0, False)])
def test_a_bad_plan_is_cancelled_where_its_engine_is_not_slow(slow: float, off: bool) -> None:
    harness = RouterHarness(make_settings(), engines=3)
    [send] = sends(harness.submit("long", wait=20.0, work=1.5, id="a"))
    engine_record = harness.choice.engines[send.engine]
    engine_record.heard_at, engine_record.slowdown = 101.6, slow
    assert not cancels(harness.sweep(101.4))
    assert [c.id for c in cancels(harness.sweep(101.7))] == (["a"] if off else [])
    assert engine_record.ejected_at is None


def test_an_engine_whose_reports_all_stall_is_ejected_once_it_is_silent() -> None:
    harness = RouterHarness(make_settings(), engines=3)
    engine_record = harness.choice.engines["e0"]
    for _ in range(12):
        for send in sends(harness.submit("long", wait=20.0, work=0.3)):
            if send.engine != "e0":
                harness.end_attempt(send, Outcome.OK)
        harness.now += 0.5
        for cancel in cancels(harness.sweep(harness.now)):
            cancelled = Send(cancel.id, "e0", 0.0)
            for retry in sends(harness.end_attempt(cancelled, Outcome.CANCELLED)):
                harness.end_attempt(retry, Outcome.OK)
    assert engine_record.ejected_at is not None


def test_nothing_is_cancelled_when_the_budget_of_attempts_is_used_up() -> None:
    budget = AttemptBudget(window=10.0, floor=0.0, fraction=0.0)
    config = make_settings(balancers=100)
    harness = RouterHarness(replace(config, rules=replace(config.rules, attempt_budget=budget)), engines=3)
    [send] = sends(harness.submit("long", wait=20.0, work=1.5, id="a"))
    for step in range(1, 40):
        harness.choice.engines[send.engine].heard_at = harness.now
        assert not cancels(harness.sweep(100.0 + step * 0.1))


def test_queries_that_wait_for_their_key_do_not_count_as_load() -> None:
    harness = RouterHarness(make_settings(classes=(SHORT, LONG, ORDERED), balancers=6), engines=1)
    [first] = sends(harness.submit("load", wait=20.0, work=1.0, key="k", id="a"))
    assert not harness.submit("load", wait=20.0, work=1.0, key="k", id="b")[1:]
    assert harness.choice._load_factor() == 0.0 and harness.choice.backlog() == 0.0
    assert not final_answers(harness.sweep(100.5))
    assert [s.id for s in sends(harness.end_attempt(first, Outcome.OK, work=1.0))] == ["b"]


def test_a_query_that_cannot_end_in_time_behind_its_key_is_rejected_at_once() -> None:
    harness = RouterHarness(make_settings(classes=(SHORT, LONG, ORDERED)), engines=1)
    harness.submit("load", wait=20.0, work=24.0, key="k", id="a")
    assert [a.id for a in final_answers(harness.submit("load", wait=15.0, work=10.0, key="k", id="b"))] == [
        "b"
    ]


def test_a_share_below_one_long_query_is_kept_on_average() -> None:
    harness = RouterHarness(make_settings(balancers=100), engines=6)
    harness.choice.lasting_slowdown = 3.0
    [send] = sends(harness.submit("long", wait=20.0, work=1.0, id="a"))
    assert not sends(harness.submit("long", wait=20.0, work=1.0, id="b"))
    harness.now += 3.0
    harness.end_attempt(send, Outcome.OK, 3.0, work=1.0)
    assert harness.choice.mean_long_threads > 0 and harness.choice.queues[1]
    assert sends(harness.submit(work=0.1))  # A short query is sent meanwhile.
    assert any(sends(harness.sweep(103.0 + step)) for step in range(1, 9))


def test_spare_memory_is_granted_as_much_as_estimates_vary() -> None:
    granted: dict[float, float] = {}
    for fill in (0.1, 0.6, 2.0):
        config = make_settings(
            memory_granted=True,
            overcommit_behavior=OvercommitBehavior.SHRINK,
            kinds=(EngineKind("medium", 8.0, 16000.0),),
        )
        harness = RouterHarness(config, engines=2)
        harness.choice.memory_corrections[1].spread = 0.5
        harness.choice.memory_fill = fill
        [terms] = [
            a for a in harness.submit("long", wait=20.0, work=1.0, memory_mb=100.0) if isinstance(a, SetTerms)
        ]
        assert terms.memory_mb is not None
        granted[fill] = terms.memory_mb
    assert granted[0.1] > granted[0.6] > granted[2.0] > 100.0
    assert granted[0.1] <= 2 * granted[2.0]


def test_a_load_that_locks_out_readers_gets_the_highest_priority() -> None:
    for waits, priority in ((True, 3), (False, 1)):
        classes = (SHORT, replace(LONG, waits_for_loads=waits), LOAD)
        harness = RouterHarness(make_settings(classes=classes), engines=1)
        [terms] = [a for a in harness.submit("load", wait=20.0, work=1.0) if isinstance(a, SetTerms)]
        assert terms.priority == priority


def test_late_and_unknown_events_change_nothing() -> None:
    harness = RouterHarness(
        make_settings(progress_period=2.0, may_health_check=True, balancers=100), engines=2
    )
    [send] = sends(harness.submit(work=0.1, id="a"))
    harness.end_attempt(send, Outcome.OK, work=0.1)
    # The end is reported twice.
    assert not final_answers(harness.end_attempt(send, Outcome.ERROR)) and not harness.choice.queries
    # The notes are on a query that has ended, and on an unknown one.
    report_progress(harness, send.engine, 0.1)
    report_progress(harness, "nowhere", 0.0, id="b", attempt=7)
    assert not harness.handle(HealthCheckEnded("nowhere", 0.001, Outcome.OK))
    harness.receive_engine_list(Engine("odd", "unheard-of", weight=0.0), list_kind=ListKind.CHANGES)
    assert harness.choice.engines["odd"].cores == 8.0  # An unknown kind counts as the first kind.
    assert {s.engine for _ in range(9) for s in sends(harness.submit(work=0.1))} >= {"odd"}
