"""Random sequences of actions of operators, discovery, engines and clients, checked against a model.

The model checks the rules independently of the router: it tracks clients, attempts, retry windows, keys and
engines.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from conftest import LOAD, SHORT, make_settings
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from grebeproxy.net import admission, events
from grebeproxy.net import messages
from grebeproxy.net.router import Router, RouterOptions
from grebeproxy.policy import interface as api
from grebeproxy.settings import WireLimits

ENGINES = ("e1", "e2", "e3")
LIMITS = WireLimits(connect_timeout=0.25, idle_timeout=30.0, multiplex=100, max_open=1000)
ORDERED = replace(LOAD, ordered_by_key=True)
BASE = make_settings(classes=(SHORT, ORDERED))
VARIANTS = (
    BASE,
    replace(BASE, max_attempts=1),
    replace(BASE, classes=(ORDERED,)),
    replace(BASE, classes=(SHORT, replace(ORDERED, retry_window=0.3))),
    replace(BASE, classes=(SHORT, replace(ORDERED, idempotency=api.Idempotency.NON_IDEMPOTENT))),
    replace(BASE, classes=(SHORT, replace(ORDERED, retry_window=1.0, scope=api.Scope.CELL))),
    replace(
        BASE,
        classes=(
            replace(SHORT, idempotency=api.Idempotency.NON_IDEMPOTENT),
            ORDERED,
            replace(SHORT, name="new"),
        ),
    ),
)


class RouterOperation(RuleBasedStateMachine):
    """The model, which tracks open requests, attempts in flight, and engines that must get no requests."""

    @initialize(settings=st.sampled_from(VARIANTS))
    def begin(self, settings: api.Settings) -> None:
        self.now, self.number, self.wake = 100.0, 0, float("inf")
        self.disabled: set[str] = set()
        self.listed = dict.fromkeys(ENGINES, api.EngineState.UP)
        # Transaction ids of open requests by message id, by open connection.
        self.clients: dict[int, dict[int, str]] = {}
        self.calls: dict[str, messages.Call] = {}
        self.links: dict[int, str] = {}
        self.connected_links: set[int] = set()
        self.in_flight: dict[str, int] = {}  # connection to the engine, by request
        self.last_started: dict[str, float] = {}  # time of the latest attempt, by request
        self.first_started: dict[str, list[str]] = {}  # requests in the order of their first attempts, by key
        self.accepted: dict[str, list[str]] = {}  # requests in the order of their arrival, by key
        # Time and engine of the first attempt that may have run, by request.
        self.first_attempts: dict[str, tuple[float, str]] = {}
        self.abandoned_at: dict[str, float] = {}  # when clients disconnected or cancelled, by request
        self.query_classes: dict[str, api.QueryClass] = {}  # by request, as the class was on its arrival
        self.serving = True
        self.exited = self.stopped = False
        self.admin_results: list[bool] = []
        self.settings = settings
        engines = tuple(api.Engine(engine, "medium", cell=n) for n, engine in enumerate(ENGINES))
        known = messages.ChangeLogUpdate(1, api.EngineList(api.ListKind.FULL, engines, 1), self.addresses())
        options = RouterOptions(
            settings,
            LIMITS,
            changelog=("127.0.0.1", 1),
            bounds=admission.bounds(256, 96.0),
            seed=1,
            known=[known],
        )
        self.router = Router(options, now=90.0)
        self.seq = 1
        self.carry_out(self.router.start(90.0))
        self.step(events.ChangeLogReceived(messages.ChangeLogUpdate(1)))

    def addresses(self) -> dict[str, tuple[str, int]]:
        return {engine: ("127.0.0.1", 9000 + n) for n, engine in enumerate(ENGINES)}

    def step(self, *reported: events.Event) -> None:
        self.carry_out(self.router.step(self.now, reported))

    def carry_out(self, effects: list[events.Effect]) -> None:
        for effect in effects:
            match effect:
                case events.OpenLink(link, address):
                    self.links[link] = ENGINES[address[1] - 9000]
                    assert self.may_get_requests(self.links[link])
                case events.Write(link, commands):
                    for command in commands:
                        self.check_command(link, command)
                case events.CloseLink(link):
                    self.forget_link(link)
                case events.AnswerClient(conn, message):
                    self.check_answer(conn, message)
                case events.CloseClient(conn) | events.HalfCloseClient(conn):
                    # The router later closes a half-closed connection whose client does not close it.
                    assert not self.clients.pop(conn, {}), "closed with a request open"
                case events.AnswerAdmin(_, done):
                    self.admin_results.append(done)
                case events.Wake(at):
                    self.wake = at
                case events.Exit():
                    assert not any(self.clients.values())
                    self.exited = True
                case events.LogLine(text):
                    assert "Traceback" not in text and "router.request.overdue" not in text

    def may_get_requests(self, engine: str) -> bool:
        return engine not in self.disabled and self.listed[engine] is api.EngineState.UP

    def check_command(self, link: int, command: messages.ToEngine) -> None:
        engine = self.links[link]
        match command:
            case messages.Run(txn):
                assert self.may_get_requests(engine), f"sent to {engine}"
                assert txn not in self.in_flight, "two attempts at once"
                assert (
                    self.now <= self.abandoned_at.get(txn, self.now) + 0.1
                ), "forwarded for a client that disconnected"
                if txn in self.first_attempts:
                    started_at, first_engine = self.first_attempts[txn]
                    query_class = self.query_classes[txn]
                    assert (
                        query_class.idempotency is not api.Idempotency.NON_IDEMPOTENT
                    ), "a non-idempotent request is retried"
                    if query_class.idempotency is api.Idempotency.IDEMPOTENCY_KEY:
                        assert self.now < started_at + query_class.retry_window, "retried past its window"
                        assert (
                            query_class.scope is api.Scope.ALL or engine == first_engine
                        ), "retried in another cell"
                self.first_attempts.setdefault(txn, (self.now, engine))
                key = self.calls[txn].key
                if key is not None:
                    assert not any(
                        self.calls[other].key == key for other in self.in_flight
                    ), "two requests of a key at once"
                    sent = self.first_started.setdefault(key, [])
                    if txn not in sent:
                        sent.append(txn)
                self.in_flight[txn], self.last_started[txn] = link, self.now
            case messages.Stop(txn) | messages.End(txn):
                self.in_flight.pop(txn, None)
            case messages.Hello():
                assert self.may_get_requests(engine), f"{engine} was health checked"

    def forget_link(self, link: int) -> None:
        self.links.pop(link, None)
        self.connected_links.discard(link)
        self.in_flight = {txn: other for txn, other in self.in_flight.items() if other != link}

    def check_answer(self, conn: int, message: messages.ToClient) -> None:
        if isinstance(message, messages.Pong):
            assert message.serving is (self.serving and not self.stopped)
            return
        assert message.message_id in self.clients[conn], "an answer that nobody waits for"
        txn = self.clients[conn].pop(message.message_id)
        if isinstance(message, messages.Served):
            self.in_flight.pop(txn, None)
        else:
            self.abandoned_at[txn] = self.now  # The request is over, whatever ended it.

    # --- rules

    @rule(step=st.sampled_from([0.006, 0.05, 0.4, 1.0, 3.0]))
    def wait(self, step: float) -> None:
        self.advance(step)

    def advance(self, step: float) -> None:
        until = self.now + step
        while self.now < until:
            self.now = min(until, self.now + 1.0, max(self.now, self.wake))
            self.wake = float("inf")
            self.step(events.Woken(), events.ChangeLogReceived(messages.ChangeLogUpdate(self.seq)))

    @rule(
        conn=st.integers(1, 3),
        class_name=st.sampled_from(["short", "load", "load", "new"]),
        key=st.sampled_from("ab"),
        limit=st.sampled_from([2.0, 2.0, 5.0]),
        at_once=st.sampled_from([True, True, False]),
    )
    def client_sends_request(self, conn: int, class_name: str, key: str, limit: float, at_once: bool) -> None:
        if self.exited:
            return
        if conn not in self.clients:
            self.clients[conn] = {}
            self.step(events.ClientClosed(conn), events.ClientOpened(conn))
        self.number += 1
        txn = f"{self.number:016x}"
        ordering_key = key if class_name == "load" else None
        call = messages.Call(self.number, txn, class_name, limit, b"x", token=txn, key=ordering_key, work=0.1)
        for known in self.settings.classes:
            if known.name == class_name:
                self.query_classes[txn] = known
        self.clients[conn][self.number] = txn
        self.calls[txn] = call
        if ordering_key is not None:
            self.accepted.setdefault(ordering_key, []).append(txn)
        self.step(events.ClientMessageReceived(conn, call))
        if at_once:  # The request is forwarded at once if an engine is available.
            self.advance(0.006)
            self.open_all_links()

    def open_all_links(self) -> None:
        for link in sorted(self.links.keys() - self.connected_links):
            self.connected_links.add(link)
            self.step(events.LinkOpened(link))

    @rule(conn=st.integers(1, 3))
    def client_checks_health(self, conn: int) -> None:
        if conn in self.clients:
            self.step(events.ClientMessageReceived(conn, messages.Ping(0)))

    @rule(conn=st.integers(1, 3))
    def client_starts_message(self, conn: int) -> None:
        """A part of a message arrives; the rest comes with the client's next message, or never."""
        if conn in self.clients:
            self.step(events.ClientMessageStarted(conn))

    @rule(conn=st.integers(1, 3), violation=st.sampled_from(["unreadable", "unusable", "id twice"]))
    def client_violates_protocol(self, conn: int, violation: str) -> None:
        """The connection is closed, and its open requests are answered before that."""
        if not self.clients.get(conn):
            return
        number, txn = next(iter(self.clients[conn].items()))
        match violation:
            case "unreadable":
                self.step(events.ClientUnreadable(conn, "noise"))
            case "id twice":
                repeated = replace(self.calls[txn], txn="f" * 16)
                self.step(events.ClientMessageReceived(conn, repeated))
            case "unusable":
                first = self.number + 1
                self.number += admission.MAX_UNUSABLE_REQUESTS
                self.clients[conn] |= dict.fromkeys(range(first, self.number + 1), "")
                for other in range(first, self.number + 1):
                    self.step(events.ClientMessageReceived(conn, messages.InvalidRequest(other, "txn")))
        assert conn not in self.clients

    @rule(data=st.data())
    def engine_connects(self, data: st.DataObject) -> None:
        if waiting := sorted(self.links.keys() - self.connected_links):
            link = data.draw(st.sampled_from(waiting))
            self.connected_links.add(link)
            self.step(events.LinkOpened(link))

    @rule(conn=st.integers(1, 3), crossing=st.booleans(), data=st.data())
    def client_leaves(self, conn: int, crossing: bool, data: st.DataObject) -> None:
        """Disconnect a client. With ``crossing``, a connection to an engine opens in the same step."""
        if conn in self.clients:
            for txn in self.clients.pop(conn).values():
                self.abandoned_at[txn] = self.now
            self.step(*(self.open_random_link(data) if crossing else []), events.ClientClosed(conn))

    @rule(conn=st.integers(1, 3), crossing=st.booleans(), data=st.data())
    def client_cancels(self, conn: int, crossing: bool, data: st.DataObject) -> None:
        if self.clients.get(conn):
            number = data.draw(st.sampled_from(sorted(self.clients[conn])))
            self.abandoned_at[self.clients[conn].pop(number)] = self.now
            cancellation = events.ClientMessageReceived(conn, messages.CancelRequest(number))
            self.step(*(self.open_random_link(data) if crossing else []), cancellation)

    def open_random_link(self, data: st.DataObject) -> list[events.Event]:
        if not (waiting := sorted(self.links.keys() - self.connected_links)):
            return []
        link = data.draw(st.sampled_from(waiting))
        self.connected_links.add(link)
        return [events.LinkOpened(link)]

    @rule(
        data=st.data(),
        kind=st.sampled_from(
            [
                messages.AnswerKind.OK,
                messages.AnswerKind.OK,
                messages.AnswerKind.ERROR,
                messages.AnswerKind.ERROR,
                messages.AnswerKind.FULL,
                messages.AnswerKind.STALE,
            ]
        ),
        at_once=st.sampled_from([True, True, False]),
    )
    def engine_answers(self, data: st.DataObject, kind: messages.AnswerKind, at_once: bool) -> None:
        if self.in_flight:
            txn = data.draw(st.sampled_from(sorted(self.in_flight)))
            link = self.in_flight.pop(txn)
            if (
                kind in (messages.AnswerKind.FULL, messages.AnswerKind.STALE)
                and self.first_attempts[txn][0] == self.last_started[txn]
            ):
                del self.first_attempts[txn]  # The only attempt so far did not run.
            self.step(events.LinkAnswerReceived(link, messages.EngineAnswer(txn, kind, b"row\n")))
            if at_once:  # A retry, if there is one, is forwarded at once.
                self.advance(0.006)
                self.open_all_links()

    @rule(data=st.data())
    def engine_leaves(self, data: st.DataObject) -> None:
        if self.links:
            link = data.draw(st.sampled_from(sorted(self.links)))
            self.forget_link(link)
            self.step(events.LinkClosed(link))

    @rule(
        engine=st.sampled_from([*ENGINES, "nobody"]),
        disable=st.sampled_from([False, False, True]),
        upgrade=st.booleans(),
    )
    def engine_is_overridden(self, engine: str, disable: bool, upgrade: bool) -> None:
        self.admin_results.clear()
        gone = engine != "nobody" and self.listed[engine] is api.EngineState.GONE
        # The router does not know an engine that has gone.
        if engine != "nobody" and not (disable and gone and not upgrade):
            (self.disabled.add if disable else self.disabled.discard)(engine)
        call: messages.AdminCall = (
            messages.MaintenanceOn(engine) if disable else messages.MaintenanceOff(engine)
        )
        if upgrade and engine != "nobody":  # Another process of this router got the call.
            number = 1 + max((number for number, _ in self.router._overrides.calls.values()), default=0)
            self.step(events.OverridesRead({engine: (number, disable)}))
        else:
            self.step(events.AdminOpened(1), events.AdminCallReceived(1, call))
            if engine == "nobody" or not gone:
                assert self.admin_results == [engine != "nobody"]

    @rule(
        engine=st.sampled_from(ENGINES),
        full_list=st.booleans(),
        state=st.sampled_from([*[api.EngineState.UP] * 5, *api.EngineState]),
    )
    def engine_list_changes(self, engine: str, state: api.EngineState, full_list: bool) -> None:
        if engine in self.disabled and state is api.EngineState.GONE:
            return
        self.seq += 1
        self.listed[engine] = state
        listed_engines = ENGINES if full_list else (engine,)
        entries = tuple(
            api.Engine(name, "medium", cell=ENGINES.index(name), state=self.listed[name])
            for name in listed_engines
        )
        list_kind = api.ListKind.FULL if full_list else api.ListKind.CHANGES
        addresses = {name: self.addresses()[name] for name in listed_engines}
        self.step(
            events.ChangeLogReceived(
                messages.ChangeLogUpdate(self.seq, api.EngineList(list_kind, entries, self.seq), addresses)
            )
        )

    @rule(settings=st.sampled_from(VARIANTS))
    def reload(self, settings: api.Settings) -> None:
        self.settings = settings
        self.step(events.Reloaded(("127.0.0.1", 1), settings, LIMITS))

    @rule(standby_on=st.sampled_from([False, False, True]))
    def standby(self, standby_on: bool) -> None:
        if not self.stopped:
            self.serving = not standby_on
        self.step(
            events.AdminOpened(2),
            events.AdminCallReceived(2, messages.Standby() if standby_on else messages.Active()),
        )

    @rule()
    def stop(self) -> None:
        if self.number > 12:
            self.stopped = True
            self.step(events.StopRequested())

    # --- invariants

    @invariant()
    def keys_keep_their_order(self) -> None:
        for key, sent in getattr(self, "first_started", {}).items():
            assert sent == [txn for txn in self.accepted[key] if txn in sent]

    def teardown(self) -> None:
        if not hasattr(self, "router"):
            return
        self.advance(6.0)
        assert not any(self.clients.values()), "a request with no answer"
        assert not self.stopped or self.exited


TestRouterOperation: Any = RouterOperation.TestCase
TestRouterOperation.settings = hypothesis_settings(max_examples=300, stateful_step_count=60)


class DecidesNothing:
    """A decision module that decides nothing."""

    def __init__(self, settings: api.Settings, now: float, seed: int) -> None:
        pass

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        return []


@pytest.mark.parametrize(("shared", "killed_after"), [(False, 3.7), (True, 5.7)])
def test_a_router_that_shuts_down_answers_all_before_it_is_killed(shared: bool, killed_after: float) -> None:
    """Deadlines are 20 s here, but limited to 3 s, or to 5 s if another process takes over the socket."""
    options = RouterOptions(
        BASE,
        LIMITS,
        changelog=("127.0.0.1", 1),
        bounds=admission.bounds(256, 96.0),
        seed=1,
        shared=shared,
    )
    router = Router(options, now=0.0, make_decision_module=DecidesNothing)
    router.start(0.0)
    load_call = messages.Call(1, "a" * 16, "load", 20.0, b"x", token="t")
    idempotent_call = replace(load_call, message_id=2, txn="c" * 16, query_class="short")
    router.step(0.3, [events.ClientOpened(1), events.ClientMessageReceived(1, load_call)])
    assert (events.StopListening() in router.step(0.4, [events.StopRequested()])) is shared
    router.step(0.4 + killed_after - 0.5, [events.ClientMessageReceived(1, idempotent_call)])
    late = router.step(
        0.4 + killed_after - 0.3,
        [events.ClientMessageReceived(1, replace(load_call, message_id=3, txn="b" * 16))],
    )
    assert events.AnswerClient(1, messages.Rejected(3, 1.0)) in late
    assert events.AnswerClient(1, messages.Failed(1)) not in late
    ended = router.step(0.4 + killed_after - 0.1, [events.Woken()])
    answers = [effect for effect in ended if isinstance(effect, events.AnswerClient)]
    # An idempotent request is rejected, so that its client may retry elsewhere.
    assert answers == [
        events.AnswerClient(1, messages.Failed(1)),
        events.AnswerClient(1, messages.Rejected(2, 1.0)),
    ]
    # The sockets are read once more in the same turn before the router closes connections and exits.
    after_read = router.step(0.4 + killed_after - 0.1, [events.Woken()])
    assert events.HalfCloseClient(1) in after_read and (ended + after_read).count(events.Exit()) == 1
