"""Requests that are decided some milliseconds after they were read, as on a busy machine.

The tests guard against this failure: first attempts of clients whose timeout is shorter than the deadline of
the query class were rejected at once. A client's retry was recognized by the part of its deadline that was
left at the time of the decision. A first attempt that was decided late therefore looked like a retry whose
latency objective had passed. With the process stopped for 20 ms of every 50 ms, 43 and 46 of 1,840 first
attempts were answered TryLater, and none without the stops. The router now uses the time at which a request
was read, and only the mark where clients mark their retries.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from conftest import RouterHarness, make_settings
from exchange import router_options
from test_events_in_one_step import ADDRESS, ENGINE

from grebeproxy.net import events, messages
from grebeproxy.net.router import Router, clients
from grebeproxy.policy import interface as api

CLIENT_TIMEOUT = 2.0  # seconds, less than the class's deadline by more than its latency objective
LATENESS = 0.016  # seconds, more than DEADLINE_TOLERANCE of the class's deadline


def call(number: int, **changes: Any) -> messages.Call:
    first_call = messages.Call(
        number, f"{number:016x}", "lookup", CLIENT_TIMEOUT, b"x", tenant="city", work=0.005
    )
    return replace(first_call, **changes)


def serving_router(*, marks_retries: bool = True) -> Router:
    """Return a router with one engine and one client, whose earlier requests all had the same timeout."""
    engine_list = api.EngineList(api.ListKind.FULL, (api.Engine(ENGINE, "typ-a", "room-1"),), 1)
    options = router_options(
        [messages.ChangeLogUpdate(1, engine_list, ADDRESS)], {"settings.clients.marksRetry": marks_retries}
    )
    settings = options.settings
    lookup = next(query_class for query_class in settings.classes if query_class.name == "lookup")
    assert lookup.late_weight_factor == 0.0 and settings.clients_mark_retries is marks_retries
    assert lookup.deadline - CLIENT_TIMEOUT + LATENESS > lookup.latency_objective
    router = Router(options, now=0.0)
    router.start(0.0)
    router.step(0.3, [events.ClientOpened(1)])
    for number in range(1, 6):
        router.step(0.3 + 0.1 * number, [events.ClientMessageReceived(1, call(number))])
    return router


def rejected(effects: list[events.Effect]) -> set[int]:
    """Return the message ids of rejected requests."""
    answers = [effect.message for effect in effects if isinstance(effect, events.AnswerClient)]
    return {answer.message_id for answer in answers if isinstance(answer, messages.Rejected)}


def test_a_request_that_is_decided_at_once_is_not_rejected() -> None:
    assert 6 not in rejected(serving_router().step(1.0, [events.ClientMessageReceived(1, call(6))]))


def test_a_first_attempt_that_is_decided_late_is_not_taken_for_a_retry() -> None:
    router = serving_router()
    # The decision module's next round is a tick after this step.
    router.step(1.0, [events.ClientMessageReceived(1, call(6))])
    effects = router.step(1.001, [events.ClientMessageReceived(1, call(7))])
    effects += router.step(1.001 + LATENESS, [events.Woken()])
    assert 7 not in rejected(effects)


def is_rejected_if_decided_late(router: Router, late: messages.Call) -> bool:
    """Whether a request is rejected if it is decided some milliseconds after it was read."""
    router.step(1.0, [events.ClientMessageReceived(1, call(6))])
    effects = router.step(1.001, [events.ClientMessageReceived(1, late)])
    effects += router.step(1.001 + LATENESS, [events.Woken()])
    return late.message_id in rejected(effects)


def test_the_time_of_reading_counts_where_clients_do_not_mark_retries() -> None:
    assert not is_rejected_if_decided_late(serving_router(marks_retries=False), call(7))


def test_a_marked_retry_that_is_decided_late_is_still_a_retry() -> None:
    assert is_rejected_if_decided_late(serving_router(), call(7, is_client_retry=True))


def test_a_retry_that_is_not_marked_is_still_known_by_its_time() -> None:
    assert is_rejected_if_decided_late(
        serving_router(marks_retries=False), call(7, timeout=CLIENT_TIMEOUT - 0.1)
    )


def test_an_unmarked_attempt_is_a_first_one_where_clients_mark_retries_whatever_its_timeout() -> None:
    assert not is_rejected_if_decided_late(serving_router(), call(7, timeout=CLIENT_TIMEOUT - 0.1))


@pytest.mark.parametrize("lateness", [0.0, 0.1, 0.3])
def test_the_deadline_counts_from_when_the_request_was_read(lateness: float) -> None:
    router = serving_router()
    router.step(1.0 + lateness, [events.ClientMessageReceived(1, call(6), received_at=1.0)])
    [request] = [request for request in router._requests.values() if request.call.message_id == 6]
    assert request.deadline == pytest.approx(1.0 + CLIENT_TIMEOUT - clients.TRANSIT_RESERVE)


@pytest.mark.parametrize("marks_retries", [True, False])
def test_a_first_attempt_that_is_decided_late_spends_its_tenants_quota(marks_retries: bool) -> None:
    tenants = (api.Tenant("a", 3.0),)
    harness = RouterHarness(
        make_settings(tenants=tenants, over_quota_weight=0.05, clients_mark_retries=marks_retries)
    )
    for number in range(20):
        received_at = harness.now - 0.03 * (number % 2)
        request = api.Query(f"q{number}", "short", received_at + 3.6, tenant="a", work=0.1)
        harness.handle(replace(request, received_at=received_at))
    assert [harness.choice.queries[f"q{number}"].over_quota for number in (0, 18, 19)] == [False, True, True]


def test_unmarked_requests_in_the_simulator_are_first_attempts_whatever_time_is_left() -> None:
    harness = RouterHarness(make_settings(clients_mark_retries=True), engines=0)
    for left in (3.6, 3.6, 3.6, 3.4):  # The last request had to wait for its batch.
        harness.submit(wait=left, work=0.1, id=f"left {left}")
    assert harness.choice.queries["left 3.4"].arrived_at == harness.now
