"""Slow start: what warming engines get from all routers together, even if many routers have just started.

Beyond the budget N of the rules, in queries of mean work, a tolerance of 2 * sqrt(N) + 2 allows for chance.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from math import sqrt
from random import Random

import pytest
from conftest import LOAD, LONG, RULES, SHORT, RouterHarness, make_settings, sends

from grebeproxy.policy.interface import Engine, Outcome, Send

SLOW_START_RULES = replace(
    RULES, overload_factor=4.0, overload_time=3.0, slow_start_time=14.0, slow_start_fraction=0.31
)
CLASSES = (SHORT, LONG, replace(LOAD, locks_data_set=False))
WORK = {"short": 0.1, "long": 2.6, "load": 3.0}  # core-seconds of a typical query
CORES, MEAN_WORK = 8.0, 0.6
BUSY_FRACTION = 0.85  # the rules define capacity as the rate at which this fraction of the cores is busy


class Fleet:
    """Routers and engines on one clock; the first ``cold`` engines started two seconds ago."""

    def __init__(self, balancers: int, engines: int, cold: int, seed: int) -> None:
        self.random, self.now, self.engines_started_at = Random(seed), 100.0, 98.0
        self.settings = make_settings(balancers=balancers, rules=SLOW_START_RULES, classes=CLASSES)
        self.entries = [
            Engine(f"e{n}", "medium", started=self.engines_started_at if n < cold else None)
            for n in range(engines)
        ]
        self.warming_ids = {entry.id for entry in self.entries[:cold]}
        self.sent: dict[str, list[tuple[float, float]]] = {id: [] for id in self.warming_ids}
        self.harnesses: list[RouterHarness] = []
        self.submitted = 0
        for index in range(balancers):
            self.restart(index)

    def restart(self, index: int) -> None:
        """Restart a router, which then does not know what it sent before."""
        harness = RouterHarness(replace(self.settings, index=index), engines=0)
        seed = self.submitted + index
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
                expected_count = rate(cls) * step
                for _ in range(int(expected_count) + (self.random.random() < expected_count % 1.0)):
                    self.submit(self.random.randrange(len(self.harnesses)), cls, work, outcome)

    def submit(self, index: int, cls: str, work: float, outcome: Outcome) -> None:
        harness, self.submitted = self.harnesses[index], self.submitted + 1
        harness.now = self.now
        estimate = work * self.random.lognormvariate(-0.3, 0.8)
        first_sends = sends(harness.submit(cls, wait=8.0, work=estimate, id=f"{self.submitted}"))
        for send in self.record_sends(harness, first_sends):
            for retry in self.record_sends(harness, sends(harness.end_attempt(send, outcome, 0.05))):
                self.record_sends(harness, sends(harness.end_attempt(retry, Outcome.OK, 0.05)))

    def record_sends(self, harness: RouterHarness, new_sends: list[Send]) -> list[Send]:
        """Record the work of those sends that go to warming engines, and return all of them."""
        for send in new_sends:
            if send.engine in self.warming_ids:
                self.sent[send.engine].append(
                    (self.now, WORK[harness.choice.queries[send.id].cls.name] / MEAN_WORK)
                )
        return new_sends

    def worst_budget_ratio(self) -> float:
        """The highest load of any engine in any window, over its budget plus tolerance: the bound is 1."""
        worst = 0.0
        for sent in self.sent.values():
            for last in range(len(sent)):
                sent_at = sent[last][0]
                work_sent = sum(
                    weight
                    for when, weight in sent[: last + 1]
                    if when > sent_at - SLOW_START_RULES.overload_time
                )
                # The capacity is that in the middle of the window.
                age = max(0.0, sent_at - SLOW_START_RULES.overload_time / 2 - self.engines_started_at)
                capacity_fraction = (
                    SLOW_START_RULES.slow_start_fraction
                    + (1.0 - SLOW_START_RULES.slow_start_fraction) * age / SLOW_START_RULES.slow_start_time
                )
                budget = (
                    SLOW_START_RULES.overload_factor
                    * SLOW_START_RULES.overload_time
                    * BUSY_FRACTION
                    * CORES
                    * capacity_fraction
                    / MEAN_WORK
                )
                worst = max(worst, work_sent / (budget + 2.0 * sqrt(budget) + 2.0))
        return worst

    def warming_work(self) -> float:
        """Work that was sent to the warming engines, in core-seconds."""
        return sum(weight * MEAN_WORK for sent in self.sent.values() for _, weight in sent)


FLOODS: dict[str, dict[str, float]] = {
    "lookups": {"short": 1200.0},
    "reports": {"long": 150.0},
    "loads": {"load": 150.0},
    "all": {"short": 800.0, "long": 120.0, "load": 80.0},
}  # queries per second by class; the two engines can do about 7 core-seconds per second


@pytest.mark.parametrize("balancers", [2, 20, 30, 200])
@pytest.mark.parametrize("flood", FLOODS)
def test_routers_that_restart_repeatedly_in_a_flood_keep_the_warming_budget(
    balancers: int, flood: str
) -> None:
    fleet = Fleet(balancers, engines=2, cold=2, seed=balancers)
    for _ in range(4):  # A restart in the middle of each window must not give a second budget.
        for index in range(balancers):
            fleet.restart(index)
        fleet.run(1.7, lambda cls: FLOODS[flood].get(cls, 0.0))
    assert 0.0 < fleet.worst_budget_ratio() <= 1.0


@pytest.mark.parametrize("balancers", [30, 200])
def test_rejected_and_failed_attempts_count_against_the_warming_budget(balancers: int) -> None:
    for outcome in (Outcome.FULL, Outcome.ERROR, Outcome.RESET):
        fleet = Fleet(balancers, engines=2, cold=2, seed=1)
        fleet.run(4.0, lambda cls: FLOODS["all"].get(cls, 0.0), outcome)
        assert 0.0 < fleet.worst_budget_ratio() <= 1.0


def test_a_fleet_that_has_just_started_uses_its_warming_engines() -> None:
    # Half of the engines and all routers are new, and the warm engines alone could serve all queries.
    fleet = Fleet(200, engines=32, cold=16, seed=1)
    for _ in range(6):
        fleet.run(1.0, lambda cls: {"short": 550.0, "long": 22.0, "load": 6.0}[cls])
    capacity = (
        16
        * CORES
        * (
            SLOW_START_RULES.slow_start_fraction
            + (1.0 - SLOW_START_RULES.slow_start_fraction) * 5.0 / SLOW_START_RULES.slow_start_time
        )
        * 6.0
    )
    assert fleet.warming_work() > 0.2 * capacity and fleet.worst_budget_ratio() <= 1.0


@pytest.mark.parametrize(("balancers", "seed"), [(2, 15), (20, 1), (20, 4), (30, 8)])
def test_the_warming_budget_holds_where_chance_gives_routers_large_units(balancers: int, seed: int) -> None:
    """The sum of all routers exceeded the bound on these seeds, by up to 1.084.

    Each router divides a slot's budget into units by its own estimate of the heaviest query. Soon after a
    start the estimates differ, and so do the units. In one slot of seed 1, five routers had one unit each of
    2.9 to 5.6 core-seconds. These are 21.5 core-seconds in all, but the slot has 12.1. In a trial with one
    unit for all routers, no sum of 240 runs was above 0.93.
    """
    fleet = Fleet(balancers, engines=2, cold=2, seed=seed)
    for _ in range(4):
        for index in range(balancers):
            fleet.restart(index)
        fleet.run(1.7, lambda cls: FLOODS["all"][cls])
    assert 0.0 < fleet.worst_budget_ratio() <= 1.0
