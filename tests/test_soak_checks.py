"""The checks of the soak: a valid recording passes, and each deliberate violation is reported."""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import replace

import pytest

from grebeproxy.lab.soak.checks import PAUSE_CHECKS, Violation, violations
from grebeproxy.lab.soak.plan import Kind, make_plan
from grebeproxy.lab.soak.play import rules_of
from grebeproxy.lab.soak.recording import (
    Answer,
    Attempt,
    DutyReport,
    End,
    EngineStart,
    ProcessRecord,
    Recording,
    Reply,
    Request,
    Span,
    Usage,
    Withdrawal,
)

UNSAFE_PLAN = next(plan for plan in map(make_plan, range(100)) if plan.unsafe_reports and plan.key_settle_ms)
RULES = rules_of(UNSAFE_PLAN)
MEBIBYTE = 1024 * 1024


def request(number: int, cls: str = "lookup", *, sent_at: float, key: str | None = None) -> Request:
    limit = 2.0 if cls == "lookup" else 10.0
    txn = f"{number:016x}"
    return Request(txn, 0, 1, number, cls, key, 0.05, limit, sent_at)


def served(client_request: Request, took: float = 0.05) -> Request:
    client_request.answers.append(Answer(client_request.sent_at + took, Reply.SERVED))
    return client_request


def attempt_of(
    client_request: Request, *, at: float, engine: int = 1, end: End | None = End.ANSWERED
) -> Attempt:
    return Attempt(client_request.txn, engine, at, None if end is None else at + 0.02, end)


def valid_recording() -> Recording:
    """A recording in which a router keeps every rule, from second 100 on."""
    recording = Recording(
        processes=[ProcessRecord(0, 99.0, 99.5, terminated_at=115.0, ended_at=116.0, status=0)],
        pauses={0: [Span(108.0, 108.4)]},
        baseline=Span(100.0, 101.0),
        quiet_from=110.0,
        ended_at=116.0,
    )
    for number in range(1, 100):
        cls = "report" if number % 5 == 0 else "lookup"
        client_request = served(request(number, cls, sent_at=100.0 + 0.1 * number))
        recording.requests.append(client_request)
        recording.attempts.append(attempt_of(client_request, at=client_request.sent_at + 0.01))
    for number in range(1000, 1010):
        client_request = served(request(number, "load", sent_at=101.0 + 0.5 * (number - 1000), key="a"))
        recording.requests.append(client_request)
        recording.attempts.append(attempt_of(client_request, at=client_request.sent_at + 0.01))
    recording.withdrawals.append(Withdrawal(7, 103.0))
    recording.engine_starts.append(EngineStart(2, 104.0))
    recording.usage = [Usage(0, at, 20 * MEBIBYTE, 40) for at in (100.5, 105.0, 111.0)]
    recording.duty_reports = [DutyReport(101.0, 1, "r0"), DutyReport(102.0, 2, "r1")]
    recording.datagrams = [100.0 + 0.05 * number for number in range(320)]
    return recording


def violated_checks(recording: Recording) -> set[str]:
    return {one.check for one in violations(recording, RULES, PAUSE_CHECKS) if not one.disturbed}


def test_a_valid_recording_passes() -> None:
    assert violations(valid_recording(), RULES, PAUSE_CHECKS) == []


# --- recordings that break one rule


def second_answer(recording: Recording) -> None:
    served(recording.requests[0], 0.1)


def unreadable_answer(recording: Recording) -> None:
    recording.requests[0].answers = [Answer(100.2, Reply.UNREADABLE)]


def late_answer(recording: Recording) -> None:
    recording.requests[0].answers = []
    served(recording.requests[0], 2.6)


def late_answer_after_a_pause(recording: Recording) -> None:
    client_request = next(one for one in recording.requests if 106.15 < one.sent_at < 106.25)
    client_request.answers = []  # The deadline is within the pause, which ends at 108.4 s.
    served(client_request, 108.95 - client_request.sent_at)


def no_answer(recording: Recording) -> None:
    recording.requests[0].answers = []


def connection_ended(recording: Recording) -> None:
    recording.requests[0].answers = []
    recording.requests[0].lost_at = recording.requests[0].sent_at + 0.2


def killed_with_a_late_request(recording: Recording) -> None:
    process = recording.processes[0]
    process.killed_at, process.ended_at, process.status = 118.7, 118.71, -signal.SIGKILL
    client_request = request(500, sent_at=116.0)
    client_request.lost_at = 118.71
    recording.requests.append(client_request)


def first_attempt_rejected(recording: Recording) -> None:
    recording.requests[0].answers = [Answer(100.2, Reply.REJECTED)]


def two_in_flight(recording: Recording) -> None:
    recording.attempts.append(attempt_of(recording.requests[0], at=100.115, engine=2))


def second_attempt_while_the_first_never_ends(recording: Recording) -> None:
    recording.attempts[0].ended_at = recording.attempts[0].end = None
    recording.attempts.append(attempt_of(recording.requests[0], at=100.3, engine=2))


def many_attempts(recording: Recording) -> None:
    for number in range(RULES.max_attempts):
        recording.attempts.append(attempt_of(recording.requests[0], at=100.2 + 0.05 * number))


def unknown_request(recording: Recording) -> None:
    recording.attempts.append(Attempt("ffff", 1, 105.0, 105.1, End.ANSWERED))


def unsafe_retry(recording: Recording) -> None:
    report = next(one for one in recording.requests if one.query_class == "report")
    recording.attempts.append(attempt_of(report, at=report.sent_at + 0.2))


def unsafe_rejection(recording: Recording) -> None:
    report = next(one for one in recording.requests if one.query_class == "report")
    report.answers = [Answer(report.sent_at + 0.2, Reply.REJECTED)]


def retry_past_its_window(recording: Recording) -> None:
    load = recording.requests[-1]
    recording.attempts.append(attempt_of(load, at=load.sent_at + RULES.classes["load"].window + 0.2))


def out_of_order(recording: Recording) -> None:
    loads = [one for one in recording.requests if one.key is not None]
    loads[0].answers = []
    served(loads[0], 1.0)


def key_in_flight(recording: Recording) -> None:
    loads = [one for one in recording.requests if one.key is not None]
    next(one for one in recording.attempts if one.txn == loads[0].txn).ended_at = loads[1].sent_at + 0.2


def key_not_settled(recording: Recording) -> None:
    loads = [one for one in recording.requests if one.key is not None]
    stopped = next(one for one in recording.attempts if one.txn == loads[0].txn)
    stopped.end, stopped.ended_at = End.STOPPED, loads[1].sent_at - 0.1


def sent_to_a_draining_engine(recording: Recording) -> None:
    recording.attempts[60] = replace(recording.attempts[60], engine=7)


def sent_after_the_client_left(recording: Recording) -> None:
    recording.requests[0].left_at = recording.requests[0].sent_at
    recording.attempts[0].began_at += 0.2
    recording.attempts[0].ended_at = 105.0


def engine_overloaded(recording: Recording) -> None:
    for number in range(2000, 3200):
        client_request = served(request(number, sent_at=104.1))
        recording.requests.append(client_request)
        recording.attempts.append(attempt_of(client_request, at=104.11, engine=2))


def crash(recording: Recording) -> None:
    recording.processes[0].ended_at, recording.processes[0].status = 112.0, 1


def crash_after_sigterm(recording: Recording) -> None:
    recording.processes[0].status = 1


def fault_in_the_log(recording: Recording) -> None:
    recording.processes[0].log = "router.decision_module.failed\nTraceback (most recent call last)"


def not_ready(recording: Recording) -> None:
    recording.processes[0].ready_at = 110.0


def never_ready(recording: Recording) -> None:
    recording.processes[0].ready_at = None


def too_much_memory(recording: Recording) -> None:
    recording.usage.append(Usage(0, 106.0, 100 * MEBIBYTE, 40))


def too_many_descriptors(recording: Recording) -> None:
    recording.usage.append(Usage(0, 106.0, 20 * MEBIBYTE, RULES.sockets + 1))


def descriptors_leak(recording: Recording) -> None:
    recording.usage[-1] = Usage(0, 111.0, 20 * MEBIBYTE, 60)


def two_holders(recording: Recording) -> None:
    recording.duty_reports.append(DutyReport(103.0, 1, "r0"))


def two_holders_though_nobody_restarted(recording: Recording) -> None:
    recording.duty_reports.append(DutyReport(103.0, 1, "r2"))


def two_holders_though_one_restarted(recording: Recording) -> None:
    recording.processes.append(ProcessRecord(1, 102.5, 103.0, terminated_at=115.0, ended_at=116.0, status=0))
    recording.duty_reports.append(DutyReport(103.0, 1, "r0"))


def traffic_stays_up(recording: Recording) -> None:
    recording.datagrams += [110.0 + 0.01 * number for number in range(600)]


BROKEN_RULES: dict[Callable[[Recording], None], str] = {
    second_answer: "second answer",
    unreadable_answer: "unreadable answer",
    late_answer: "late answer",
    late_answer_after_a_pause: "late answer",
    no_answer: "never answered",
    connection_ended: "connection ended over a request",
    killed_with_a_late_request: "connection ended over a request",
    first_attempt_rejected: "first attempt rejected",
    two_in_flight: "two attempts in flight",
    second_attempt_while_the_first_never_ends: "two attempts in flight",
    many_attempts: "too many attempts",
    unknown_request: "unknown request",
    unsafe_retry: "unsafe retry",
    unsafe_rejection: "rejected what may have run",
    retry_past_its_window: "retry past its window",
    out_of_order: "key out of order",
    key_in_flight: "key out of order",
    key_not_settled: "key not settled",
    sent_to_a_draining_engine: "sent to a draining engine",
    sent_after_the_client_left: "sent after the client left",
    engine_overloaded: "warming engine overloaded",
    crash: "crash",
    crash_after_sigterm: "crash",
    fault_in_the_log: "fault in the log",
    not_ready: "not ready in time",
    never_ready: "not ready in time",
    too_much_memory: "too much memory",
    too_many_descriptors: "too many descriptors",
    descriptors_leak: "descriptors leak",
    two_holders: "two holders of a lease",
    two_holders_though_nobody_restarted: "two holders of a lease",
    two_holders_though_one_restarted: "two holders of a lease",
    traffic_stays_up: "traffic stays up",
}


@pytest.mark.parametrize("break_rule", BROKEN_RULES, ids=lambda break_rule: break_rule.__name__)
def test_a_broken_rule_is_reported(break_rule: Callable[[Recording], None]) -> None:
    recording = valid_recording()
    break_rule(recording)
    assert BROKEN_RULES[break_rule] in violated_checks(recording)


@pytest.mark.parametrize("break_rule", BROKEN_RULES, ids=lambda break_rule: break_rule.__name__)
def test_a_violation_while_the_harness_ran_late_is_marked_as_disturbed(
    break_rule: Callable[[Recording], None],
) -> None:
    recording = valid_recording()
    break_rule(recording)
    recording.late.append(Span(99.0, 140.0))
    reported = violations(recording, RULES, PAUSE_CHECKS)
    assert BROKEN_RULES[break_rule] in {one.check for one in reported} and not violated_checks(recording)
    assert all(isinstance(one, Violation) and one.disturbed for one in reported)


# --- recordings that the rules allow


def killed_with_an_early_request(recording: Recording) -> None:
    """A request sent in the first 0.7 s after SIGTERM may be lost if its deadline is after SIGKILL."""
    process = recording.processes[0]
    process.killed_at, process.ended_at, process.status = 118.7, 118.71, -signal.SIGKILL
    client_request = request(500, "report", sent_at=115.5)
    client_request.lost_at = 118.71
    recording.requests.append(client_request)


def sent_while_the_connection_closed(recording: Recording) -> None:
    recording.requests[0].answers = []
    recording.requests[0].lost_at = recording.requests[0].sent_at + 0.03


def cancelled(recording: Recording) -> None:
    recording.requests[0].answers = []
    recording.requests[0].left_at = recording.requests[0].sent_at + 0.05


def answered_after_a_pause(recording: Recording) -> None:
    client_request = next(one for one in recording.requests if 106.15 < one.sent_at < 106.25)
    client_request.answers = []
    served(client_request, 108.6 - client_request.sent_at)


def retried_what_never_ran(recording: Recording) -> None:
    report = next(one for one in recording.requests if one.query_class == "report")
    next(one for one in recording.attempts if one.txn == report.txn).end = End.NEVER_RAN
    recording.attempts.append(attempt_of(report, at=report.sent_at + 0.2))


def sent_within_the_drain_grace(recording: Recording) -> None:
    recording.attempts[40] = replace(recording.attempts[40], engine=7)


def reported_after_a_pause(recording: Recording) -> None:
    """A holder paused between its clock check and its report is stopped by the fencing token."""
    recording.duty_reports.append(DutyReport(108.45, 1, "r0"))


def reported_by_a_holder_whose_voters_have_restarted(recording: Recording) -> None:
    """Voters that restart forget old ballots, so a new holder may use a lower one.

    In the soak's seed 34 all routers had restarted, and none remembered ballot 9 of an expired lease.
    """
    recording.processes.append(ProcessRecord(1, 102.5, 103.0, terminated_at=115.0, ended_at=116.0, status=0))
    recording.duty_reports.append(DutyReport(105.0, 1, "r2"))


@pytest.mark.parametrize(
    "allowed",
    [
        killed_with_an_early_request,
        sent_while_the_connection_closed,
        cancelled,
        answered_after_a_pause,
        retried_what_never_ran,
        sent_within_the_drain_grace,
        reported_after_a_pause,
        reported_by_a_holder_whose_voters_have_restarted,
    ],
    ids=lambda allowed: allowed.__name__,
)
def test_what_the_rules_allow_passes(allowed: Callable[[Recording], None]) -> None:
    recording = valid_recording()
    allowed(recording)
    assert violations(recording, RULES, PAUSE_CHECKS) == []


# --- schedules


def test_a_seed_determines_its_whole_schedule() -> None:
    plans = [make_plan(seed) for seed in range(1, 51)]
    assert [plan.text() for plan in plans] == [make_plan(plan.seed).text() for plan in plans]
    assert len({plan.text() for plan in plans}) == len(plans)
    assert {plan.kind for plan in plans} == set(Kind)
