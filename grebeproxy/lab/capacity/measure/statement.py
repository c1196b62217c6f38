"""CPU of one statement in the router, by part: decode, decide, send, read the engine's answer, answer."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from itertools import count, islice
from typing import NamedTuple

from grebeproxy import Choice
from grebeproxy.lab.capacity.measure.engines import engine_entries
from grebeproxy.lab.capacity.measure.router_settings import settings
from grebeproxy.lab.capacity.measure.workload import (
    LOAD_REPORT,
    MEMORY_MB,
    RESULT_PAGE,
    Statements,
    pack_words,
    rate_of,
)
from grebeproxy.lab.record import Point
from grebeproxy.net import msgpack_rpc, resp
from grebeproxy.net.messages import Call, Run, Served
from grebeproxy.policy import interface as api

ROUTERS = (200, 2400)
ENGINES = (80, 200, 400, 800, 1600, 3200)
ONE_LIST = 400  # number of engines where the number of routers varies
ROUTERS_OF_ONE_LIST = (24, 200, 600, 1200, 2400)
RUNS = 3
CODEC_STATEMENTS = 1000
REMAINING_SECONDS = 1.9  # time left until the deadline when a statement is sent to an engine
DECISION_SECONDS = 1.0  # approximate CPU time of one run of decisions
MIN_DECISIONS = 60
MAX_DECISIONS = 2000
LIST_TIME = 1.0  # seconds on the simulated clock
FIRST_QUERY_TIME = 60.0  # late enough that no engine is in slow start, as in a typical decision
MICROSECONDS = 1e6
SHORTEST_SECONDS = 1e-9  # replaces a measured time of zero in a division


class DueEvent(NamedTuple):
    """An event that the decision module is given at a simulated time; ``number`` orders equal times."""

    time: float
    number: int
    event: api.Event


def measure(engines: Iterable[int] = ENGINES, routers: Iterable[int] = ROUTERS, seed: int = 1) -> list[Point]:
    """Return one point for each pair of engine and router counts; values are minima of several runs."""
    engines = tuple(engines)
    points: list[Point] = []
    for router_count in routers:
        for engine_count in engines:
            parts = codec_parts(seed)
            decide = decide_us(engine_count, router_count, seed)
            values = {**parts, "decide_us": decide, "sum_us": decide + sum(parts.values())}
            points.append(Point({"engines": engine_count, "routers": router_count}, values))
    return points


def against_routers(routers: Iterable[int] = ROUTERS_OF_ONE_LIST, seed: int = 1) -> list[Point]:
    """Return one point for each number of routers, all with ``ONE_LIST`` engines."""
    return [
        Point({"routers": count, "engines": ONE_LIST}, {"decide_us": decide_us(ONE_LIST, count, seed)})
        for count in routers
    ]


def codec_parts(seed: int) -> dict[str, float]:
    """Return the CPU microseconds that each codec takes for one statement."""
    statements = Statements(seed)
    requests = [statements.request(number) for number in range(CODEC_STATEMENTS)]
    decoder = msgpack_rpc.Decoder(settings(1))
    calls = [call for request in requests for call in decoder.feed(request) if isinstance(call, Call)]
    assert len(calls) == CODEC_STATEMENTS
    memory_mb = float(MEMORY_MB)
    runs = [
        Run(call.txn, call.query_class, REMAINING_SECONDS, call.body, call.token, memory_mb) for call in calls
    ]
    answers = [_engine_answer(call.txn) for call in calls]
    served = [Served(call.message_id, (RESULT_PAGE,)) for call in calls]
    engine_decoder = resp.Decoder()
    return {
        "decode_us": _min_cpu_us(lambda: [list(decoder.feed(request)) for request in requests]),
        "send_us": _min_cpu_us(lambda: [resp.encode(run) for run in runs]),
        "read_us": _min_cpu_us(lambda: [list(engine_decoder.feed(answer)) for answer in answers]),
        "answer_us": _min_cpu_us(lambda: [msgpack_rpc.encode(answer) for answer in served]),
    }


def _engine_answer(txn: str) -> bytes:
    return pack_words(txn, "ok", LOAD_REPORT, RESULT_PAGE)


def _min_cpu_us(work: Callable[[], object]) -> float:
    """Return the CPU per statement: the minimum of several runs, each over all statements."""
    return min(_cpu_seconds(work) for _ in range(RUNS)) / CODEC_STATEMENTS * MICROSECONDS


def _cpu_seconds(work: Callable[[], object]) -> float:
    started_at = time.process_time()
    work()
    return time.process_time() - started_at


def decide_us(engines: int, routers: int, seed: int) -> float:
    """Return the CPU microseconds that the decision module takes for a query, from arrival to end."""
    decisions = _Decisions(engines, routers, seed)
    first_seconds = decisions.cpu_seconds(MIN_DECISIONS)  # this run is also the warm-up
    affordable = int(DECISION_SECONDS * MIN_DECISIONS / max(first_seconds, SHORTEST_SECONDS))
    number = max(MIN_DECISIONS, min(MAX_DECISIONS, affordable))
    return min(decisions.cpu_seconds(number) / number for _ in range(RUNS)) * MICROSECONDS


class _Decisions:
    """A decision module with simulated engines, which serve each query in exactly its work time."""

    def __init__(self, engines: int, routers: int, seed: int) -> None:
        self._choice = Choice(settings(routers), 0.0, seed)
        self._choice.handle(LIST_TIME, [api.EngineList(api.ListKind.FULL, engine_entries(engines))])
        self._queries = Statements(seed).queries(FIRST_QUERY_TIME, rate_of(engines, routers))
        self._due: list[DueEvent] = []
        self._event_numbers = count()
        self._attempts: dict[str, int] = {}

    def cpu_seconds(self, queries: int) -> float:
        """Return the CPU seconds in the decision module while ``queries`` arrive and earlier ones end."""
        spent = 0.0
        for arrival, query in islice(self._queries, queries):
            while self._due and self._due[0].time <= arrival:
                due = heappop(self._due)
                spent += self._handle(due.time, due.event)
            spent += self._handle(arrival, query)
        return spent

    def _handle(self, now: float, event: api.Event) -> float:
        started_at = time.process_time()
        actions = self._choice.handle(now, [event])
        spent = time.process_time() - started_at
        for action in actions:
            self._carry_out(now, action)
        return spent

    def _carry_out(self, now: float, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            self._schedule(now + action.delay, api.TimerFired(action.name))
        elif isinstance(action, api.Send):
            number = self._attempts.get(action.id, -1) + 1
            self._attempts[action.id] = number
            work = self._choice.queries[action.id].work
            ended = api.AttemptEnded(action.id, action.engine, number, api.Outcome.OK, work, True, work)
            self._schedule(now + work, ended)

    def _schedule(self, time: float, event: api.Event) -> None:
        heappush(self._due, DueEvent(time, next(self._event_numbers), event))
