"""Random orders of what operators, discovery, engines and clients do to the reducer, against a model.

The model is an oracle of the rules by itself: it knows clients, attempts, windows, keys and the list as told.
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
from grebeproxy.net.router import Router
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


class Operating(RuleBasedStateMachine):
    """The model keeps what is open, what is out and what may not be sent to."""

    @initialize(settings=st.sampled_from(VARIANTS))
    def begin(self, settings: api.Settings) -> None:
        self.now, self.number, self.wake = 100.0, 0, float("inf")
        self.out_by_hand: set[str] = set()
        self.listed = dict.fromkeys(ENGINES, api.EngineState.UP)
        self.clients: dict[int, dict[int, str]] = {}  # open requests, by connection that is not ended
        self.calls: dict[str, messages.Call] = {}
        self.links: dict[int, str] = {}
        self.up: set[int] = set()
        self.out: dict[str, int] = {}  # link by request
        self.sent: dict[str, float] = {}  # the latest attempt of each
        self.first_sent: dict[str, list[str]] = {}  # by key, and as they were taken
        self.taken: dict[str, list[str]] = {}
        self.began: dict[str, tuple[float, str]] = {}  # first attempt that may have run: when, and where
        self.left: dict[str, float] = {}  # requests whose clients have gone, or took them back
        self.kept: dict[str, api.QueryClass] = {}  # each request's class as it was when it came
        self.serves = True
        self.exited = self.stopped = False
        self.admin_results: list[bool] = []
        self.settings = settings
        engines = tuple(api.Engine(engine, "medium", cell=n) for n, engine in enumerate(ENGINES))
        known = messages.ChangeLogUpdate(1, api.EngineList(api.ListKind.FULL, engines, 1), self.addresses())
        self.router = Router(
            settings,
            LIMITS,
            changelog=("127.0.0.1", 1),
            bounds=admission.bounds(256, 96.0),
            seed=1,
            now=90.0,
            known=[known],
        )
        self.seq = 1
        self.carry_out(self.router.start(90.0))
        self.do(events.ChangeLogReceived(messages.ChangeLogUpdate(1)))

    def addresses(self) -> dict[str, tuple[str, int]]:
        return {engine: ("127.0.0.1", 9000 + n) for n, engine in enumerate(ENGINES)}

    def do(self, *reported: events.Event) -> None:
        self.carry_out(self.router.step(self.now, reported))

    def carry_out(self, effects: list[events.Effect]) -> None:
        for effect in effects:
            match effect:
                case events.OpenLink(link, address):
                    self.links[link] = ENGINES[address[1] - 9000]
                    assert self.may_serve(self.links[link])
                case events.Write(link, commands):
                    for command in commands:
                        self.written(link, command)
                case events.CloseLink(link):
                    self.lost(link)
                case events.Answer(conn, message):
                    self.answered(conn, message)
                case events.CloseClient(conn) | events.HalfCloseClient(conn):
                    # A half-closed connection whose client does not close is closed on a little later.
                    assert not self.clients.pop(conn, {}), "closed on with a request open"
                case events.AnswerAdmin(_, done):
                    self.admin_results.append(done)
                case events.Wake(at):
                    self.wake = at
                case events.Exit():
                    assert not any(self.clients.values())
                    self.exited = True
                case events.LogLine(text):
                    assert "Traceback" not in text and "no answer was decided" not in text

    def may_serve(self, engine: str) -> bool:
        return engine not in self.out_by_hand and self.listed[engine] is api.EngineState.UP

    def written(self, link: int, command: messages.ToEngine) -> None:
        engine = self.links[link]
        match command:
            case messages.Run(txn):
                assert self.may_serve(engine), f"sent to {engine}"
                assert txn not in self.out, "two attempts at once"
                assert self.now <= self.left.get(txn, self.now) + 0.1, "sent on for a client that has gone"
                if txn in self.began:
                    at, where = self.began[txn]
                    cls = self.kept[txn]
                    assert (
                        cls.idempotency is not api.Idempotency.NON_IDEMPOTENT
                    ), "an unsafe one is sent again"
                    if cls.idempotency is api.Idempotency.IDEMPOTENCY_KEY:
                        assert self.now < at + cls.retry_window, "sent again past its window"
                        assert cls.scope is api.Scope.ALL or engine == where, "sent again to another cell"
                self.began.setdefault(txn, (self.now, engine))
                key = self.calls[txn].key
                if key is not None:
                    assert not any(self.calls[other].key == key for other in self.out), "two of a key at once"
                    sent = self.first_sent.setdefault(key, [])
                    if txn not in sent:
                        sent.append(txn)
                self.out[txn], self.sent[txn] = link, self.now
            case messages.Stop(txn) | messages.End(txn):
                self.out.pop(txn, None)
            case messages.Hello():
                assert self.may_serve(engine), f"{engine} was asked"

    def lost(self, link: int) -> None:
        self.links.pop(link, None)
        self.up.discard(link)
        self.out = {txn: at for txn, at in self.out.items() if at != link}

    def answered(self, conn: int, message: messages.ToClient) -> None:
        if isinstance(message, messages.Pong):
            assert message.serves is (self.serves and not self.stopped)
            return
        assert message.msg in self.clients[conn], "an answer that nobody is owed"
        txn = self.clients[conn].pop(message.msg)
        if isinstance(message, messages.Served):
            self.out.pop(txn, None)

    # --- what happens

    @rule(step=st.sampled_from([0.006, 0.05, 0.4, 1.0, 3.0]))
    def wait(self, step: float) -> None:
        self.time_passes(step)

    def time_passes(self, step: float) -> None:
        until = self.now + step
        while self.now < until:
            self.now = min(until, self.now + 1.0, max(self.now, self.wake))
            self.wake = float("inf")
            self.do(events.Woken(), events.ChangeLogReceived(messages.ChangeLogUpdate(self.seq)))

    @rule(
        conn=st.integers(1, 3),
        cls=st.sampled_from(["short", "load", "load", "new"]),
        key=st.sampled_from("ab"),
        quick=st.sampled_from([True, True, False]),
    )
    def ask(self, conn: int, cls: str, key: str, quick: bool) -> None:
        if self.exited:
            return
        if conn not in self.clients:
            self.clients[conn] = {}
            self.do(events.ClientClosed(conn), events.ClientOpened(conn))
        self.number += 1
        txn = f"{self.number:016x}"
        kept = key if cls == "load" else None
        call = messages.Call(self.number, txn, cls, 2.0, b"x", token=txn, key=kept, work=0.1)
        for known in self.settings.classes:
            if known.name == cls:
                self.kept[txn] = known
        self.clients[conn][self.number] = txn
        self.calls[txn] = call
        if kept is not None:
            self.taken.setdefault(kept, []).append(txn)
        self.do(events.ClientMessageReceived(conn, call))
        if quick:  # it is on its way at once, where there is an engine for it
            self.time_passes(0.006)
            self.all_up()

    def all_up(self) -> None:
        for link in sorted(self.links.keys() - self.up):
            self.up.add(link)
            self.do(events.LinkOpened(link))

    @rule(conn=st.integers(1, 3))
    def front_asks(self, conn: int) -> None:
        if conn in self.clients:
            self.do(events.ClientMessageReceived(conn, messages.Ping(0)))

    @rule(data=st.data())
    def connected(self, data: st.DataObject) -> None:
        if waiting := sorted(self.links.keys() - self.up):
            link = data.draw(st.sampled_from(waiting))
            self.up.add(link)
            self.do(events.LinkOpened(link))

    @rule(conn=st.integers(1, 3), crossing=st.booleans(), data=st.data())
    def client_leaves(self, conn: int, crossing: bool, data: st.DataObject) -> None:
        """It closes; a connection to an engine may come up in the same turn."""
        if conn in self.clients:
            for txn in self.clients.pop(conn).values():
                self.left[txn] = self.now
            self.do(*(self.coming_up(data) if crossing else []), events.ClientClosed(conn))

    @rule(conn=st.integers(1, 3), crossing=st.booleans(), data=st.data())
    def client_takes_back(self, conn: int, crossing: bool, data: st.DataObject) -> None:
        if self.clients.get(conn):
            number = data.draw(st.sampled_from(sorted(self.clients[conn])))
            self.left[self.clients[conn].pop(number)] = self.now
            back = events.ClientMessageReceived(conn, messages.GiveUp(number))
            self.do(*(self.coming_up(data) if crossing else []), back)

    def coming_up(self, data: st.DataObject) -> list[events.Event]:
        if not (waiting := sorted(self.links.keys() - self.up)):
            return []
        link = data.draw(st.sampled_from(waiting))
        self.up.add(link)
        return [events.LinkOpened(link)]

    @rule(
        data=st.data(),
        word=st.sampled_from(
            [
                messages.AnswerKind.OK,
                messages.AnswerKind.OK,
                messages.AnswerKind.ERROR,
                messages.AnswerKind.ERROR,
                messages.AnswerKind.FULL,
                messages.AnswerKind.STALE,
            ]
        ),
        quick=st.sampled_from([True, True, False]),
    )
    def engine_answers(self, data: st.DataObject, word: messages.AnswerKind, quick: bool) -> None:
        if self.out:
            txn = data.draw(st.sampled_from(sorted(self.out)))
            link = self.out.pop(txn)
            if (
                word in (messages.AnswerKind.FULL, messages.AnswerKind.STALE)
                and self.began[txn][0] == self.sent[txn]
            ):
                del self.began[txn]  # the only attempt that might have run did not
            self.do(events.LinkAnswerReceived(link, messages.EngineAnswer(txn, word, b"row\n")))
            if quick:  # another attempt leaves at once
                self.time_passes(0.006)
                self.all_up()

    @rule(data=st.data())
    def engine_leaves(self, data: st.DataObject) -> None:
        if self.links:
            link = data.draw(st.sampled_from(sorted(self.links)))
            self.lost(link)
            self.do(events.LinkClosed(link))

    @rule(
        engine=st.sampled_from([*ENGINES, "nobody"]),
        out=st.sampled_from([False, False, True]),
        upgrade=st.booleans(),
    )
    def by_hand(self, engine: str, out: bool, upgrade: bool) -> None:
        self.admin_results.clear()
        gone = engine != "nobody" and self.listed[engine] is api.EngineState.GONE
        if engine != "nobody" and not (out and gone and not upgrade):  # nobody has one that has gone
            (self.out_by_hand.add if out else self.out_by_hand.discard)(engine)
        call: messages.AdminCall = messages.MaintenanceOn(engine) if out else messages.MaintenanceOff(engine)
        if upgrade and engine != "nobody":  # the call came to the other process
            number = 1 + max((number for number, _ in self.router._overrides.calls.values()), default=0)
            self.do(events.OverridesRead({engine: (number, out)}))
        else:
            self.do(events.AdminOpened(1), events.AdminCallReceived(1, call))
            if engine == "nobody" or not gone:
                assert self.admin_results == [engine != "nobody"]

    @rule(
        engine=st.sampled_from(ENGINES),
        whole=st.booleans(),
        state=st.sampled_from([*[api.EngineState.UP] * 5, *api.EngineState]),
    )
    def list_comes(self, engine: str, state: api.EngineState, whole: bool) -> None:
        if engine in self.out_by_hand and state is api.EngineState.GONE:
            return
        self.seq += 1
        self.listed[engine] = state
        named = ENGINES if whole else (engine,)
        entries = tuple(
            api.Engine(name, "medium", cell=ENGINES.index(name), state=self.listed[name]) for name in named
        )
        how = api.ListKind.FULL if whole else api.ListKind.CHANGES
        addresses = {name: self.addresses()[name] for name in named}
        self.do(
            events.ChangeLogReceived(
                messages.ChangeLogUpdate(self.seq, api.EngineList(how, entries, self.seq), addresses)
            )
        )

    @rule(settings=st.sampled_from(VARIANTS))
    def reload(self, settings: api.Settings) -> None:
        self.settings = settings
        self.do(events.Reloaded(("127.0.0.1", 1), settings, LIMITS))

    @rule(away=st.sampled_from([False, False, True]))
    def drain(self, away: bool) -> None:
        if not self.stopped:
            self.serves = not away
        self.do(
            events.AdminOpened(2),
            events.AdminCallReceived(2, messages.Standby() if away else messages.Active()),
        )

    @rule()
    def stop(self) -> None:
        if self.number > 12:
            self.stopped = True
            self.do(events.StopRequested())

    # --- what always holds

    @invariant()
    def keys_keep_their_order(self) -> None:
        for key, sent in getattr(self, "first_sent", {}).items():
            assert sent == [txn for txn in self.taken[key] if txn in sent]

    def teardown(self) -> None:
        if not hasattr(self, "router"):
            return
        self.time_passes(6.0)
        assert not any(self.clients.values()), "a request with no answer"
        assert not self.stopped or self.exited


TestOperating: Any = Operating.TestCase
TestOperating.settings = hypothesis_settings(max_examples=300, stateful_step_count=60)


class Silent:
    """In the module's place: decides nothing."""

    def __init__(self, settings: api.Settings, now: float, seed: int) -> None:
        pass

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        return []


@pytest.mark.parametrize(("shared", "forced"), [(False, 3.7), (True, 5.7)])
def test_a_router_that_ends_answers_all_before_it_is_forced_to(shared: bool, forced: float) -> None:
    """Deadlines are 20 s here, of which 3 s count, or 5 s where another process takes over."""
    router = Router(
        BASE,
        LIMITS,
        changelog=("127.0.0.1", 1),
        bounds=admission.bounds(256, 96.0),
        seed=1,
        now=0.0,
        decide=Silent,
        shared=shared,
    )
    router.start(0.0)
    asked = messages.Call(1, "a" * 16, "load", 20.0, b"x", token="t")
    harmless = replace(asked, msg=2, txn="c" * 16, cls="short")
    router.step(0.3, [events.ClientOpened(1), events.ClientMessageReceived(1, asked)])
    assert (events.StopListening() in router.step(0.4, [events.StopRequested()])) is shared
    router.step(0.4 + forced - 0.5, [events.ClientMessageReceived(1, harmless)])
    late = router.step(
        0.4 + forced - 0.3, [events.ClientMessageReceived(1, replace(asked, msg=3, txn="b" * 16))]
    )
    assert events.Answer(1, messages.Rejected(3, 1.0)) in late
    assert events.Answer(1, messages.Failed(1)) not in late
    ended = router.step(0.4 + forced - 0.1, [events.Woken()])
    answers = [effect for effect in ended if isinstance(effect, events.Answer)]
    # What may be repeated is refused, so that its client may ask elsewhere.
    assert answers == [events.Answer(1, messages.Failed(1)), events.Answer(1, messages.Rejected(2, 1.0))]
    looked = router.step(0.4 + forced - 0.1, [events.Woken()])  # at what has come meanwhile, in the same turn
    assert events.HalfCloseClient(1) in looked and (ended + looked).count(events.Exit()) == 1
