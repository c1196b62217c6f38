"""Slow start: what warming engines get from all routers together, even if many routers have just started.

Beyond the budget N of the rules, in queries of mean work, only 2 x root of N + 2 are put down to chance.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from math import sqrt
from random import Random

import pytest
from conftest import LOAD, LONG, RULES, SHORT, RouterHarness, make_settings, sends

from grebeproxy.policy.interface import Engine, Outcome, Send

COLD = replace(RULES, overload_factor=4.0, overload_time=3.0, slow_start_time=14.0, slow_start_fraction=0.31)
CLASSES = (SHORT, LONG, replace(LOAD, locks_data_set=False))
WORK = {"short": 0.1, "long": 2.6, "load": 3.0}  # core-seconds of a usual query
CORES, MEAN = 8.0, 0.6
BUSY = 0.85  # capacity is the rate at which the cores are so busy


class Fleet:
    """Routers and engines on one clock; the first ``cold`` engines have started two seconds ago."""

    def __init__(self, balancers: int, engines: int, cold: int, seed: int) -> None:
        self.draw, self.now, self.began = Random(seed), 100.0, 98.0
        self.settings = make_settings(balancers=balancers, rules=COLD, classes=CLASSES)
        self.entries = [
            Engine(f"e{n}", "medium", started=self.began if n < cold else None) for n in range(engines)
        ]
        self.cold = {entry.id for entry in self.entries[:cold]}
        self.sent: dict[str, list[tuple[float, float]]] = {id: [] for id in self.cold}
        self.harnesses: list[RouterHarness] = []
        self.asked = 0
        for index in range(balancers):
            self.restart(index)

    def restart(self, index: int) -> None:
        """Restart a router, which then does not know what it sent before."""
        harness = RouterHarness(replace(self.settings, index=index), engines=0)
        seed = self.asked + index
        harness.choice = type(harness.choice)(replace(self.settings, index=index), self.now, seed)
        harness.now = self.now
        harness.receive_engine_list(*self.entries)
        self.harnesses[index : index + 1] = [harness]

    def run(self, seconds: float, rate: Callable[[str], float], outcome: Outcome = Outcome.OK) -> None:
        """Send queries of each class at a rate per second over all routers; each ends in its step."""
        until, step = self.now + seconds, 0.05
        while self.now < until:
            self.now += step
            for cls, work in WORK.items():
                whole = rate(cls) * step
                for _ in range(int(whole) + (self.draw.random() < whole % 1.0)):
                    self.ask(self.draw.randrange(len(self.harnesses)), cls, work, outcome)

    def ask(self, index: int, cls: str, work: float, outcome: Outcome) -> None:
        harness, self.asked = self.harnesses[index], self.asked + 1
        harness.now = self.now
        estimate = work * self.draw.lognormvariate(-0.3, 0.8)
        out = sends(harness.submit(cls, wait=8.0, work=estimate, id=f"{self.asked}"))
        for send in self.noted(harness, out):
            for more in self.noted(harness, sends(harness.end_attempt(send, outcome, 0.05))):
                self.noted(harness, sends(harness.end_attempt(more, Outcome.OK, 0.05)))

    def noted(self, harness: RouterHarness, out: list[Send]) -> list[Send]:
        for send in out:
            if send.engine in self.cold:
                self.sent[send.engine].append(
                    (self.now, WORK[harness.choice.queries[send.id].cls.name] / MEAN)
                )
        return out

    def over(self) -> float:
        """The most that any engine got in any window, over its budget and chance: 1 is the bound."""
        worst = 0.0
        for sent in self.sent.values():
            for last in range(len(sent)):
                at = sent[last][0]
                got = sum(weight for when, weight in sent[: last + 1] if when > at - COLD.overload_time)
                age = max(0.0, at - COLD.overload_time / 2 - self.began)  # in the middle of the window
                now = COLD.slow_start_fraction + (1.0 - COLD.slow_start_fraction) * age / COLD.slow_start_time
                budget = COLD.overload_factor * COLD.overload_time * BUSY * CORES * now / MEAN
                worst = max(worst, got / (budget + 2.0 * sqrt(budget) + 2.0))
        return worst

    def part(self) -> float:
        """Work that the warming engines got, in core-seconds."""
        return sum(weight * MEAN for sent in self.sent.values() for _, weight in sent)


FLOODS: dict[str, dict[str, float]] = {
    "lookups": {"short": 1200.0},
    "reports": {"long": 150.0},
    "loads": {"load": 150.0},
    "all": {"short": 800.0, "long": 120.0, "load": 80.0},
}  # the two engines can do some 7 core-seconds in one


@pytest.mark.parametrize("balancers", [2, 20, 30, 200])
@pytest.mark.parametrize("flood", FLOODS)
def test_routers_that_all_restart_again_and_again_in_a_flood_keep_the_warming_budget(
    balancers: int, flood: str
) -> None:
    fleet = Fleet(balancers, engines=2, cold=2, seed=balancers)
    for _ in range(4):  # a restart in the middle of each window: no second allowance
        for index in range(balancers):
            fleet.restart(index)
        fleet.run(1.7, lambda cls: FLOODS[flood].get(cls, 0.0))
    assert 0.0 < fleet.over() <= 1.0


@pytest.mark.parametrize("balancers", [30, 200])
def test_rejected_and_failed_attempts_weigh_too(balancers: int) -> None:
    for outcome in (Outcome.FULL, Outcome.ERROR, Outcome.RESET):
        fleet = Fleet(balancers, engines=2, cold=2, seed=1)
        fleet.run(4.0, lambda cls: FLOODS["all"].get(cls, 0.0), outcome)
        assert 0.0 < fleet.over() <= 1.0


def test_a_fleet_that_has_just_started_serves_from_engines_that_have_too() -> None:
    # Half of the engines and all routers are new, and as much comes as warm ones can do by themselves.
    fleet = Fleet(200, engines=32, cold=16, seed=1)
    for _ in range(6):
        fleet.run(1.0, lambda cls: {"short": 550.0, "long": 22.0, "load": 6.0}[cls])
    able = (
        16
        * CORES
        * (COLD.slow_start_fraction + (1.0 - COLD.slow_start_fraction) * 5.0 / COLD.slow_start_time)
        * 6.0
    )
    assert fleet.part() > 0.2 * able and fleet.over() <= 1.0


@pytest.mark.parametrize(("balancers", "seed"), [(2, 15), (20, 1), (20, 4), (30, 8)])
def test_the_warming_budget_holds_where_chance_gives_routers_large_units(balancers: int, seed: int) -> None:
    """The sum of all routers exceeded the bound on these seeds, by up to 1.084.

    Each router divides a slot's budget into units of its own estimate of the heaviest query. Estimates
    differ soon after a start, and so do the units: in one slot of seed 1 five routers had a unit each, of
    2.9 to 5.6 core-seconds, 21.5 in all where the slot has 12.1. With one unit for all routers (trial) no
    sum of 240 runs was above 0.93.
    """
    fleet = Fleet(balancers, engines=2, cold=2, seed=seed)
    for _ in range(4):
        for index in range(balancers):
            fleet.restart(index)
        fleet.run(1.7, lambda cls: FLOODS["all"][cls])
    assert 0.0 < fleet.over() <= 1.0
