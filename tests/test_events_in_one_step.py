"""Events that arrive in one step of the router: nothing is written before all of them are processed."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest
from exchange import router_options

from grebeproxy.net import events
from grebeproxy.net import messages
from grebeproxy.net.router import Router
from grebeproxy.policy import interface as api

ENGINE, ADDRESS = "s-00000001", {"s-00000001": ("127.0.0.1", 9001)}
CALL = messages.Call(1, "a" * 16, "lookup", 2.0, b"x", tenant="city")


class SendEachQueryOnce:
    """A decision module that sends each query to the one engine, once, and records the events it gets."""

    write_by: float | None = None

    def __init__(self, settings: api.Settings, now: float, seed: int) -> None:
        self.received: list[api.Event] = []

    def handle(self, now: float, batch: list[api.Event]) -> list[api.Action]:
        self.received += batch
        queries = (event for event in batch if isinstance(event, api.Query))
        return [api.Send(query.id, ENGINE, query.due, self.write_by) for query in queries]


def router_with_request(module: type[SendEachQueryOnce] = SendEachQueryOnce) -> Router:
    """Return a router whose one request waits for a connection to the engine to open."""
    options = router_options([list_event(api.EngineState.UP)])
    router = Router(options, now=0.0, make_decision_module=module)
    router.start(0.0)
    router.step(0.0, [events.ChangeLogOpened(1)])
    effects = router.step(0.3, [events.ClientOpened(1), events.ClientMessageReceived(1, CALL)])
    assert any(isinstance(effect, events.OpenLink) for effect in effects)
    return router


def list_event(state: api.EngineState, seq: int = 1) -> messages.ChangeLogUpdate:
    list_kind = api.ListKind.FULL if seq == 1 else api.ListKind.CHANGES
    entry = api.Engine(ENGINE, "typ-a", "room-1", state=state)
    return messages.ChangeLogUpdate(seq, api.EngineList(list_kind, (entry,), seq), ADDRESS)


def only_link(router: Router) -> int:
    [number] = router._links
    return number


def run_commands(effects: Sequence[events.Effect]) -> list[messages.Run]:
    return [
        command
        for effect in effects
        if isinstance(effect, events.Write)
        for command in effect.commands
        if isinstance(command, messages.Run)
    ]


def test_a_connection_that_opens_carries_the_waiting_attempt() -> None:
    router = router_with_request()
    assert len(run_commands(router.step(0.31, [events.LinkOpened(only_link(router))]))) == 1


@pytest.mark.parametrize(
    "crossing",
    [
        events.ClientClosed(1),
        events.ClientMessageReceived(1, messages.CancelRequest(1)),
        events.OverridesRead({ENGINE: (1, True)}),
        events.ChangeLogReceived(list_event(api.EngineState.DRAINING, 2)),
        events.ChangeLogReceived(list_event(api.EngineState.GONE, 2)),
    ],
    ids=["closed", "cancelled", "disabled", "drains", "gone"],
)
def test_a_connection_that_opens_in_the_step_that_ends_its_attempt_carries_nothing(
    crossing: events.Event,
) -> None:
    router = router_with_request()
    assert not run_commands(router.step(0.31, [events.LinkOpened(only_link(router)), crossing]))
    assert not run_commands(router.step(0.4, [events.Woken()]))


@pytest.mark.parametrize(("up", "leaves"), [(0.34, True), (0.36, False)])
def test_a_retry_that_waits_for_a_connection_is_not_written_past_its_window(up: float, leaves: bool) -> None:
    class SendWithinWindow(SendEachQueryOnce):
        write_by = 0.35

    router = router_with_request(SendWithinWindow)
    assert bool(run_commands(router.step(up, [events.LinkOpened(only_link(router))]))) is leaves
    router.step(up + 0.02, [events.Woken()])
    received = router._decision_module.received  # type: ignore[attr-defined]
    ends = [event.outcome for event in received if isinstance(event, api.AttemptEnded)]
    assert ends == [] if leaves else ends == [api.Outcome.SKIPPED]


def test_an_idle_client_is_read_once_more_before_its_connection_closes() -> None:
    router = router_with_request()
    router.step(0.31, [events.LinkOpened(only_link(router))])
    router.step(0.32, [events.StopRequested()])
    served = events.LinkAnswerReceived(
        only_link(router), messages.EngineAnswer(CALL.txn, messages.AnswerKind.OK, b"")
    )
    assert not any(isinstance(effect, events.HalfCloseClient) for effect in router.step(0.33, [served]))
    more = replace(CALL, message_id=2, txn="b" * 16)
    effects = router.step(0.34, [events.ClientMessageReceived(1, more), events.Woken()])
    assert not any(isinstance(effect, events.HalfCloseClient) for effect in effects)
    assert len(run_commands(effects)) == 1
    router.step(
        0.35,
        [
            events.LinkAnswerReceived(
                only_link(router), messages.EngineAnswer(more.txn, messages.AnswerKind.OK, b"")
            )
        ],
    )
    assert events.HalfCloseClient(1) in router.step(0.36, [events.Woken()])


def test_the_process_exits_only_after_pending_input_was_read() -> None:
    router = router_with_request()
    router.step(0.31, [events.LinkOpened(only_link(router)), events.StopRequested()])
    for at in (0.9, 1.2):
        router.step(at, [events.Woken()])
    served = events.LinkAnswerReceived(
        only_link(router), messages.EngineAnswer(CALL.txn, messages.AnswerKind.OK, b"")
    )
    assert events.Exit() not in router.step(1.3, [served])
    late = replace(CALL, message_id=1, txn="c" * 16)  # arrives at the time of the last answer
    crossing: list[events.Event] = [
        events.ClientOpened(2),
        events.ClientMessageReceived(2, late),
        events.Woken(),
    ]
    assert events.Exit() not in router.step(1.31, crossing)
    router.step(
        1.32,
        [
            events.LinkAnswerReceived(
                only_link(router), messages.EngineAnswer(late.txn, messages.AnswerKind.OK, b"")
            )
        ],
    )
    assert events.Exit() in router.step(1.33, [events.Woken()])
