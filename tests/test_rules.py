"""The seven rules, each with its edges, and a property test over arbitrary legal events."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from conftest import LOAD, LONG, RULES, SHORT, RouterHarness, cancels, final_answers, make_settings, sends
from hypothesis import given, settings
from hypothesis import strategies as st

from grebeproxy import Choice, Settings
from grebeproxy.policy.interface import (
    AttemptBudget,
    AttemptEnded,
    Cancel,
    Idempotency,
    Engine,
    EngineList,
    EngineState,
    Fail,
    ClientDisconnected,
    EngineKind,
    ListKind,
    Outcome,
    HealthCheck,
    HealthCheckEnded,
    Progress,
    ProgressKind,
    Query,
    Reject,
    Scope,
    Send,
    TimerFired,
)

ONCE = replace(LOAD, name="once", idempotency=Idempotency.NON_IDEMPOTENT, ordered_by_key=True)


def only(cls: Any, **changes: Any) -> Settings:
    return make_settings(classes=(replace(SHORT, name="other"), cls), **changes)


# 1: one final answer, in time


def test_a_queued_query_is_answered_before_it_is_due(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=0)
    harness.submit("long", wait=5.0, id="a", work=0.1)
    answers, at = [], 100.0
    while at < 105.0:
        at += 0.05
        answers += [(at, a) for a in final_answers(harness.sweep(at))]
    assert len(answers) == 1
    assert isinstance(answers[0][1], Reject) and answers[0][0] < 105.0


def test_a_late_retry_with_little_time_left_is_answered_at_once(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=0)
    assert [a.id for a in final_answers(harness.submit(wait=0.014, id="a", work=0.001))] == ["a"]


def test_what_cannot_end_in_time_is_given_up_at_once_with_advice(settings: Settings) -> None:
    [answer] = final_answers(RouterHarness(settings).submit("long", wait=5.0, work=60.0))
    assert isinstance(answer, Reject) and answer.retry_after is not None
    assert 0 < answer.retry_after <= 1.0


def test_the_time_out_at_the_deadline_is_answered(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=1)
    [send] = sends(harness.submit(id="a", work=0.1))
    harness.now += 4.0
    assert len(final_answers(harness.end_attempt(send, Outcome.TIMEOUT))) == 1
    assert not harness.choice.queries


def test_nothing_follows_when_the_client_has_left(settings: Settings) -> None:
    harness = RouterHarness(settings)
    [send] = sends(harness.submit(id="a", work=0.1))
    assert not harness.handle(ClientDisconnected("a"))[1:]
    assert not final_answers(harness.end_attempt(send, Outcome.ERROR)) and not harness.choice.queries


# 2: no effect twice


def test_a_non_idempotent_query_is_not_retried_nor_rejected_once_it_may_have_run() -> None:
    harness = RouterHarness(only(ONCE), engines=3)
    [send] = sends(harness.submit("once", wait=20.0, work=1.0))
    actions = harness.end_attempt(send, Outcome.ERROR)
    assert not sends(actions) and isinstance(final_answers(actions)[0], Fail)


def test_a_non_idempotent_query_is_retried_when_it_is_known_not_to_have_run() -> None:
    harness = RouterHarness(only(ONCE), engines=3)
    [send] = sends(harness.submit("once", wait=20.0, work=1.0))
    [again] = sends(harness.end_attempt(send, Outcome.CONNECT_FAILED))
    assert again.engine != send.engine


def test_a_query_with_an_idempotency_key_is_retried_within_its_window_only() -> None:
    for waited, expected in ((1.0, 1), (11.0, 0)):
        harness = RouterHarness(only(LOAD), engines=3)
        [send] = sends(harness.submit("load", wait=20.0, work=1.0))
        harness.now += waited
        actions = harness.end_attempt(send, Outcome.ERROR)
        assert len(sends(actions)) == expected
        assert len(final_answers(actions)) == 1 - expected


def test_a_key_by_zone_or_cell_stays_in_its_group_and_fails_rather_than_rejects() -> None:
    for scope in (Scope.ZONE, Scope.CELL):
        harness = RouterHarness(only(replace(LOAD, scope=scope), zones=("a", "b")), engines=0)
        harness.receive_engine_list(Engine("e0", "medium", "a", 0), Engine("e1", "medium", "b", 1))
        [send] = sends(harness.submit("load", wait=8.0, work=1.0, id="x"))
        harness.receive_engine_list(
            replace(harness.choice.engines[send.engine].entry, state=EngineState.DRAINING),
            list_kind=ListKind.CHANGES,
        )
        assert not sends(harness.end_attempt(send, Outcome.ERROR))
        ends = [a for i in range(100) for a in final_answers(harness.sweep(100.0 + i * 0.08))]
        assert [type(a) for a in ends] == [Fail]


def test_a_query_has_one_attempt_out_at_a_time(settings: Settings) -> None:
    harness = RouterHarness(settings, engines=3)
    harness.submit(id="a", work=0.1)
    assert not [s for i in range(40) for s in sends(harness.sweep(100.0 + i * 0.1)) if s.id == "a"]


# 3: drains


def test_nothing_goes_to_a_draining_or_gone_engine(settings: Settings) -> None:
    for state in (EngineState.DRAINING, EngineState.GONE):
        harness = RouterHarness(settings)
        harness.receive_engine_list(Engine("e0", "medium", state=state), list_kind=ListKind.CHANGES)
        assert {s.engine for _ in range(20) for s in sends(harness.submit(work=0.1))} == {"e1"}


def test_an_engine_absent_from_a_full_list_is_gone(settings: Settings) -> None:
    harness = RouterHarness(settings)
    harness.receive_engine_list(Engine("e1", "medium"))
    assert {s.engine for _ in range(20) for s in sends(harness.submit(work=0.1))} == {"e1"}


def test_a_failed_list_leaves_the_last_one_and_is_asked_again() -> None:
    harness = RouterHarness(make_settings(polls_engine_list=True, rules=replace(RULES, list_max_age=8.0)))
    harness.handle(EngineList(ListKind.FAILED))
    assert sends(harness.submit(work=0.1))
    assert any(type(a).__name__ == "Watch" for a in harness.sweep(103.0))


# 4: warming engines


def test_a_warming_engine_gets_no_more_than_its_budget() -> None:
    harness = RouterHarness(make_settings(balancers=2), engines=1, started=99.0)
    budget = RULES.overload_factor * RULES.slow_start_fraction * 8.0 * RULES.overload_time / 2
    sent = sum(len(sends(harness.submit(work=0.5))) for _ in range(60))
    for _ in range(9):
        sent += len(sends(harness.sweep(harness.now + 0.1)))
    assert 0 < 0.5 * sent <= budget


def test_a_long_query_waits_for_a_warm_engine() -> None:
    harness = RouterHarness(make_settings(balancers=4), engines=0)
    harness.receive_engine_list(Engine("cold", "medium", started=99.0), Engine("warm", "medium"))
    harness.choice.typical_work = [0.1, 9.0, 9.0]
    assert {s.engine for _ in range(6) for s in sends(harness.submit("long", wait=20.0, work=2.0))} == {
        "warm"
    }


def test_an_engine_that_restarts_under_its_old_id_warms_up(settings: Settings) -> None:
    harness = RouterHarness(settings)
    harness.receive_engine_list(Engine("e0", "medium", started=99.5), list_kind=ListKind.CHANGES)
    assert harness.choice._warming_up(harness.choice.engines["e0"])
    assert not harness.choice._warming_up(harness.choice.engines["e1"])


def test_an_engine_that_was_unreachable_counts_as_warming_up_whatever_the_list_says(
    settings: Settings,
) -> None:
    harness = RouterHarness(settings, engines=1)
    [send] = sends(harness.submit(work=0.1, id="a"))
    harness.end_attempt(send, Outcome.CONNECT_FAILED)
    [trial] = sends(harness.sweep(102.0)) or sends(harness.submit(work=0.1, id="b"))
    harness.end_attempt(trial, Outcome.OK, work=0.1)
    assert harness.choice._warming_up(harness.choice.engines["e0"])


# 5: order


def test_a_key_runs_one_at_a_time_in_order_and_moves_on_when_one_dies() -> None:
    harness = RouterHarness(only(ONCE), engines=3)
    [first] = sends(harness.submit("once", wait=20.0, work=1.0, key="k", id="a"))
    assert not sends(harness.submit("once", wait=20.0, work=1.0, key="k", id="b"))
    assert not sends(harness.submit("once", wait=20.0, work=1.0, key="k", id="c"))
    assert [s.id for s in sends(harness.submit("once", wait=20.0, work=1.0, key="other", id="d"))] == ["d"]
    harness.handle(ClientDisconnected("b"))
    assert [s.id for s in sends(harness.end_attempt(first, Outcome.ERROR))] == ["c"]


def test_a_client_that_left_still_blocks_its_key_while_its_attempt_is_out() -> None:
    harness = RouterHarness(only(ONCE), engines=3)
    [first] = sends(harness.submit("once", wait=20.0, work=1.0, key="k", id="a"))
    harness.handle(ClientDisconnected("a"))
    assert not sends(harness.submit("once", wait=20.0, work=1.0, key="k", id="b"))
    assert [s.id for s in sends(harness.end_attempt(first, Outcome.RESET))] == ["b"]


def test_a_key_rests_after_an_attempt_that_may_still_run() -> None:
    harness = RouterHarness(only(ONCE, rules=replace(RULES, key_settle_time=0.5)), engines=3)
    [first] = sends(harness.submit("once", wait=20.0, work=1.0, key="k", id="a"))
    assert not sends(harness.submit("once", wait=20.0, work=1.0, key="k", id="b"))
    assert not sends(harness.end_attempt(first, Outcome.RESET))
    assert not sends(harness.sweep(100.4))
    assert [s.id for s in sends(harness.sweep(100.51))] == ["b"]


# 6: placement


def test_a_bound_class_waits_or_ends_when_its_engines_are_down() -> None:
    bound = replace(LONG, allowed_kinds=frozenset({"big"}), allowed_zones=frozenset({"a"}))
    harness = RouterHarness(
        make_settings(
            classes=(SHORT, bound),
            zones=("a", "b"),
            kinds=(EngineKind("medium", 8.0), EngineKind("big", 12.0)),
        ),
        engines=0,
    )
    harness.receive_engine_list(Engine("m", "medium", "a"), Engine("b-big", "big", "b"))
    assert not sends(harness.submit("long", wait=20.0, work=1.0))
    actions = harness.receive_engine_list(Engine("a-big", "big", "a"), list_kind=ListKind.CHANGES)
    assert [s.engine for s in sends(actions)] == ["a-big"]


# 7: budget of attempts


def test_further_attempts_stay_within_the_budget() -> None:
    rules = replace(RULES, attempt_budget=AttemptBudget(window=10.0, floor=1.0, fraction=0.1))
    harness = RouterHarness(make_settings(rules=rules), engines=30)
    for _ in range(10):
        for send in sends(harness.submit(work=0.1)):
            harness.end_attempt(send, Outcome.FULL)
    assert harness.count == 10
    assert sum(harness.attempts.values()) == 2


# all of them


@st.composite
def days(draw: st.DrawFn) -> list[tuple[str, int, int]]:
    kinds = st.sampled_from(
        ["query", "query", "query", "end", "end", "gone", "list", "timer", "probed", "note"]
    )
    return draw(st.lists(st.tuples(kinds, st.integers(0, 999), st.integers(0, 400)), max_size=80))


@settings(max_examples=120)
@given(days(), st.booleans(), st.booleans())
def test_any_legal_events_keep_the_rules(
    day: list[tuple[str, int, int]], may_cancel: bool, asks: bool
) -> None:
    budget = AttemptBudget(window=2.0, floor=1.0, fraction=0.5)
    bound = replace(LONG, allowed_kinds=frozenset({"big"}))
    rules = replace(RULES, key_settle_time=0.3, attempt_budget=budget)
    config = make_settings(
        classes=(SHORT, bound, LOAD, ONCE),
        kinds=(EngineKind("medium", 8.0), EngineKind("big", 12.0)),
        rules=rules,
        may_cancel=may_cancel,
        may_health_check=asks,
        balancers=30 if asks else 1,
        progress_period=0.2 if asks else None,
    )
    choice, now = Choice(config, 0.0, 3), 0.0
    fleet = [Engine(f"e{i}", "big" if i % 2 else "medium") for i in range(4)]
    state = {e.id: EngineState.UP for e in fleet}
    kind = {e.id: e.kind for e in fleet}
    queries: dict[str, Query] = {}
    answered: dict[str, int] = {}
    attempts: dict[str, list[tuple[float, Outcome | None]]] = {}
    out: dict[str, tuple[str, int]] = {}
    ordered: dict[str, list[str]] = {}
    rested: dict[str, float] = {}
    extra: list[float] = []
    taken: list[float] = []

    def check(actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                query = queries[action.id]
                cls = choice.classes[choice.class_rank[query.cls]]
                past = attempts[action.id]
                assert not answered[action.id] and action.id not in out and now < query.due
                assert state[action.engine] is EngineState.UP
                assert cls.allowed_kinds is None or kind[action.engine] in cls.allowed_kinds
                ran = [at for at, how in past if how is not None and not how.never_ran]
                assert not ran or cls.idempotency is not Idempotency.NON_IDEMPOTENT
                assert not ran or cls.idempotency is Idempotency.IDEMPOTENT or now < ran[0] + cls.retry_window
                if cls.ordered_by_key and query.key:
                    assert ordered[query.key][0] == action.id
                    assert past or now >= rested.get(query.key, 0.0)
                if past:
                    extra.append(now)
                    recent = [sum(at > now - budget.window for at in log) for log in (extra, taken)]
                    assert recent[0] <= budget.floor + budget.fraction * recent[1]
                out[action.id] = (action.engine, len(past))
                past.append((now, None))
            elif isinstance(action, Reject | Fail):
                cls = choice.classes[choice.class_rank[queries[action.id].cls]]
                may_run = [how for _, how in attempts[action.id] if how is None or not how.never_ran]
                if isinstance(action, Reject):
                    assert cls.idempotency is not Idempotency.NON_IDEMPOTENT or not may_run
                close(action.id)
            elif isinstance(action, HealthCheck):
                assert asks
            elif isinstance(action, Cancel):
                assert may_cancel and action.attempt < len(attempts[action.id])

    def close(query_id: str) -> None:
        answered[query_id] += 1
        assert answered[query_id] == 1
        leave_turn(query_id)

    def leave_turn(query_id: str) -> None:
        key = queries[query_id].key
        if key and answered[query_id] and query_id not in out and query_id in ordered.get(key, []):
            ordered[key].remove(query_id)

    def finish(query_id: str, outcome: Outcome) -> None:
        engine, number = out.pop(query_id)
        attempts[query_id][number] = (attempts[query_id][number][0], outcome)
        settled = answered[query_id] > 0 or outcome is Outcome.OK
        if outcome is Outcome.OK and not answered[query_id]:
            answered[query_id] += 1
        key = queries[query_id].key
        if key and outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            rested[key] = now + 0.3
        leave_turn(query_id)
        check(choice.handle(now, [AttemptEnded(query_id, engine, number, outcome, 0.1, settled, work=0.2)]))

    check(choice.handle(now, [EngineList(ListKind.FULL, tuple(fleet))]))
    outcomes = list(Outcome)
    for what, number, gap in day:
        now += gap / 1000.0
        due = [q for q in out if queries[q].due <= now]
        for query_id in due:
            finish(query_id, Outcome.TIMEOUT)
        if what == "query":
            name = ("short", "long", "load", "once")[number % 4]
            query = Query(
                f"q{len(queries)}",
                name,
                now + 1.0 + number / 100.0,
                work=0.05 * (1 + number % 9),
                key=f"k{number % 3}" if name == "once" else None,
            )
            queries[query.id], attempts[query.id], answered[query.id] = query, [], 0
            if query.key:
                ordered.setdefault(query.key, []).append(query.id)
            taken.append(now)
            check(choice.handle(now, [query]))
        elif what == "end" and out:
            finish(sorted(out)[number % len(out)], outcomes[number % len(outcomes)])
        elif what == "gone" and queries:
            query_id = f"q{number % len(queries)}"
            if not answered[query_id]:
                close(query_id)
                check(choice.handle(now, [ClientDisconnected(query_id)]))
        elif what == "list":
            entry = fleet[number % 4]
            state[entry.id] = (EngineState.UP, EngineState.DRAINING, EngineState.GONE)[number % 3]
            entry = replace(entry, state=state[entry.id])
            check(choice.handle(now, [EngineList(ListKind.CHANGES, (entry,))]))
        elif what == "probed":
            how = outcomes[number % len(outcomes)]
            check(choice.handle(now, [HealthCheckEnded(fleet[number % 4].id, number / 20000.0, how)]))
        elif what == "note" and out:
            query_id = sorted(out)[number % len(out)]
            check(
                choice.handle(
                    now,
                    [
                        Progress(
                            query_id,
                            out[query_id][0],
                            out[query_id][1],
                            ProgressKind.FRACTION_DONE,
                            number / 1000.0,
                        )
                    ],
                )
            )
        elif what == "timer":
            check(choice.handle(now, [TimerFired("sweep")]))
    while now < max((q.due for q in queries.values()), default=0.0) + 0.1:
        now += 0.05
        for query_id in [q for q in out if queries[q].due <= now]:
            finish(query_id, Outcome.TIMEOUT)
        check(choice.handle(now, [TimerFired("sweep")]))
    assert all(count == 1 for count in answered.values())
    assert not choice.queries and not cancels(choice.handle(now, []))
