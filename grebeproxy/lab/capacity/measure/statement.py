"""CPU of one statement in the router, by part: decode, decide, send, read the engine's answer, answer."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from itertools import count, islice
from typing import Any

import hiredis

from grebeproxy import Choice
from grebeproxy.lab.capacity.measure.workload import Statements, engine_entries, rate_of, settings
from grebeproxy.lab.record import Point
from grebeproxy.net import msgpack_rpc, resp
from grebeproxy.net.messages import Call, Run, Served
from grebeproxy.policy import interface as api

ROUTERS = (200, 2400)
ENGINES = (80, 200, 400, 800, 1600, 3200)
ROUTERS_OF_ONE_LIST, ONE_LIST = (24, 200, 600, 1200, 2400), 400  # routers before one list of so many engines
RUNS = 3
CODEC_STATEMENTS = 1000
DECISION_SECONDS = 1.0  # of CPU in one run of decisions, about
MOST_DECISIONS, LEAST_DECISIONS = 2000, 60
PAGE = b"1\trow 1\tmade up\n2\trow 2\tmade up\n3\trow 3\tmade up\n" * 8


def measure(engines: Iterable[int] = ENGINES, routers: Iterable[int] = ROUTERS, seed: int = 1) -> list[Point]:
    """One point for each number of engines and of routers; each value is the least of several runs."""
    engines, points = tuple(engines), []
    for router_count in routers:
        for engine_count in engines:
            parts, decide = codec_parts(seed), decide_us(engine_count, router_count, seed)
            values = {**parts, "decide_us": decide, "sum_us": decide + sum(parts.values())}
            points.append(Point({"engines": engine_count, "routers": router_count}, values))
    return points


def against_routers(routers: Iterable[int] = ROUTERS_OF_ONE_LIST, seed: int = 1) -> list[Point]:
    """One point for each number of routers, before one list of engines."""
    return [
        Point({"routers": count, "engines": ONE_LIST}, {"decide_us": decide_us(ONE_LIST, count, seed)})
        for count in routers
    ]


def codec_parts(seed: int) -> dict[str, float]:
    """Microseconds of CPU of each codec for one statement."""
    statements = Statements(seed)
    requests = [statements.request(number) for number in range(CODEC_STATEMENTS)]
    decoder = msgpack_rpc.Decoder(settings(1))
    calls = [call for request in requests for call in decoder.feed(request) if isinstance(call, Call)]
    assert len(calls) == CODEC_STATEMENTS
    runs = [Run(call.txn, call.cls, 1.9, call.body, call.token, 64.0) for call in calls]
    report = "count=1,gauges=cpu_share:0.1;pending:0;x0:0.05"
    answers = [_engine_answer(call.txn, report) for call in calls]
    served = [Served(call.msg, (PAGE,)) for call in calls]
    engine_decoder = resp.Decoder()
    return {
        "decode_us": _least_us(lambda: [list(decoder.feed(request)) for request in requests]),
        "send_us": _least_us(lambda: [resp.encode(run) for run in runs]),
        "read_us": _least_us(lambda: [list(engine_decoder.feed(answer)) for answer in answers]),
        "answer_us": _least_us(lambda: [msgpack_rpc.encode(one) for one in served]),
    }


def _engine_answer(txn: str, report: str) -> bytes:
    words: tuple[Any, ...] = (txn, "ok", report, PAGE)
    packed: bytes = hiredis.pack_command(words)
    return packed


def _least_us(work: Callable[[], object]) -> float:
    """The least CPU of several runs over all statements, for one."""
    return min(_cpu(work) for _ in range(RUNS)) / CODEC_STATEMENTS * 1e6


def _cpu(work: Callable[[], object]) -> float:
    began = time.process_time()
    work()
    return time.process_time() - began


def decide_us(engines: int, routers: int, seed: int) -> float:
    """Microseconds of CPU that the decision module takes for one query, from its arrival to its end."""
    decisions = _Decisions(engines, routers, seed)
    first = decisions.cpu_of(LEAST_DECISIONS)  # also a warm-up
    wanted = int(DECISION_SECONDS * LEAST_DECISIONS / max(first, 1e-9))
    number = max(LEAST_DECISIONS, min(MOST_DECISIONS, wanted))
    return min(decisions.cpu_of(number) / number for _ in range(RUNS)) * 1e6


class _Decisions:
    """A decision module with engines that serve all queries in the time they need."""

    def __init__(self, engines: int, routers: int, seed: int) -> None:
        self._choice = Choice(settings(routers), 0.0, seed)
        self._choice.handle(1.0, [api.EngineList(api.ListKind.FULL, engine_entries(engines))])
        # Well after the start: what is cold or not yet known there is no part of the usual decision.
        self._queries = Statements(seed).queries(60.0, rate_of(engines, routers))
        self._due: list[tuple[float, int, api.Event]] = []
        self._numbers = count()
        self._attempts: dict[str, int] = {}

    def cpu_of(self, queries: int) -> float:
        """Seconds of CPU inside the module while so many queries arrive; earlier ones end meanwhile."""
        spent = 0.0
        for at, query in islice(self._queries, queries):
            while self._due and self._due[0][0] <= at:
                due, _, event = heappop(self._due)
                spent += self._handle(due, event)
            spent += self._handle(at, query)
        return spent

    def _handle(self, now: float, event: api.Event) -> float:
        began = time.process_time()
        actions = self._choice.handle(now, [event])
        spent = time.process_time() - began
        for action in actions:
            self._carry_out(now, action)
        return spent

    def _carry_out(self, now: float, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            self._later(now + action.delay, api.TimerFired(action.name))
        elif isinstance(action, api.Send):
            number = self._attempts[action.id] = self._attempts.get(action.id, -1) + 1
            work = self._choice.queries[action.id].work
            self._later(
                now + work,
                api.AttemptEnded(action.id, action.engine, number, api.Outcome.OK, work, True, work),
            )

    def _later(self, at: float, event: api.Event) -> None:
        heappush(self._due, (at, next(self._numbers), event))
