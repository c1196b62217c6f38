"""Checks of a recorded run against the rules of the platform's protocol.

Each check is named after the rule that it tests, and depends only on the recording and the limits in
``Rules``.
"""

from __future__ import annotations

import signal
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import pairwise
from math import sqrt

from grebeproxy.lab.soak.recording import Attempt, End, Recording, Reply, Request
from grebeproxy.lab.soak.rules import (
    ANSWER_GRACE_S,
    BUSY_FRACTION,
    CANCEL_GRACE_S,
    CLOSE_RACE_S,
    READY_LIMIT_S,
    SERVE_AFTER_SIGTERM_S,
    TIMING_SLACK_S,
    SMALL_BUDGET,
    Rules,
)

LATE_MARGIN_S = 0.2  # A violation counts only if the harness was not late this long before and after it.
MEMORY_FRACTION = 0.5  # The platform charges for memory above this fraction of a router's limit.
MAX_DESCRIPTOR_GROWTH = 16  # descriptors that an idle router may hold after the faults beyond those before
TRAFFIC_FACTOR = 2.0  # highest ratio of the datagram rate after the faults to the rate before them


@dataclass(frozen=True, slots=True)
class Violation:
    """One case of a broken rule. ``at`` is in seconds on the recording's clock."""

    check: str
    at: float
    text: str
    disturbed: bool = False  # The harness ran late near this time, so the violation proves nothing.


Check = Callable[[Recording, Rules], Iterator[Violation]]


def violations(recording: Recording, rules: Rules, checks: dict[str, Check] | None = None) -> list[Violation]:
    """Run the checks, ``CHECKS`` by default, and return all violations in order of time."""
    found = [
        violation
        for check in (CHECKS if checks is None else checks).values()
        for violation in check(recording, rules)
    ]
    return sorted((_mark_disturbed(violation, recording) for violation in found), key=lambda one: one.at)


def _mark_disturbed(violation: Violation, recording: Recording) -> Violation:
    began, ended = violation.at - LATE_MARGIN_S, violation.at + LATE_MARGIN_S
    if not any(span.overlap(began, ended) for span in recording.late):
        return violation
    return Violation(violation.check, violation.at, violation.text, disturbed=True)


# --- clients


def one_final_answer(recording: Recording, rules: Rules) -> Iterator[Violation]:
    """Each request that a router has read gets exactly one final answer before its deadline."""
    for request in recording.requests:
        if len(request.answers) > 1:
            yield Violation("second answer", request.answers[1].at, _describe(request))
        if any(answer.reply is Reply.UNREADABLE for answer in request.answers):
            yield Violation("unreadable answer", request.answers[0].at, _describe(request))
        if request.answers:
            yield from _check_late_answer(request, recording)
        elif request.left_at is None:
            yield from _check_missing_answer(request, recording)


def _check_late_answer(request: Request, recording: Recording) -> Iterator[Violation]:
    due = recording.resumed_after(request.router, request.deadline) + ANSWER_GRACE_S
    answered_at = request.answers[0].at
    if answered_at > due and request.left_at is None:
        yield Violation("late answer", answered_at, f"{answered_at - due:.3f} s late: {_describe(request)}")


def _check_missing_answer(request: Request, recording: Recording) -> Iterator[Violation]:
    """Report a request without an answer, unless the router's process ended or closed an idle connection."""
    process = recording.process_at(request.router, request.sent_at)
    if process is None:
        return  # The request was written to a process that had already ended.
    lost_at = request.lost_at
    due = recording.resumed_after(request.router, request.deadline) + ANSWER_GRACE_S
    if process.killed_at is not None and process.killed_at <= min(lost_at or due, due):
        killed_by_crash = process.terminated_at is None
        taken_late = not killed_by_crash and (
            request.sent_at > (process.terminated_at or 0.0) + SERVE_AFTER_SIGTERM_S + TIMING_SLACK_S
        )
        if not taken_late:
            return
    if lost_at is None:
        if due < recording.ended_at:
            yield Violation("never answered", due, _describe(request))
    elif lost_at - request.sent_at > CLOSE_RACE_S + recording.paused_seconds(
        request.router, request.sent_at, lost_at
    ):
        yield Violation("connection ended over a request", lost_at, _describe(request))


def nothing_rejected(recording: Recording, rules: Rules) -> Iterator[Violation]:
    """No request is rejected at its first attempt if short pauses of the process are the only fault."""
    for request in recording.requests:
        for answer in request.answers:
            process = recording.process_at(request.router, answer.at)
            ending = process is None or (
                process.terminated_at is not None and process.terminated_at <= answer.at
            )
            if answer.reply is Reply.REJECTED and not ending:
                yield Violation("first attempt rejected", answer.at, _describe(request))


# --- attempts


def one_attempt_in_flight(recording: Recording, rules: Rules) -> Iterator[Violation]:
    """A request has at most one attempt in flight, and no more attempts in total than the settings allow."""
    for txn, attempts in _attempts_by_txn(recording).items():
        for earlier, later in pairwise(attempts):
            if earlier.ended_at is None or later.began_at < earlier.ended_at:
                text = f"{txn}: at engine {later.engine} while in flight at engine {earlier.engine}"
                yield Violation("two attempts in flight", later.began_at, text)
        if len(attempts) > rules.max_attempts:
            yield Violation("too many attempts", attempts[-1].began_at, f"{txn}: {len(attempts)}")


def harmless_retries(recording: Recording, rules: Rules) -> Iterator[Violation]:
    """A statement that may have run is retried only if its class and the retry window allow that."""
    requests = {request.txn: request for request in recording.requests}
    for txn, attempts in _attempts_by_txn(recording).items():
        request = requests.get(txn)
        if request is None:
            yield Violation("unknown request", attempts[0].began_at, txn)
            continue
        class_rules = rules.classes[request.query_class]
        may_have_run = next((one for one in attempts if one.end is not End.NEVER_RAN), None)
        if class_rules.repeatable or may_have_run is None:
            continue
        for later in attempts[attempts.index(may_have_run) + 1 :]:
            after = later.began_at - may_have_run.began_at
            if not class_rules.has_idempotency_key:
                yield Violation("unsafe retry", later.began_at, f"{after:.3f} s after: {_describe(request)}")
            elif after > class_rules.window + TIMING_SLACK_S:
                yield Violation(
                    "retry past its window", later.began_at, f"{after:.3f} s: {_describe(request)}"
                )
        rejected = [answer for answer in request.answers if answer.reply is Reply.REJECTED]
        if rejected and not class_rules.has_idempotency_key:
            yield Violation("rejected what may have run", rejected[0].at, _describe(request))


def keys_in_order(recording: Recording, rules: Rules) -> Iterator[Violation]:
    """Requests with the same order key run one at a time, in the order in which they reach a router."""
    by_txn = _attempts_by_txn(recording)
    queues: dict[tuple[int, str, float], list[Request]] = defaultdict(list)
    for request in sorted(recording.requests, key=lambda one: one.sent_at):
        if request.key is not None and rules.classes[request.query_class].ordered:
            process = recording.process_at(request.router, request.sent_at)
            queues[request.router, request.key, process.started_at if process else 0.0].append(request)
    for queue in queues.values():
        for position, request in enumerate(queue):
            if request.txn in by_txn:
                began_at = by_txn[request.txn][0].began_at
                yield from _check_order(request, began_at, queue[:position], by_txn, rules)


def _check_order(
    request: Request,
    began_at: float,
    earlier: list[Request],
    by_txn: dict[str, list[Attempt]],
    rules: Rules,
) -> Iterator[Violation]:
    for other in earlier:
        if other.finished_at is None or other.finished_at > began_at + TIMING_SLACK_S:
            yield Violation("key out of order", began_at, f"{_describe(request)} before {other.txn} ended")
        for attempt in by_txn.get(other.txn, ()):
            if attempt.ended_at is None or attempt.ended_at > began_at:
                yield Violation("key out of order", began_at, f"{_describe(request)}: {other.txn} in flight")
            elif attempt.end in (End.STOPPED, End.CLOSED):
                rested = began_at - attempt.ended_at
                if rested < rules.key_settle - TIMING_SLACK_S:
                    yield Violation("key not settled", began_at, f"{rested:.3f} s: {_describe(request)}")


def nothing_to_withdrawn_engines(recording: Recording, rules: Rules) -> Iterator[Violation]:
    """No attempt begins at a draining or removed engine after the drain grace of the settings."""
    for withdrawal in recording.withdrawals:
        until = min(
            (
                start.at
                for start in recording.engine_starts
                if _is_restart_after(start.engine, start.at, withdrawal)
            ),
            default=float("inf"),
        )
        for attempt in recording.attempts:
            after = attempt.began_at - withdrawal.at
            if (
                attempt.engine == withdrawal.engine
                and attempt.began_at < until
                and after > rules.drain_grace + TIMING_SLACK_S
            ):
                text = f"{attempt.txn} to engine {attempt.engine} {after:.3f} s after its withdrawal"
                yield Violation("sent to a draining engine", attempt.began_at, text)


def _is_restart_after(engine: int, at: float, withdrawal: object) -> bool:
    return engine == getattr(withdrawal, "engine", None) and at > getattr(withdrawal, "at", 0.0)


def nothing_after_client_left(recording: Recording, rules: Rules) -> Iterator[Violation]:
    """No attempt begins more than 0.1 s after its client cancelled or disconnected."""
    by_txn = _attempts_by_txn(recording)
    for request in recording.requests:
        if request.left_at is None:
            continue
        for attempt in by_txn.get(request.txn, ()):
            after = attempt.began_at - request.left_at
            if after > CANCEL_GRACE_S + TIMING_SLACK_S:
                text = f"{after:.3f} s after its client left: {_describe(request)}"
                yield Violation("sent after the client left", attempt.began_at, text)


def slow_start(recording: Recording, rules: Rules) -> Iterator[Violation]:
    """All routers together send a warming engine at most its budget plus a margin for random variation."""
    work = {request.txn: request.work for request in recording.requests}
    mean_work = sum(work.values()) / max(1, len(work))
    for start in recording.engine_starts:
        sent = sorted(
            (attempt.began_at, work.get(attempt.txn, 0.0))
            for attempt in recording.attempts
            if attempt.engine == start.engine
            and start.at <= attempt.began_at < start.at + rules.slow_start_time
        )
        first, total = 0, 0.0
        for at, weight in sent:
            total += weight
            while sent[first][0] <= at - rules.overload_time:
                total -= sent[first][1]
                first += 1
            allowed = _allowed_queries(at - rules.overload_time / 2 - start.at, mean_work, rules)
            if total / mean_work > allowed:
                text = f"engine {start.engine}: {total / mean_work:.1f} queries, {allowed:.1f} allowed"
                yield Violation("warming engine overloaded", at, text)
                break


def _allowed_queries(age: float, mean_work: float, rules: Rules) -> float:
    """Queries of mean work that a warming engine may receive in a window centered on the age, in seconds."""
    grown = (1.0 - rules.slow_start_fraction) * max(0.0, age) / rules.slow_start_time
    capacity = BUSY_FRACTION * rules.cores * (rules.slow_start_fraction + grown) / mean_work
    budget = rules.overload_factor * rules.overload_time * capacity
    if budget < SMALL_BUDGET:
        return budget + 3.0 * sqrt(budget) + 3.0
    return budget + 2.0 * sqrt(budget) + 2.0


# --- processes


def no_crash(recording: Recording, rules: Rules) -> Iterator[Violation]:
    """A router process ends only after a signal that ends it, and its log holds no traceback."""
    for process in recording.processes:
        signalled_at = [at for at in (process.terminated_at, process.killed_at) if at is not None]
        ended_at = recording.ended_at if process.ended_at is None else process.ended_at
        if process.ended_at is not None and (not signalled_at or process.ended_at < min(signalled_at)):
            text = f"router {process.router} ended with {process.status}: {process.log[-300:]}"
            yield Violation("crash", ended_at, text)
        elif process.status not in (None, 0, -signal.SIGTERM) and process.killed_at is None:
            text = f"router {process.router} ended with {process.status} after SIGTERM: {process.log[-300:]}"
            yield Violation("crash", ended_at, text)
        if "Traceback" in process.log:
            yield Violation("fault in the log", ended_at, f"router {process.router}: {process.log[-600:]}")


def ready_in_time(recording: Recording, rules: Rules) -> Iterator[Violation]:
    """A router answers a probe with true within 10 s of its start."""
    for process in recording.processes:
        due = process.started_at + READY_LIMIT_S
        due += recording.paused_seconds(process.router, process.started_at, due)
        ended = [
            at for at in (process.terminated_at, process.killed_at, recording.ended_at) if at is not None
        ]
        ready_at = min(ended) if process.ready_at is None else process.ready_at
        if ready_at > due:
            yield Violation("not ready in time", due, f"router {process.router}")


def within_limits(recording: Recording, rules: Rules) -> Iterator[Violation]:
    """Memory and descriptors stay within their limits, and descriptor counts fall again after the faults."""
    for usage in recording.usage:
        if usage.resident_bytes > MEMORY_FRACTION * rules.memory_bytes:
            text = f"router {usage.router}: {usage.resident_bytes} bytes resident"
            yield Violation("too much memory", usage.at, text)
        if usage.descriptors > rules.sockets:
            yield Violation("too many descriptors", usage.at, f"router {usage.router}: {usage.descriptors}")
    yield from _descriptors_at_rest(recording)


def _descriptors_at_rest(recording: Recording) -> Iterator[Violation]:
    """Compare the most descriptors that a router held before the faults with the fewest afterwards."""
    baseline = recording.baseline
    if baseline is None:
        return
    for router in {usage.router for usage in recording.usage}:
        samples = [usage for usage in recording.usage if usage.router == router]
        before = [usage.descriptors for usage in samples if baseline.began <= usage.at <= baseline.ended]
        after = [usage.descriptors for usage in samples if usage.at >= recording.quiet_from]
        if before and after and min(after) > max(before) + MAX_DESCRIPTOR_GROWTH:
            text = f"router {router}: {max(before)} before the faults, {min(after)} after them"
            yield Violation("descriptors leak", recording.quiet_from, text)


# --- peers


def one_lease_holder(recording: Recording, rules: Rules) -> Iterator[Violation]:
    """No router acts under a lease once another router has acted under a later one.

    A router checks its clock before it acts, so a late action is excused only if its process was paused then.
    A fencing token lower than the latest one is also accepted if it is new and a router has restarted since
    the latest token was first used: restarted voters have forgotten the ballots, and the earlier lease has
    expired.
    """
    first_acts: dict[tuple[int, str], float] = {}
    latest: tuple[int, str] = (0, "")
    for report in sorted(recording.duty_reports, key=lambda one: one.at):
        token = (report.ballot, report.holder)
        if token < latest and report.holder != latest[1]:
            router = int(report.holder.removeprefix("r"))
            paused = recording.paused_seconds(router, report.at - rules.lease, report.at)
            is_new = token not in first_acts and _any_router_restarted(
                recording, first_acts[latest], report.at
            )
            if not paused and not is_new:
                text = f"{report.holder} under ballot {report.ballot} after {latest[1]} under {latest[0]}"
                yield Violation("two holders of a lease", report.at, text)
        first_acts.setdefault(token, report.at)
        latest = max(latest, token)


def _any_router_restarted(recording: Recording, began: float, ended: float) -> bool:
    return any(began < process.started_at < ended for process in recording.processes)


def traffic_returns(recording: Recording, rules: Rules) -> Iterator[Violation]:
    """After the faults, the rate of datagrams between routers is at most twice the rate before the faults."""
    baseline = recording.baseline
    if baseline is None or not recording.datagrams:
        return
    seconds = recording.ended_at - recording.quiet_from
    if seconds <= 0.0 or baseline.ended <= baseline.began:
        return
    before = sum(baseline.began <= at < baseline.ended for at in recording.datagrams) / (
        baseline.ended - baseline.began
    )
    after = sum(recording.quiet_from <= at < recording.ended_at for at in recording.datagrams) / seconds
    if after > TRAFFIC_FACTOR * before:
        text = f"{before:.0f} datagrams a second before the faults, {after:.0f} after them"
        yield Violation("traffic stays up", recording.quiet_from, text)


def _attempts_by_txn(recording: Recording) -> dict[str, list[Attempt]]:
    """The attempts of each request, by transaction id and in order of time."""
    by_txn: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in sorted(recording.attempts, key=lambda one: one.began_at):
        by_txn[attempt.txn].append(attempt)
    return by_txn


def _describe(request: Request) -> str:
    replies = ", ".join(answer.reply for answer in request.answers) or "no answer"
    place = f"router {request.router}, connection {request.connection}"
    return f"{request.query_class} {request.txn} at {place}: {replies}"


CHECKS: dict[str, Check] = {
    "one final answer": one_final_answer,
    "one attempt in flight": one_attempt_in_flight,
    "harmless retries": harmless_retries,
    "keys in order": keys_in_order,
    "nothing to withdrawn engines": nothing_to_withdrawn_engines,
    "nothing after the client left": nothing_after_client_left,
    "slow start": slow_start,
    "no crash": no_crash,
    "ready in time": ready_in_time,
    "within limits": within_limits,
    "one lease holder": one_lease_holder,
    "traffic returns": traffic_returns,
}
PAUSE_CHECKS: dict[str, Check] = {**CHECKS, "nothing rejected": nothing_rejected}
