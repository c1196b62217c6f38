"""Regression tests: each guards against a failure that was found once."""

from __future__ import annotations

from dataclasses import replace

from conftest import LONG, SHORT, RouterHarness, cancels, final_answers, make_settings, sends

from grebeproxy import Settings
from grebeproxy.policy.lifecycle import SUSPECT_SILENCE, STALLS_TO_SUSPECT
from grebeproxy.policy.interface import (
    EngineKind,
    Outcome,
    OvercommitBehavior,
    Progress,
    ProgressKind,
    SetTerms,
    Tenant,
)


def test_an_engine_that_fails_fast_attracts_no_traffic(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=4)
    counts = {f"e{i}": 0 for i in range(4)}
    for _ in range(80):
        harness.now += 0.02
        pending = sends(harness.submit(work=0.1))
        while pending:
            send = pending.pop()
            counts[send.engine] += 1
            bad = send.engine == "e0"
            outcome = Outcome.ERROR if bad else Outcome.OK
            pending += sends(harness.end_attempt(send, outcome, work=None if bad else 0.1))
    assert counts["e0"] < counts["e1"] / 2


def test_a_fault_common_to_all_engines_ejects_at_most_half_of_them(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=6)
    for _ in range(60):
        for send in sends(harness.submit(work=0.1)):
            harness.end_attempt(send, Outcome.ERROR)
    assert sum(e.ejected_at is None for e in harness.choice.engines.values()) >= 3


def test_a_silent_engine_is_ejected_and_its_queries_are_retried_elsewhere(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=3)
    [send] = sends(harness.submit(work=0.05, id="a"))
    for step in range(1, 20):
        actions = harness.sweep(100.0 + step * 0.05)
        if cancels(actions):
            break
    assert [c.id for c in cancels(actions)] == ["a"] and harness.now < 100.9
    [retry] = sends(harness.end_attempt(send, Outcome.CANCELLED))
    assert retry.engine != send.engine


def test_progress_notes_keep_an_engine_in_service() -> None:
    harness = RouterHarness(make_settings(progress_period=0.5, max_attempts=1), engines=3)
    [send] = sends(harness.submit("long", wait=20.0, work=1.0, id="a"))
    for step in range(1, 100):
        harness.handle(Progress("a", send.engine, 0, ProgressKind.FRACTION_DONE, 0.01 * step))
        assert not cancels(harness.sweep(100.0 + step * 0.1))


def test_an_ejected_engine_comes_back_by_a_single_trial(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=2)
    [send] = sends(harness.submit(work=0.1))
    harness.end_attempt(send, Outcome.CONNECT_FAILED)
    ejected = send.engine
    harness.now += 5.0
    trials = [s for _ in range(6) for s in sends(harness.submit(work=0.1)) if s.engine == ejected]
    assert len(trials) == 1
    harness.end_attempt(trials[0], Outcome.OK, work=0.1)
    assert [s for _ in range(6) for s in sends(harness.submit(work=0.1)) if s.engine == ejected]


def test_after_a_full_answer_an_engine_gets_nothing_for_a_while(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=1)
    [send] = sends(harness.submit(work=0.1))
    assert not sends(harness.end_attempt(send, Outcome.FULL))
    assert sends(harness.sweep(100.2))
    assert harness.choice._under_pressure(harness.choice.engines["e0"])


def test_a_timeout_on_an_engine_that_answers_other_queries_is_no_fault(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=3)
    [slow] = sends(harness.submit(work=0.1, id="slow", data_set=1))
    [quick] = sends(harness.submit(work=0.1, id="quick", data_set=1))
    assert quick.engine == slow.engine
    harness.now += 0.5
    harness.end_attempt(quick, Outcome.OK, work=0.1)
    harness.end_attempt(slow, Outcome.TIMEOUT)
    assert harness.choice.engines[slow.engine].fault_rate == 0.0


def test_a_long_overload_does_not_become_the_baseline(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=1)
    for step in range(300):
        for send in sends(harness.submit(work=0.1)) or sends(harness.sweep(100.0 + step)):
            harness.end_attempt(send, Outcome.OK, 0.8, work=0.1)
    assert harness.choice._under_pressure(harness.choice.engines["e0"])


def test_queries_that_exceed_an_engines_memory_stay_queued() -> None:
    harness = RouterHarness(make_settings(kinds=(EngineKind("medium", 8.0, 1000.0),)), engines=1)
    sent = [s for _ in range(5) for s in sends(harness.submit("long", wait=20.0, work=1.0, memory_mb=400.0))]
    assert len(sent) == 2
    assert len(sends(harness.end_attempt(sent[0], Outcome.OK, work=1.0))) == 1


def test_a_lookup_that_has_missed_its_objective_is_cancelled() -> None:
    harness = RouterHarness(make_settings(max_attempts=1), engines=1)
    harness.submit(work=0.1, id="a")
    engine_record = harness.choice.engines["e0"]
    for step in range(1, 40):
        engine_record.heard_at = harness.now
        actions = harness.sweep(100.0 + step * 0.05)
        if final_answers(actions):
            break
    assert [a.id for a in final_answers(actions)] == [c.id for c in cancels(actions)] == ["a"]
    assert 101.0 < harness.now < 102.0


def test_a_client_retry_is_recognized_by_the_time_left() -> None:
    for marked in (True, False):
        harness = RouterHarness(make_settings(), engines=0)
        for _ in range(5):
            harness.submit(wait=3.6, work=0.1)  # First attempts have nine tenths of the deadline left.
        harness.submit(wait=3.4, work=0.1, id="repeat", is_client_retry=marked)
        assert abs(harness.choice.queries["repeat"].arrived_at - 99.4) < 1e-6


def test_traffic_over_quota_is_rejected_first_when_others_would_wait() -> None:
    tenants = (Tenant("a", 5.0), Tenant("b", 5.0))
    harness = RouterHarness(make_settings(tenants=tenants, over_quota_weight=0.05), engines=1)
    calm = [final_answers(harness.submit(work=0.1, tenant="a")) for _ in range(10)]
    assert not any(calm)
    harness.choice.engines["e0"].closed_until = 200.0
    for _ in range(3):
        assert not final_answers(harness.submit(work=0.1, tenant="b"))
    crowded = [bool(final_answers(harness.submit(work=0.01, tenant=t))) for t in ("a", "b", "a")]
    assert crowded == [True, False, True]


def test_traffic_over_quota_is_sent_after_traffic_within_quota() -> None:
    harness = RouterHarness(make_settings(tenants=(Tenant("a", 1.0),), over_quota_weight=0.05), engines=1)
    harness.choice.engines["e0"].closed_until = 100.5
    harness.submit(work=0.1, tenant="a", id="within")
    harness.choice.now = 101.0
    queries = harness.choice.queries
    queries["within"].over_quota, before = True, harness.choice._priority(queries["within"], 0.0)
    assert harness.choice._priority(queries["within"], 0.0) < before


def test_an_excessive_backlog_is_rejected_by_priority_weight(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=1)
    harness.choice.engines["e0"].closed_until = 200.0
    for i, work in enumerate((2.0, 30.0, 3.0, 4.0)):
        harness.submit("long", wait=20.0, work=work, id=f"q{i}")
    rejected = [a.id for a in final_answers(harness.sweep(100.1))]
    assert rejected[0] == "q1"
    assert "q0" in harness.choice.queries


def test_estimates_follow_the_work_that_answers_report(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=2)
    for _ in range(40):
        [send] = sends(harness.submit(work=0.1))
        harness.end_attempt(send, Outcome.OK, 0.3, work=0.3)
    harness.submit(work=0.1, id="x")
    assert 0.25 < harness.choice.queries["x"].work < 0.35


def test_terms_set_a_priority_by_rank_and_a_grant_above_the_estimate() -> None:
    config = make_settings(memory_granted=True, overcommit_behavior=OvercommitBehavior.PAGE)
    harness = RouterHarness(config)
    terms = [
        a
        for cls in ("short", "long")
        for a in harness.submit(cls, work=0.1, memory_mb=100.0)
        if isinstance(a, SetTerms)
    ]
    assert terms[0].priority > terms[1].priority
    assert all(t.memory_mb is not None and t.memory_mb > 100.0 for t in terms)


def test_an_attempt_is_abandoned_when_its_client_gives_up() -> None:
    harness = RouterHarness(
        make_settings(may_cancel=False, classes=(SHORT, replace(LONG, priority_weight=2.0))), engines=1
    )
    [short] = sends(harness.submit(work=0.1))
    [long] = sends(harness.submit("long", wait=20.0, work=0.3))
    assert short.until == 104.0 and long.until == 120.0


def test_a_retry_spends_nothing_of_its_tenants_quota() -> None:
    harness = RouterHarness(make_settings(tenants=(Tenant("a", 3.0),), over_quota_weight=0.05), engines=1)
    harness.submit(work=0.1, tenant="a")
    for _ in range(5):
        harness.submit(work=0.1, tenant="a", wait=3.0, is_client_retry=True)
    harness.submit(work=0.1, tenant="a", id="second")
    assert not harness.choice.queries["second"].over_quota


def test_errors_of_queries_that_fail_on_every_engine_eject_none() -> None:
    harness = RouterHarness(make_settings(), engines=3)
    for number in range(30):
        [send] = sends(harness.submit(id=f"bad{number}"))
        while retry := sends(harness.end_attempt(send, Outcome.ERROR)):
            [send] = retry
    assert all(engine_record.ejected_at is None for engine_record in harness.choice.engines.values())


def test_errors_of_queries_that_another_engine_answers_eject_the_engine() -> None:
    harness = RouterHarness(make_settings(), engines=3)
    [send] = sends(harness.submit())
    faulty = send.engine
    for _ in range(4):
        while send.engine == faulty:
            [send] = sends(harness.end_attempt(send, Outcome.ERROR))
        harness.end_attempt(send, Outcome.OK)
        [send] = sends(harness.submit())
    assert harness.choice.engines[faulty].ejected_at is not None


def test_several_stalled_queries_eject_an_engine_only_if_it_is_silent() -> None:
    harness = RouterHarness(make_settings(classes=(replace(SHORT, waits_for_loads=True), LONG)), engines=3)
    engine_record = harness.choice.engines["e0"]
    for number in range(STALLS_TO_SUSPECT):
        engine_record.cached_data_sets[number] = (
            None  # The cached data set attracts the query to this engine.
        )
        [send] = sends(harness.submit(data_set=number, work=0.01))
        assert send.engine == "e0"
        assert [c.id for c in cancels(harness.sweep(harness.now + 0.35))] == [send.id]
        [retry] = sends(harness.end_attempt(send, Outcome.CANCELLED, 0.35))
        harness.end_attempt(retry, Outcome.OK, 0.01)
    harness.sweep(harness.now + 0.01)
    # Loads may lock all data sets that were read on it.
    assert engine_record.stalled_queries == STALLS_TO_SUSPECT and engine_record.ejected_at is None
    harness.sweep(100.01 + SUSPECT_SILENCE * SHORT.latency_objective)
    assert engine_record.ejected_at is not None


def test_a_broken_connection_is_one_fault_however_many_attempts_were_on_it(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=3)
    attempts = [send for _ in range(12) for send in sends(harness.submit("long", wait=20.0, work=0.1))]
    broken = [send for send in attempts if send.engine == "e0"]
    engine_record = harness.choice.engines["e0"]
    harness.now += 0.1
    for send in broken:
        harness.end_attempt(send, Outcome.RESET)
    assert len(broken) == 4 and engine_record.ejected_at is None
    assert not cancels(harness.sweep(100.11))  # Attempts on other engines continue.


def test_attempts_sent_before_an_ejection_do_not_prolong_it(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=3)
    attempts = [send for _ in range(9) for send in sends(harness.submit("long", wait=20.0, work=0.1))]
    failed, *late = [send for send in attempts if send.engine == "e0"]
    engine_record = harness.choice.engines["e0"]
    harness.end_attempt(failed, Outcome.CONNECT_FAILED)
    backoff = engine_record.ejection_backoff
    for send in late:
        harness.end_attempt(send, Outcome.TIMEOUT, 2.0)
    assert late and engine_record.ejected_at is not None and engine_record.ejection_backoff == backoff
