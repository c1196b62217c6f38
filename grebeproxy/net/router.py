"""The router's state and its one reducer: ``step`` takes what happened and gives the effects to carry out.

It owns requests, attempts, pages, connections to engines and the state of the change log, and asks the
decision module what to do. It does no input or output, reads no clock and names no wire.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from typing import Any, Protocol

from grebeproxy.net import admission, follower
from grebeproxy.net.events import (
    Address, Answer, AnswerDoor, ClientBegun, ClientClosed, ClientOpened, ClientSaid, CloseClient, CloseDoor,
    CloseLink, DoorClosed, DoorOpened, DoorSaid, Effect, Event, Exit, HandsRead, LinkBegun, LinkClosed,
    LinkEvent, LinkOpened, LinkPaused, LinkResumed, LinkSaid, LogClosed, LogSaid, Note, OpenLink, PartClient,
    Reloaded, SaveHands, StartListening, StopAsked, StopListening, Wake, Woken, Write)
from grebeproxy.net.hands import Calls, Hands
from grebeproxy.net.messages import (
    Active, Call, DoorCall, End, EngineAnswer, Failed, Fetch, FromClient, GiveUp, Hello, Invalid, News, Ping,
    Pong, Refused, Run, Served, Standby, Status, Stop, TakeBack, TakeOut, ToClient, ToEngine, Word)
from grebeproxy.policy import Choice
from grebeproxy.policy import interface as api
from grebeproxy.settings import WireLimits

TRANSIT = 0.020  # seconds of a client's limit kept for the request's and the answer's way
SETTLE = 0.020  # a stop is on its way so long before its attempt counts as ended
OVERDUE = 0.030  # after the due time, within the rules' slack: the module has had its chance by then
STOPPED_SHORT = 0.3  # seconds from an answer's first byte after which it will not be whole any more
MOST_RESULT = 48_000  # bytes
IDLE_SHARE = 0.8  # of the engines' idle time-out: closing first keeps requests from crossing their close
ACCEPT_AFTER_STOP, SERVE_AFTER_STOP = 0.5, 0.7  # seconds; new connections come for 0.4 of them
# From a stop until it is forced: the longest deadline, but no more than 3 s of it, or 5 s where another
# process takes over, and 0.7 s more. What would be answered later than that, with some margin, is not taken.
LEAST_LIMIT = 0.25  # seconds; with less left nothing is taken any more
KILL_ALONE, KILL_SHARED, KILL_AFTER = 3.0, 5.0, 0.6

class Module(Protocol):
    """A decision module."""

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take the events of one moment, in order, and decide."""


Decide = Callable[[api.Settings, float, int], Module]  # makes a module for settings, at a time, with a seed


# --- state


@dataclass(slots=True, eq=False)
class Request:
    """What a client asked for; kept until it is answered and no attempt is out."""

    call: Call
    conn: int
    due: float
    owed: bool = True  # the client still waits for its answer
    attempts: int = 0
    out: Attempt | None = None
    memory_mb: float | None = None
    # Links on which an earlier attempt was given up. Guards against taking its late answer, which has the
    # same id, for a later attempt's.
    spent: set[int] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request at an engine."""

    request: Request
    number: int
    engine: str
    sent: float
    until: float
    link: Link | None = None
    written: bool = False
    stopped: bool = False
    pages: list[bytes | None] | None = None
    size: int = 0
    report: dict[str, float] | None = None


@dataclass(slots=True, eq=False)
class Link:
    """A connection to an engine."""

    id: int
    engine: str
    opened: float
    heard: float
    idle_since: float
    up: bool = False
    paused: bool = False
    begun: float | None = None  # since when an answer has begun and is not whole
    asked: float | None = None  # since when it is asked whether it works
    retired: bool = False  # takes no further attempts and ends with its last
    attempts: dict[str, Attempt] = field(default_factory=dict)
    unsent: list[Attempt] = field(default_factory=list)  # written last, and not sent whole while paused


@dataclass(slots=True)
class Place:
    """Where an engine listens, and since when, if it started lately."""

    address: Address
    started: float | None
    gone: bool = False  # kept only until the last connection to it has ended


def _on_sockets(settings: api.Settings) -> api.Settings:
    """Probes, messages between routers and asking for the list have no form on sockets."""
    return replace(settings, may_probe=False, may_message=False, asks_for_list=False)


def _deadlines(settings: api.Settings) -> dict[str, float]:
    return {cls.name: cls.deadline for cls in settings.classes}


class Router:
    """One query router. ``decide`` makes its decision module; tests may put another in its place."""

    def __init__(self, settings: api.Settings, limits: WireLimits, *, changelog: Address,
                 bounds: admission.Bounds, seed: int, now: float, known: Iterable[News] = (),
                 decide: Decide = Choice, shared: bool = False) -> None:
        self.settings, self.limits, self.now = _on_sockets(settings), limits, now
        self._choice = decide(self.settings, now, seed)
        self._bounds = bounds
        self._deadlines = _deadlines(settings)
        self._requests: dict[str, Request] = {}
        self._bodies = self._paged = 0  # bytes of open statements, and of results that are not whole
        self._clients: dict[int, admission.Client[Request]] = {}
        self._sweeping = False
        self._links: dict[int, Link] = {}
        self._engine_links: dict[str, list[Link]] = {}
        self._places: dict[str, Place] = {}
        self._pending: list[api.Event] = []
        self._next_round = now
        self._timers: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = count(1)
        self._commands: dict[int, list[ToEngine]] = {}
        self._effects: list[Effect] = []
        self._wake_at: float | None = None
        self._log = follower.Follower(changelog, now)
        self._shared = shared  # clients come on a socket that another process hears as well
        self._listening = self._stopping = self._ending = self._done = False
        self._last_due = self._takes_until = float("inf")
        self._drained: float | None = None  # since when operators want clients to go elsewhere
        self._hands, self._told_out = Hands(), frozenset[str]()
        self._doors: dict[int, float] = {}  # operators' connections, the oldest first
        for news in known:
            self._log.seq = news.seq
            self._apply(news)

    def start(self, now: float) -> list[Effect]:
        """The first effects."""
        self.now, self._effects = now, []
        self._dial_log(self._log.dials)
        self._at(now + follower.FIRST_NEWS, self._start_listening)
        return self._finish()

    def step(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Take what happened, in order, and tell what is to be done."""
        self.now, self._effects = now, []
        for event in events:
            self._on(event)
        while self._timers and self._timers[0][0] <= now:
            _, _, call, args = heappop(self._timers)
            call(*args)
        return self._finish()

    def _finish(self) -> list[Effect]:
        if self._pending and self.now >= self._next_round:
            self._next_round = self.now + self.settings.tick
            events, self._pending = self._pending, []
            for action in self._decide(events):
                self._act(action)
        if self._leaving():
            for client in admission.to_part(self._clients):
                client.parted = self.now
                self._effects.append(PartClient(client.conn))
        if self._ending and not self._done and not any(r.owed for r in self._requests.values()):
            self._done, self._takes_until = True, self.now
            self._effects.append(Exit())
        for link, commands in self._commands.items():
            self._effects.append(Write(link, tuple(commands)))
        self._commands.clear()
        self._ask_to_wake()
        return self._effects

    def _decide(self, events: list[api.Event]) -> list[api.Action]:
        """Ask the module. Guards against a fault in it: the router goes on, and ``_overdue`` answers."""
        try:
            return self._choice.handle(self.now, events)
        except Exception:  # whatever it is, the requests that are open are still owed an answer
            self._effects.append(Note(traceback.format_exc()))
            return []

    def _ask_to_wake(self) -> None:
        at = self._timers[0][0] if self._timers else None
        if self._pending:
            at = self._next_round if at is None else min(at, self._next_round)
        if at is not None and (self._wake_at is None or at < self._wake_at or self._wake_at <= self.now):
            self._wake_at = at
            self._effects.append(Wake(at))

    def _at(self, at: float, call: Callable[..., None], *args: Any) -> None:
        heappush(self._timers, (at, next(self._numbers), call, args))

    def _on(self, event: Event) -> None:
        match event:
            case ClientOpened(conn):
                self._admit(conn)
            case ClientSaid(conn, message):
                # What came behind a message that made us close names no connection that is left.
                if (client := self._clients.get(conn)) is not None and client.parted is None:
                    self._on_client(client, message)
            case ClientBegun(conn):
                client = self._clients.get(conn)
                if client is not None and client.begun is None and client.parted is None:
                    client.begun = self.now
            case ClientClosed(conn):
                self._leave(conn)
            case LinkOpened() | LinkClosed() | LinkPaused() | LinkResumed() | LinkSaid() | LinkBegun():
                # One that crossed our closing names no connection that is left.
                if (link := self._links.get(event.link)) is not None:
                    self._on_link(link, event)
            case LogSaid(news):
                self._read_log(news)
            case LogClosed(reason):
                self._lose_log(reason)
            case DoorOpened(conn):
                self._open_door(conn)
            case DoorSaid(conn, call):
                if self._doors.pop(conn, None) is not None:
                    done, text = self._on_call(call)
                    self._effects.append(AnswerDoor(conn, done, text))
            case DoorClosed(conn):
                self._doors.pop(conn, None)
            case HandsRead(calls):
                self._merge_hands(calls)
            case Reloaded(address, settings, limits):
                self._retune(_on_sockets(settings), limits)
                self._move_log(address)
            case StopAsked():
                if not self._stopping:
                    self._stop()
            case Woken():
                self._wake_at = None

    def _on_client(self, client: admission.Client[Request], message: FromClient) -> None:
        client.asked, client.begun, client.quiet = True, None, self.now
        match message:
            case Call():
                self._take(client, message)
            case GiveUp(msg):
                # One that crossed the answer names nothing that is open, and is over already.
                if msg in client.requests:
                    self._abandon(client.requests[msg])
            case Ping(msg):
                self._effects.append(Answer(client.conn, Pong(msg, not self._leaving())))
            case Invalid(msg, name):
                self._fault(client, Failed(msg, name))

    def _on_link(self, link: Link, event: LinkEvent) -> None:
        match event:
            case LinkSaid(_, answer):
                link.begun = None
                self._heard(link, answer)
            case LinkBegun():
                if link.begun is None:
                    link.begun = self.now
                    self._at(self.now + STOPPED_SHORT, self._check_begun, link, self.now)
            case LinkOpened():
                link.up = True
                self._flush(link)
            case LinkClosed(_, ours):
                self._drop(link, tell=False, ours=ours)
            case LinkPaused():
                link.paused = True
            case LinkResumed():
                link.paused = False
                self._flush(link)

    # --- clients

    def _admit(self, conn: int) -> None:
        if len(self._clients) >= self._bounds.clients:
            victim = admission.to_close_for(self._clients)
            self._hang_up(conn if victim is None else victim)
            if victim is None:
                return
        self._clients[conn] = admission.Client(conn, self.now)
        if not self._sweeping:
            self._sweeping = True
            self._at(self.now + admission.SWEEP, self._sweep)

    def _sweep(self) -> None:
        for conn in admission.too_silent(self._clients, self.now):
            self._hang_up(conn)
        self._sweeping = bool(self._clients)
        if self._sweeping:
            self._at(self.now + admission.SWEEP, self._sweep)

    def _hang_up(self, conn: int) -> None:
        self._effects.append(CloseClient(conn))
        self._leave(conn)

    def _fault(self, client: admission.Client[Request], answer: ToClient) -> None:
        """Guards the usual clients against one that goes on sending what cannot be used: it is closed on."""
        client.faults += 1
        if client.faults < admission.MOST_FAULTS:
            self._effects.append(Answer(client.conn, answer))
        else:
            self._hang_up(client.conn)

    # --- requests

    def _take(self, client: admission.Client[Request], call: Call) -> None:
        turned_away = Refused(call.msg, self.settings.max_retry_after)
        if call.msg in client.requests:
            # Two answers under one id could not be told apart: nothing on this connection can be trusted.
            self._hang_up(client.conn)
        elif call.txn in self._requests:
            # Guards against a second request under an id that an engine still has: their answers would mix.
            self._fault(client, Failed(call.msg, "txn"))
        elif call.cls not in self._deadlines:  # a class that has gone: its clients may not know yet
            self._effects.append(Answer(client.conn, turned_away))
        elif len(client.requests) >= admission.OPEN_PER_CLIENT:
            self._fault(client, turned_away)
        elif (self.now >= self._takes_until or len(self._requests) >= self.limits.max_open
              or self._bodies + len(call.body) > self._bounds.bodies):
            self._effects.append(Answer(client.conn, turned_away))
        else:
            # No longer than the class's own deadline. Guards against limits of hours: what is kept for a
            # request until then would pile up.
            due = self.now + min(call.limit, self._deadlines[call.cls]) - TRANSIT
            request = Request(call, client.conn, due)
            self._requests[call.txn] = client.requests[call.msg] = request
            self._bodies += len(call.body)
            self._at(request.due + OVERDUE, self._overdue, call.txn, request.due)
            self._pending.append(api.Query(
                call.txn, call.cls, request.due, tenant=call.tenant, key=call.key, data_set=call.data_set,
                work=call.work, memory_mb=call.memory_mb, resent=call.resent))

    def _leave(self, conn: int) -> None:
        """A client's connection has ended, and with it all that was open on it."""
        client = self._clients.pop(conn, None)
        for request in list(client.requests.values()) if client is not None else ():
            self._abandon(request)

    def _abandon(self, request: Request) -> None:
        """The client waits no more: nothing is owed, and what runs for it is given up."""
        self._settle(request)
        self._pending.append(api.Gone(request.call.txn))
        if request.out is not None:
            self._give_up(request.out, api.Outcome.CANCELLED)
        self._forget(request)

    def _overdue(self, txn: str, due: float) -> None:
        """Guards the rule of one answer in time against a module that has given none."""
        request = self._requests.get(txn)
        if request is not None and request.due == due and request.owed:
            self._effects.append(Note(f"request {txn}: no answer was decided in time"))
            self._answer(request, Failed(request.call.msg))
            self._abandon(request)

    def _answer(self, request: Request, message: ToClient) -> None:
        """The one final answer."""
        if request.owed:
            self._settle(request)
            self._effects.append(Answer(request.conn, message))
        self._forget(request)

    def _settle(self, request: Request) -> None:
        request.owed = False
        client = self._clients.get(request.conn)
        if client is not None:
            client.requests.pop(request.call.msg, None)
            client.quiet = self.now

    def _forget(self, request: Request) -> None:
        if not request.owed and request.out is None and request.call.txn in self._requests:
            del self._requests[request.call.txn]
            self._bodies -= len(request.call.body)

    # --- what the module decides

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.SetTerms():
                if action.id in self._requests:
                    self._requests[action.id].memory_mb = action.memory_mb
            case api.Refuse():
                if (request := self._requests.get(action.id)) is not None:
                    self._answer(request, Refused(request.call.msg, action.come_back))
            case api.Fail():
                if (request := self._requests.get(action.id)) is not None:
                    self._answer(request, Failed(request.call.msg))
            case api.Cancel():
                request = self._requests.get(action.id)
                if request and request.out and request.out.number == action.attempt:
                    self._give_up(request.out, api.Outcome.CANCELLED)
            case api.SetTimer():
                self._at(self.now + action.delay, self._fire, action.name)
            case api.Log():
                self._effects.append(Note(action.text))

    def _fire(self, name: str) -> None:
        self._pending.append(api.TimerFired(name))

    # --- attempts

    def _send(self, action: api.Send) -> None:
        request = self._requests.get(action.id)
        if request is None:
            return
        attempt = Attempt(request, request.attempts, action.engine, self.now, min(action.until, request.due))
        request.attempts += 1
        if not request.owed or request.out is not None or attempt.until <= self.now:
            # Guards the rule of one attempt at a time, whatever was decided.
            self._report(attempt, api.Outcome.MOOT)
            return
        request.out = attempt
        if action.engine in self._hands.out():  # guards operators' word, whatever was decided
            self._end(attempt, api.Outcome.MOOT)
            return
        if action.engine not in self._places:  # another engine has its address now
            self._end(attempt, api.Outcome.CONNECT_FAILED)
            return
        link = self._link_for(attempt)
        if link is None:
            # No descriptor is left for it. Guards against taking that for a fault of the engine, which would
            # end what runs there: full holds back what follows, and proves as well that nothing ran.
            self._end(attempt, api.Outcome.FULL)
            return
        attempt.link = link
        link.attempts[action.id] = attempt
        # By name: a timer that held the attempt would keep its statement and pages in memory.
        self._at(attempt.until, self._expire, action.id, attempt.number)
        self._flush(link)

    def _expire(self, txn: str, number: int) -> None:
        request = self._requests.get(txn)
        if request is not None and request.out is not None and request.out.number == number:
            self._give_up(request.out, api.Outcome.TIMEOUT)

    def _give_up(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """Stop an attempt; it counts as ended once the engine can have heard of it."""
        link, request = attempt.link, attempt.request
        if attempt.stopped or link is None:
            return
        attempt.stopped = True
        if not attempt.written:  # it never left, and now it never will
            self._end(attempt, outcome)
            return
        request.spent.add(link.id)
        if link.paused and attempt in link.unsent:
            # Guards against a request that is sent after its attempt has ended: the rest of it is still here.
            self._drop(link)
            return
        txn = request.call.txn
        self._command(link, Stop(txn) if attempt.pages is None else End(txn))
        if link.heard <= attempt.sent < self.now - self.limits.connect_timeout:
            self._doubt(link)
        self._detach(attempt)
        self._at(self.now + SETTLE, self._end, attempt, outcome)

    def _doubt(self, link: Link) -> None:
        """Nothing was heard since an attempt went out that was given up: the machine behind may be gone.

        The connection is asked. Ending it unasked cost a handshake for most queries that stood still: over
        all routers a new connection for every third query.
        """
        if link.asked is None and not link.retired:
            link.asked = self.now
            self._command(link, Hello(str(link.id)))
            self._at(self.now + self.limits.connect_timeout, self._check_doubt, link)

    def _check_doubt(self, link: Link) -> None:
        if link.id in self._links and link.asked is not None and link.heard <= link.asked:
            link.retired = True  # what is still out there may be answered all the same
            if not link.attempts:
                self._drop(link)
        link.asked = None

    def _end(self, attempt: Attempt, outcome: api.Outcome, settled: bool = False) -> None:
        """An attempt is over: the module hears of it once, however it ended."""
        if attempt.request.out is not attempt:
            return
        if attempt.link is not None and attempt.written and not settled:
            attempt.request.spent.add(attempt.link.id)  # further pages, or the answer again, may still come
        self._detach(attempt)
        self._paged -= attempt.size
        attempt.request.out = None
        self._report(attempt, outcome, settled)
        self._forget(attempt.request)

    def _report(self, attempt: Attempt, outcome: api.Outcome, settled: bool = False) -> None:
        self._pending.append(api.AttemptEnded(
            attempt.request.call.txn, attempt.engine, attempt.number, outcome, self.now - attempt.sent,
            settled=settled, report=attempt.report))

    def _heard(self, link: Link, answer: EngineAnswer) -> None:
        link.heard = self.now
        attempt = link.attempts.get(answer.txn)
        if attempt is None or not attempt.written:
            return  # the late answer of an attempt that was given up, or one that nobody asked for
        attempt.report = answer.report or attempt.report
        match answer.word:
            case Word.OK if attempt.pages is None:
                attempt.pages = [None] * answer.pages
                self._add_page(attempt, 0, answer.body)
                if answer.pages > 1 and attempt.request.out is attempt:
                    self._command(link, *(Fetch(answer.txn, page) for page in range(1, answer.pages)))
            case Word.PAGE if attempt.pages is not None and 1 <= answer.page < len(attempt.pages):
                self._add_page(attempt, answer.page, answer.body)
            case Word.FULL if attempt.pages is None:
                self._end(attempt, api.Outcome.FULL)
            case Word.STALE if attempt.pages is None:
                self._end(attempt, api.Outcome.MOOT)
            case Word.SPOILT:  # nothing else on its connection can be trusted either
                self._effects.append(Note(f"engine {link.engine}: an answer that cannot be right"))
                self._drop(link)
            case Word.ALIVE | Word.OK:  # the latter a second copy: what it brings more harms nothing
                pass
            case _:  # also a page that the engine lost: it ran, and a short answer would be wrong
                self._end(attempt, api.Outcome.ERROR)

    def _add_page(self, attempt: Attempt, number: int, body: bytes) -> None:
        pages, request = attempt.pages or [], attempt.request
        added = len(body) if pages[number] is None else 0
        attempt.size += added
        self._paged += added
        pages[number] = body
        if attempt.size > MOST_RESULT:
            self._end(attempt, api.Outcome.ERROR)
        elif None not in pages:
            parts = tuple(page for page in pages if page is not None)
            self._answer(request, Served(request.call.msg, parts))
            self._end(attempt, api.Outcome.OK, settled=True)
        elif self._paged > self._bounds.pages:
            # Guards the memory against many results that come a page at a time; it is no fault of the engine.
            self._give_up(attempt, api.Outcome.CANCELLED)

    # --- connections to engines

    def _link_for(self, attempt: Attempt) -> Link | None:
        """A connection that has room and cannot carry a late answer for the request, else a new one."""
        links = [link for link in self._engine_links.get(attempt.engine, ())
                 if not link.retired and link.id not in attempt.request.spent
                 and len(link.attempts) < self.limits.multiplex]
        if links:
            return max(links, key=lambda link: (link.up and not link.paused, -link.id))
        if len(self._links) >= self._bounds.links:
            return None
        link = Link(next(self._numbers), attempt.engine, self.now, self.now, self.now)
        self._links[link.id] = link
        self._engine_links.setdefault(attempt.engine, []).append(link)
        self._effects.append(OpenLink(link.id, self._places[attempt.engine].address))
        self._at(self.now + self.limits.connect_timeout, self._check_open, link)
        self._at(self.now + IDLE_SHARE * self.limits.idle_timeout, self._check_idle, link)
        return link

    def _check_begun(self, link: Link, since: float) -> None:
        """Guards against answers that stop short or do not end: nothing that is behind them can come."""
        if link.begun == since and link.id in self._links:
            self._effects.append(Note(f"engine {link.engine}: an answer that stopped short"))
            self._drop(link)

    def _check_open(self, link: Link) -> None:
        if not link.up and link.id in self._links:
            self._drop(link)

    def _flush(self, link: Link) -> None:
        """Write what waits for the connection; while it is paused, nothing is buffered behind it."""
        if not link.up or link.paused:
            return
        waiting = [attempt for attempt in link.attempts.values() if not attempt.written]
        if not waiting:
            return
        if link.id not in self._commands:
            link.unsent = []
        for attempt in waiting:
            attempt.written = True
            call = attempt.request.call
            self._command(link, Run(call.txn, call.cls, attempt.until - self.now, call.body, call.token,
                                    attempt.request.memory_mb))
        link.unsent += waiting

    def _command(self, link: Link, *commands: ToEngine) -> None:
        if link.id in self._links:
            self._commands.setdefault(link.id, []).extend(commands)

    def _detach(self, attempt: Attempt) -> None:
        link, attempt.link = attempt.link, None
        if link is None or link.attempts.pop(attempt.request.call.txn, None) is None or link.attempts:
            return
        link.idle_since = self.now
        if link.retired:
            self._drop(link)

    def _check_idle(self, link: Link) -> None:
        """One timer for a connection's whole life; one for each time it falls idle would pile up."""
        if link.id not in self._links:
            return
        since = self.now if link.attempts else link.idle_since
        if self.now - since >= IDLE_SHARE * self.limits.idle_timeout - 1e-6:
            self._drop(link)
        else:
            self._at(since + IDLE_SHARE * self.limits.idle_timeout, self._check_idle, link)

    def _drop(self, link: Link, tell: bool = True, ours: bool = False) -> None:
        """End a connection. What was written to it may have run; what was not never did.

        ``ours`` tells that it could not be made for want of something on this machine.
        """
        if self._links.pop(link.id, None) is None:
            return
        self._engine_links[link.engine].remove(link)
        self._clear(link.engine)
        if tell:
            if commands := self._commands.pop(link.id, None):
                self._effects.append(Write(link.id, tuple(commands)))
            self._effects.append(CloseLink(link.id))
        else:
            self._commands.pop(link.id, None)
        for attempt in list(link.attempts.values()):
            if not attempt.written:  # it never ran
                self._end(attempt, api.Outcome.FULL if ours else api.Outcome.CONNECT_FAILED)
            else:
                # Guards against a next attempt, or the next in order, that is there before our closing is.
                # One that was stopped with a part unsent ends here too: nothing else would end it.
                attempt.stopped = True
                self._detach(attempt)
                self._at(self.now + SETTLE, self._end, attempt, api.Outcome.RESET)

    # --- the change log

    def _dial_log(self, dials: int) -> None:
        # Guards against two connections: one that was dialled meanwhile, at another address, has the say.
        if dials != self._log.dials:
            return
        self._effects.append(follower.dial(self._log, self.now))
        self._at(self.now + follower.SILENCE, self._check_log, self._log.dials)

    def _check_log(self, dials: int) -> None:
        if not self._log.open or dials != self._log.dials:
            return
        if follower.silent(self._log, self.now):
            self._lose_log("silent")
        else:
            self._at(self._log.heard + follower.SILENCE, self._check_log, dials)

    def _lose_log(self, reason: str) -> None:
        if self._log.open:
            self._effects.append(Note(f"change log: {reason}; trying again after event {self._log.seq}"))
            self._at(self.now + follower.lose(self._log), self._dial_log, self._log.dials)

    def _read_log(self, news: News) -> None:
        if not self._log.open:
            return
        self._start_listening()
        try:
            if follower.read(self._log, news, self.now):
                self._apply(news)
        except ValueError as error:
            self._lose_log(str(error))

    def _move_log(self, address: Address) -> None:
        if follower.move(self._log, address):
            host, port = address
            self._effects.append(Note(f"change log: at {host}:{port} after event {self._log.seq}"))
            self._dial_log(self._log.dials)

    def _apply(self, news: News) -> None:
        change, addresses = news.change, news.addresses or {}
        if change is None:
            return
        if change.how is api.ListKind.FULL:
            for engine in sorted(self._places.keys() - addresses.keys()):
                self._retire(engine)
                self._places[engine].gone = True
                self._clear(engine)
        for entry in change.engines:
            address = addresses[entry.id]
            if entry.state is not api.EngineState.GONE:
                # Guards against an engine that gets the address of one that has gone: a connection made for
                # the old one must not carry anything for it.
                for other, place in list(self._places.items()):
                    if other != entry.id and place.address == address:
                        self._retire(other, drop=True)
                        self._places.pop(other, None)
            old = self._places.get(entry.id)
            self._places[entry.id] = Place(address, entry.started, entry.state is api.EngineState.GONE)
            if entry.state is not api.EngineState.UP:
                self._retire(entry.id)
                self._clear(entry.id)
            elif old is not None and (old.address != address or old.started != entry.started):
                moved = old.address != address
                for link in list(self._engine_links.get(entry.id, ())):
                    if moved or link.opened < (entry.started or 0.0):  # its process has ended since
                        self._drop(link)
        self._pending.append(change)

    def _clear(self, engine: str) -> None:
        """Guards the memory: engines come under ever new ids, and nothing is to stay of those that went."""
        if not self._engine_links.get(engine):
            self._engine_links.pop(engine, None)
            if engine in self._places and self._places[engine].gone:
                del self._places[engine]

    def _retire(self, engine: str, drop: bool = False) -> None:
        for link in list(self._engine_links.get(engine, ())):
            link.retired = True
            # Guards against a send after the drain was told: what is not written yet never will be.
            for attempt in [attempt for attempt in link.attempts.values() if not attempt.written]:
                self._end(attempt, api.Outcome.MOOT)
            if drop or not link.attempts:
                self._drop(link)

    # --- operators

    def _retune(self, settings: api.Settings, limits: WireLimits) -> None:
        """Other settings hold; requests under way keep their class, their deadline and their attempt."""
        self.limits = limits
        if settings != self.settings:
            self.settings, self._deadlines = settings, _deadlines(settings)
            self._pending.append(api.Retuned(settings))
            self._effects.append(Note("other settings hold"))

    def _open_door(self, conn: int) -> None:
        if len(self._doors) >= admission.MOST_DOORS:
            self._close_door(next(iter(self._doors)))
        self._doors[conn] = self.now
        self._at(self.now + admission.DOOR_PATIENCE, self._close_door, conn)

    def _close_door(self, conn: int) -> None:
        if self._doors.pop(conn, None) is not None:
            self._effects.append(CloseDoor(conn))

    def _on_call(self, call: DoorCall) -> tuple[bool, str]:
        """Whether a call was carried out, and a word on it."""
        match call:
            case Status():
                taking = self._listening and not self._stopping
                return taking, "serving" if taking and not self._leaving() else "not serving"
            case TakeOut(engine) | TakeBack(engine):
                place = self._places.get(engine)
                if engine not in self._hands.out() and (place is None or place.gone):
                    return False, "no such engine"
                done = self._hands.set(engine, isinstance(call, TakeOut))
                self._effects.append(SaveHands(dict(self._hands.calls)))
                self._handed()
                return done, "done" if done else "too many engines are out"
            case Standby():
                if self._drained is None:
                    self._drained = self.now
                    self._takes_until = min(self._takes_until, self.now + admission.DRAIN_TAKES)
                return True, "clients are sent away"
            case Active() if not self._stopping:
                self._drained, self._takes_until = None, float("inf")
                return True, "clients may come"
        return False, "stopping" if isinstance(call, Active) else "not a call"

    def _merge_hands(self, calls: Calls) -> None:
        self._hands.merge(calls)
        if self._hands.calls != calls:
            self._effects.append(SaveHands(dict(self._hands.calls)))
        self._handed()

    def _handed(self) -> None:
        """What operators set has changed, or was set again."""
        out = self._hands.out()
        if out == self._told_out:
            return
        self._effects.append(Note(f"out by hand: {' '.join(sorted(out)) or 'none'}"))
        for engine in out - self._told_out:
            self._retire(engine)
        self._told_out = out
        self._pending.append(api.ByHand(out))

    # --- the beginning and the end

    def _leaving(self) -> bool:
        """Clients are moved off: they find no readiness, and connections end between requests."""
        return self._stopping or self._drained is not None

    def _start_listening(self) -> None:
        """Take clients once the change log has been heard, or has had its time.

        Guards the order of keys: what comes while a start still needs the CPU would be read all at once, on
        several connections in any order. And a start that all make together begins with the newest list.
        """
        if not self._listening and not self._stopping:
            self._listening = True
            self._effects.append(StartListening())

    def _stop(self) -> None:
        """Leave: clients are moved off between requests, what was taken is answered, then it ends."""
        self._stopping = True
        longest = max(self._deadlines.values())
        forced = min(longest, KILL_SHARED if self._shared else KILL_ALONE)
        self._last_due = self.now + forced + KILL_AFTER - OVERDUE
        self._takes_until = min(self._takes_until, self._last_due - LEAST_LIMIT)
        self._at(self._last_due, self._answer_all)
        if self._shared:  # what nobody has taken yet is there for whoever takes over
            self._stop_listening()
        else:
            self._at(self.now + ACCEPT_AFTER_STOP, self._stop_listening)
        self._at(self.now + SERVE_AFTER_STOP, self._end_when_answered)

    def _stop_listening(self) -> None:
        self._effects.append(StopListening())

    def _answer_all(self) -> None:
        """Guards what was taken before the stop, and is allowed longer than the program has left."""
        safe = {cls.name for cls in self.settings.classes if cls.effect is api.Effect.SAFE}
        for request in [request for request in self._requests.values() if request.owed]:
            msg, later = request.call.msg, self.settings.max_retry_after
            self._answer(request, Refused(msg, later) if request.call.cls in safe else Failed(msg))
            self._abandon(request)

    def _end_when_answered(self) -> None:
        self._ending = True
