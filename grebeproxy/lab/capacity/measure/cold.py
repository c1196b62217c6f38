"""What engines that have just started get from all routers together, against their budget, by simulation.

Each router is a decision module of its own; none knows what the others send. All flood the same cold engines.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import replace
from math import sqrt
from random import Random

from grebeproxy import Choice
from grebeproxy.lab.capacity.measure.workload import CORES, MIX, Statements, engine_entries, settings
from grebeproxy.lab.record import Point
from grebeproxy.policy import interface as api

ROUTERS = (24, 200, 600, 1200, 2400)
ENGINES = 2
STARTED = 100.0  # when the engines start, on the simulated clock
SECONDS = 4.5  # one and a half windows of the rule
RATE = 1200.0  # statements a second of all routers together, somewhat more than the rule allows
HEAVIER = 5.0  # times the work of the mix, so that as few statements make a flood
BUSY = 0.85  # the rule counts an engine's capacity as the rate at which its cores are so busy
MEAN_WORK = HEAVIER * sum(cls.share * cls.work for cls in MIX)
Sent = tuple[float, float]  # when, and how much work


def measure(routers: Iterable[int] = ROUTERS, seed: int = 1) -> list[Point]:
    """One point for each number of routers."""
    return [_point(count, seed) for count in routers]


def _point(routers: int, seed: int) -> Point:
    sent = _Flood(routers, seed).run()
    rules = settings(routers).rules
    asked = RATE * SECONDS * MEAN_WORK
    over = [ratio for one in sent.values() for ratio in _windows(one, rules)]
    values = {
        "most_over_bound": max(over, default=0.0),
        "sent_share": sum(work for one in sent.values() for _, work in one) / asked,
        "engines_reached": float(len(sent)),
    }
    return Point({"routers": routers, "engines": ENGINES}, values)


class _Flood:
    """All routers ask for statements of the mix as fast as they come; each is over at once."""

    def __init__(self, routers: int, seed: int) -> None:
        self._random, self._statements = Random(seed), Statements(seed)
        common = settings(routers)
        cold = tuple(replace(engine, started=STARTED) for engine in engine_entries(ENGINES))
        self._choices = []
        for index in range(routers):
            choice = Choice(replace(common, index=index), STARTED - 1.0, seed + index)
            choice.handle(STARTED - 0.5, [api.EngineList(api.ListKind.FULL, cold)])
            self._choices.append(choice)

    def run(self) -> dict[str, list[Sent]]:
        """What each engine was sent, in order of time."""
        sent: dict[str, list[Sent]] = defaultdict(list)
        for at, query in self._statements.queries(STARTED, RATE):
            if at >= STARTED + SECONDS:
                return sent
            heavier = replace(query, work=HEAVIER * (query.work or 0.0))
            for engine, work in self._ask(self._random.choice(self._choices), at, heavier):
                sent[engine].append((at, work))
        return sent

    def _ask(self, choice: Choice, at: float, query: api.Query) -> Iterator[tuple[str, float]]:
        """The engines that a router sends to by one more query; what is sent ends at once."""
        actions = choice.handle(at, [query])
        while sends := [action for action in actions if isinstance(action, api.Send)]:
            actions = []
            for send in sends:
                work = choice.queries[send.id].request.work or 0.0
                yield send.engine, work
                ended = api.AttemptEnded(send.id, send.engine, 0, api.Outcome.OK, work, True, work)
                actions += choice.handle(at, [ended])


def _windows(sent: list[Sent], rules: api.Rules) -> Iterator[float]:
    """For each window that ends with a statement: what an engine got in it, over what the rule allows."""
    first, inside = 0, 0.0
    for at, work in sent:
        inside += work
        while sent[first][0] <= at - rules.overload_time:
            inside -= sent[first][1]
            first += 1
        yield inside / MEAN_WORK / _allowed(at, rules)


def _allowed(at: float, rules: api.Rules) -> float:
    """Statements of mean work that an engine may get in the window that ends then, and what chance adds."""
    age = max(0.0, at - rules.overload_time / 2 - STARTED)
    warmth = rules.slow_start_fraction + (1.0 - rules.slow_start_fraction) * age / rules.slow_start_time
    budget = rules.overload_factor * rules.overload_time * BUSY * CORES * warmth / MEAN_WORK
    return budget + 2.0 * sqrt(budget) + 2.0
