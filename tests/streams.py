"""Seeded streams of events for the decision module, and a digest of all it does on each.

``tests/streams.txt`` holds the digests. They tell whether a change that is to keep behaviour keeps it; where
a change is meant, run this file to record them anew and say so.
"""

from __future__ import annotations

from dataclasses import astuple, replace
from hashlib import blake2b
from heapq import heappop, heappush
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

from conftest import LOAD, LONG, SHORT, make_settings

from grebeproxy import Choice
from grebeproxy.policy import interface as api

# Actions under the names that they had when the digests were recorded: a rename is no change of behaviour.
RECORDED_NAMES: dict[type[api.Action], str] = {api.Reject: "Refuse", api.HealthCheck: "Probe"}
RECORDED = Path(__file__).parent / "streams.txt"
TENANTS = (api.Tenant("a", 20.0, 0.6), api.Tenant("b", 10.0, 0.4))
CLASSES = (replace(SHORT, waits_for_loads=True), LONG, replace(LOAD, ordered_by_key=True))
FAULTS = (
    api.Outcome.ERROR,
    api.Outcome.FULL,
    api.Outcome.RESET,
    api.Outcome.TIMEOUT,
    api.Outcome.CONNECT_FAILED,
)

BUDGET = api.AttemptBudget(window=5.0, floor=3.0, fraction=0.1)

# Settings, engines, queries a second: one router of few, of many, and each of the settings' switches.
STREAMS: dict[str, tuple[dict[str, Any], int, float]] = {
    "alone": ({}, 4, 40.0),
    "two": ({"balancers": 2, "index": 1}, 8, 60.0),
    "many": ({"balancers": 200, "index": 17}, 60, 15.0),
    "six": ({"balancers": 6, "index": 3}, 9, 60.0),
    "crowded": ({"balancers": 3, "tenants": TENANTS}, 2, 120.0),
    "wide": ({"balancers": 2}, 40, 60.0),
    "probing": ({"balancers": 9, "may_health_check": True, "progress_period": 1.0}, 12, 30.0),
    "asking": (
        {"polls_engine_list": True, "overbooked": api.Overbooked.SHRINK, "memory_granted": True},
        5,
        50.0,
    ),
    "rationed": (
        {
            "rules": api.Rules(0.02, 1.0, 0.3, 10.0, 2.0, 1.0, 0.2, None, BUDGET),
            "overbooked": api.Overbooked.PAGE,
            "memory_granted": True,
            "may_cancel": False,
        },
        5,
        60.0,
    ),
}


class World:
    """One router's surroundings: engines that serve, fail, come and go as a seed tells."""

    def __init__(self, name: str, seed: int) -> None:
        changes, self.engines, self.rate = STREAMS[name]
        self.settings = make_settings(**{"classes": CLASSES, "tenants": TENANTS, **changes})
        self.draw = Random(f"{name} {seed}")
        self.now = 50.0
        self.choice = Choice(self.settings, self.now, seed)
        self.due: list[tuple[float, int, api.Event | str]] = []
        self.numbers = count()
        self.out: dict[str, tuple[str, int, float]] = {}  # engine, attempt and when, by query
        self.attempts: dict[str, int] = {}
        self.digest = blake2b(digest_size=12)

    def at(self, at: float, event: api.Event | str) -> None:
        heappush(self.due, (at, next(self.numbers), event))

    def play(self, seconds: float) -> str:
        kinds = [self.engine(n, None) for n in range(self.engines)]
        self.at(self.now, api.EngineList(api.ListKind.FULL, tuple(kinds)))
        self.at(self.now, "arrival")
        for _ in range(max(2, self.engines // 4)):
            self.at(self.now + self.draw.uniform(1.0, seconds), "change")
        until = self.now + seconds
        while self.due and self.due[0][0] < until:
            self.now, told = self.due[0][0], []
            while self.due and self.due[0][0] <= self.now + self.settings.tick:
                told += self.happen(heappop(self.due)[2])
            if told:
                for action in self.choice.handle(self.now, told):
                    self.act(action)
        return self.digest.hexdigest()

    def engine(
        self, n: int, started: float | None, state: api.EngineState = api.EngineState.UP
    ) -> api.Engine:
        return api.Engine(f"e{n}", "medium", state=state, started=started)

    def happen(self, event: api.Event | str) -> list[api.Event]:
        if event == "arrival":
            self.at(self.now + self.draw.expovariate(self.rate), "arrival")
            return [self.query()]
        if event == "change":
            n = self.draw.randrange(self.engines)
            states = [api.EngineState.UP, api.EngineState.UP, api.EngineState.DRAINING, api.EngineState.GONE]
            state = self.draw.choice(states)
            if self.draw.random() < 0.2:
                return [
                    api.ManualOverridesChanged(
                        frozenset({f"e{n}"}) if state is api.EngineState.UP else frozenset()
                    )
                ]
            started = self.now if state is api.EngineState.UP else None
            return [api.EngineList(api.ListKind.CHANGES, (self.engine(n, started, state),))]
        assert not isinstance(event, str)
        if isinstance(event, api.AttemptEnded):
            if self.out.get(event.id, ("", -1, 0.0))[:2] != (event.engine, event.attempt):
                return []  # cancelled meanwhile
            del self.out[event.id]
        return [event]

    def query(self) -> api.Query:
        cls = self.draw.choices(CLASSES, [8, 2, 1])[0]
        work = self.draw.expovariate(10.0 if cls is CLASSES[0] else 1.0)
        limit = cls.deadline * self.draw.choice([1.0, 1.0, 1.0, 0.8])
        return api.Query(
            f"q{next(self.numbers)}",
            cls.name,
            self.now + limit,
            tenant=self.draw.choice("ab"),
            key=f"k{self.draw.randrange(4)}" if cls.ordered_by_key else None,
            data_set=self.draw.randrange(12),
            work=work,
            memory_mb=100.0 * work,
            is_client_retry=limit < cls.deadline,
        )

    def act(self, action: api.Action) -> None:
        values = [round(v, 6) if isinstance(v, float) else v for v in astuple(action)]
        name = RECORDED_NAMES.get(type(action), type(action).__name__)
        shown = f"{name} {values}"
        self.digest.update(f"{self.now:.6f} {shown}\n".encode())
        match action:
            case api.Send(id, engine, _):
                number = self.attempts[id] = self.attempts.get(id, -1) + 1
                self.out[id] = (engine, number, self.now)
                job = self.choice.queries[id]
                took = job.run_time * self.draw.uniform(0.5, 1.5) * (1.0 + 0.2 * len(self.out) / self.engines)
                bad = self.draw.random() < (0.4 if engine == "e1" else 0.02)
                outcome = self.draw.choice(FAULTS) if bad else api.Outcome.OK
                took = 0.01 if outcome in (api.Outcome.ERROR, api.Outcome.FULL) else took
                took *= 20.0 if self.draw.random() < 0.03 else 1.0  # a bad plan
                if self.now + took > job.due:
                    outcome, took = api.Outcome.TIMEOUT, job.due - self.now
                report = {"memory_granted": self.draw.random()}
                self.at(
                    self.now + took,
                    api.AttemptEnded(
                        id,
                        engine,
                        number,
                        outcome,
                        took,
                        outcome is api.Outcome.OK,
                        job.work,
                        job.memory,
                        report,
                    ),
                )
            case api.Cancel(id, attempt):
                if id in self.out and self.out[id][1] == attempt:
                    engine, _, sent = self.out.pop(id)
                    self.out[id] = (engine, attempt, sent)
                    self.at(
                        self.now + 0.02,
                        api.AttemptEnded(id, engine, attempt, api.Outcome.CANCELLED, self.now + 0.02 - sent),
                    )
            case api.SetTimer(name, delay):
                self.at(self.now + delay, api.TimerFired(name))
            case api.HealthCheck(engine):
                self.at(self.now + 0.001, api.HealthCheckEnded(engine, 0.001, api.Outcome.OK))
            case api.Watch():
                self.at(self.now + 0.1, api.EngineList(api.ListKind.CHANGES))


def digests() -> dict[str, str]:
    return {f"{name} {seed}": World(name, seed).play(12.0) for name in STREAMS for seed in (1, 2)}


if __name__ == "__main__":
    RECORDED.write_text("".join(f"{name} {digest}\n" for name, digest in digests().items()))
