"""Work that all routers together send to engines in slow start, relative to the budget, by simulation.

Each router has its own decision module and does not know what the others send. All overload the same engines.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import replace
from math import sqrt
from random import Random
from typing import NamedTuple

from grebeproxy import Choice
from grebeproxy.lab.capacity.measure.engines import engine_entries
from grebeproxy.lab.capacity.measure.router_settings import CORES, settings
from grebeproxy.lab.capacity.measure.workload import MIX, Statements
from grebeproxy.lab.record import Point
from grebeproxy.policy import interface as api

ROUTERS = (24, 200, 600, 1200, 2400)
ENGINES = 2
ENGINES_START = 100.0  # seconds on the simulated clock
ROUTERS_START = ENGINES_START - 1.0
LIST_TIME = ENGINES_START - 0.5  # when the routers receive the engine list
SECONDS = 4.5  # simulated time: one and a half windows of the overload rule
RATE = 1200.0  # statements per second of all routers together, slightly above what the overload rule allows
WORK_FACTOR = 5.0  # multiplies the work of the mix, so that fewer statements overload the engines
BUSY_FRACTION = 0.85  # capacity is the rate at which this fraction of the cores is busy
MEAN_WORK = WORK_FACTOR * sum(cls.fraction * cls.work for cls in MIX)  # core seconds per statement
CHANCE_DEVIATIONS = 2.0  # standard deviations that chance may add to the budget
CHANCE_STATEMENTS = 2.0  # statements that chance may add to the budget


class SentWork(NamedTuple):
    """Work in core seconds that was sent to an engine, and the time of sending."""

    time: float
    work: float


class Send(NamedTuple):
    """Work in core seconds that a router sends to an engine."""

    engine: str
    work: float


def measure(routers: Iterable[int] = ROUTERS, seed: int = 1) -> list[Point]:
    """Return one point for each number of routers."""
    return [_point(count, seed) for count in routers]


def _point(routers: int, seed: int) -> Point:
    sent_by_engine = _Overload(routers, seed).run()
    rules = settings(routers).rules
    requested = RATE * SECONDS * MEAN_WORK
    ratios = [ratio for sent in sent_by_engine.values() for ratio in _window_ratios(sent, rules)]
    values = {
        "most_over_bound": max(ratios, default=0.0),
        "sent_share": sum(item.work for sent in sent_by_engine.values() for item in sent) / requested,
        "engines_reached": float(len(sent_by_engine)),
    }
    return Point({"routers": routers, "engines": ENGINES}, values)


class _Overload:
    """A simulation in which routers get statements at a high rate and each attempt succeeds at once."""

    def __init__(self, routers: int, seed: int) -> None:
        self._random = Random(seed)
        self._statements = Statements(seed)
        common = settings(routers)
        engines = tuple(replace(engine, started=ENGINES_START) for engine in engine_entries(ENGINES))
        self._choices = []
        for index in range(routers):
            choice = Choice(replace(common, index=index), ROUTERS_START, seed + index)
            choice.handle(LIST_TIME, [api.EngineList(api.ListKind.FULL, engines)])
            self._choices.append(choice)

    def run(self) -> dict[str, list[SentWork]]:
        """Return the work sent to each engine, in order of time."""
        sent: dict[str, list[SentWork]] = defaultdict(list)
        for time, query in self._statements.queries(ENGINES_START, RATE):
            if time >= ENGINES_START + SECONDS:
                return sent
            heavier = replace(query, work=WORK_FACTOR * (query.work or 0.0))
            for send in self._handle(self._random.choice(self._choices), time, heavier):
                sent[send.engine].append(SentWork(time, send.work))
        return sent

    def _handle(self, choice: Choice, now: float, query: api.Query) -> Iterator[Send]:
        """Pass a query to a router and yield what it sends; each attempt succeeds at once."""
        actions = choice.handle(now, [query])
        while sends := [action for action in actions if isinstance(action, api.Send)]:
            actions = []
            for send in sends:
                work = choice.queries[send.id].request.work or 0.0
                yield Send(send.engine, work)
                ended = api.AttemptEnded(send.id, send.engine, 0, api.Outcome.OK, work, True, work)
                actions += choice.handle(now, [ended])


def _window_ratios(sent: list[SentWork], rules: api.Rules) -> Iterator[float]:
    """Yield, for each window that ends with a statement, the work in it divided by the allowed work."""
    first = 0
    in_window = 0.0
    for time, work in sent:
        in_window += work
        while sent[first].time <= time - rules.overload_time:
            in_window -= sent[first].work
            first += 1
        yield in_window / MEAN_WORK / _allowed(time, rules)


def _allowed(time: float, rules: api.Rules) -> float:
    """Return how many mean statements an engine may get in the window that ends at ``time``.

    The number includes a margin for random variation.
    """
    age = max(0.0, time - rules.overload_time / 2 - ENGINES_START)
    warmth = rules.slow_start_fraction + (1.0 - rules.slow_start_fraction) * age / rules.slow_start_time
    budget = rules.overload_factor * rules.overload_time * BUSY_FRACTION * CORES * warmth / MEAN_WORK
    return budget + CHANCE_DEVIATIONS * sqrt(budget) + CHANCE_STATEMENTS
