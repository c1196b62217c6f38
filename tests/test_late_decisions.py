"""Requests that are decided some milliseconds after they were read, as on a machine that is busy."""

from __future__ import annotations

from exchange import with_changes
from test_crossings import ADDRESS, ENGINE

from grebeproxy.config import parse
from grebeproxy.net import admission, events, messages
from grebeproxy.net.router import Router, RouterOptions
from grebeproxy.policy import interface as api

CLIENT_TIMEOUT = 2.0  # seconds; shorter than the class's deadline by more than its latency objective
LATENESS = 0.016  # seconds; beyond DEADLINE_TOLERANCE of the class's deadline


def call(number: int) -> messages.Call:
    return messages.Call(number, f"{number:016x}", "lookup", CLIENT_TIMEOUT, b"x", tenant="city", work=0.005)


def serving_router() -> Router:
    """A router with one engine, and one client, whose requests had the same timeout until now."""
    config = parse(with_changes({}))
    lookup = next(cls for cls in config.settings.classes if cls.name == "lookup")
    assert lookup.late_weight_factor == 0.0 and config.settings.clients_mark_retries
    assert lookup.deadline - CLIENT_TIMEOUT + LATENESS > lookup.latency_objective
    engine_list = api.EngineList(api.ListKind.FULL, (api.Engine(ENGINE, "typ-a", "room-1"),), 1)
    options = RouterOptions(
        config.settings,
        config.limits,
        changelog=config.changelog,
        seed=1,
        bounds=admission.bounds(config.sockets, config.memory_mb),
        known=[messages.ChangeLogUpdate(1, engine_list, ADDRESS)],
    )
    router = Router(options, now=0.0)
    router.start(0.0)
    router.step(0.3, [events.ClientOpened(1)])
    for number in range(1, 6):
        router.step(0.3 + 0.1 * number, [events.ClientMessageReceived(1, call(number))])
    return router


def rejected(effects: list[events.Effect]) -> set[int]:
    """The message ids of rejected requests."""
    answers = [effect.message for effect in effects if isinstance(effect, events.Answer)]
    return {answer.message_id for answer in answers if isinstance(answer, messages.Rejected)}


def test_a_request_that_is_decided_at_once_is_not_rejected() -> None:
    assert 6 not in rejected(serving_router().step(1.0, [events.ClientMessageReceived(1, call(6))]))


def test_a_first_attempt_that_is_decided_late_is_not_taken_for_a_retry() -> None:
    router = serving_router()
    router.step(1.0, [events.ClientMessageReceived(1, call(6))])  # the next round is a tick later
    effects = router.step(1.001, [events.ClientMessageReceived(1, call(7))])
    effects += router.step(1.001 + LATENESS, [events.Woken()])
    assert 7 not in rejected(effects)
