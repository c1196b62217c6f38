"""Seeded streams of events for the decision module, and a digest of all its actions on each stream.

``tests/streams.txt`` holds the digests. They show whether a change keeps the behaviour. If a change of
behaviour is intended, run this file to record the digests anew, and say so in the commit.
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

# Names that classes of actions had when the digests were recorded. A rename is no change of behaviour.
RECORDED_NAMES: dict[type[api.Action], str] = {api.Reject: "Refuse", api.HealthCheck: "Probe"}
DIGESTS_FILE = Path(__file__).parent / "streams.txt"
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

# Changed settings, number of engines and queries per second. The streams cover one router of few and of many,
# and each switch of the settings.
STREAMS: dict[str, tuple[dict[str, Any], int, float]] = {
    "alone": ({}, 4, 40.0),
    "two": ({"balancers": 2, "index": 1}, 8, 60.0),
    "many": ({"balancers": 200, "index": 17}, 60, 15.0),
    "six": ({"balancers": 6, "index": 3}, 9, 60.0),
    "crowded": ({"balancers": 3, "tenants": TENANTS}, 2, 120.0),
    "wide": ({"balancers": 2}, 40, 60.0),
    "probing": ({"balancers": 9, "may_health_check": True, "progress_period": 1.0}, 12, 30.0),
    "asking": (
        {
            "polls_engine_list": True,
            "overcommit_behavior": api.OvercommitBehavior.SHRINK,
            "memory_granted": True,
        },
        5,
        50.0,
    ),
    "rationed": (
        {
            "rules": api.Rules(0.02, 1.0, 0.3, 10.0, 2.0, 1.0, 0.2, None, BUDGET),
            "overcommit_behavior": api.OvercommitBehavior.PAGE,
            "memory_granted": True,
            "may_cancel": False,
        },
        5,
        60.0,
    ),
}


class SimulatedWorld:
    """Simulated clients and engines of one router; a seed decides how engines serve, fail, come and go."""

    def __init__(self, name: str, seed: int) -> None:
        changes, self.engines, self.rate = STREAMS[name]
        self.settings = make_settings(**{"classes": CLASSES, "tenants": TENANTS, **changes})
        self.random = Random(f"{name} {seed}")
        self.now = 50.0
        self.choice = Choice(self.settings, self.now, seed)
        self.scheduled: list[tuple[float, int, api.Event | str]] = []
        self.sequence = count()
        # Engine, attempt and time of sending, by query.
        self.in_flight: dict[str, tuple[str, int, float]] = {}
        self.attempts: dict[str, int] = {}
        self.digest = blake2b(digest_size=12)

    def schedule(self, at: float, event: api.Event | str) -> None:
        heappush(self.scheduled, (at, next(self.sequence), event))

    def play(self, seconds: float) -> str:
        entries = [self.engine(n, None) for n in range(self.engines)]
        self.schedule(self.now, api.EngineList(api.ListKind.FULL, tuple(entries)))
        self.schedule(self.now, "arrival")
        for _ in range(max(2, self.engines // 4)):
            self.schedule(self.now + self.random.uniform(1.0, seconds), "change")
        until = self.now + seconds
        while self.scheduled and self.scheduled[0][0] < until:
            self.now, events = self.scheduled[0][0], []
            while self.scheduled and self.scheduled[0][0] <= self.now + self.settings.tick:
                events += self.events_of(heappop(self.scheduled)[2])
            if events:
                for action in self.choice.handle(self.now, events):
                    self.perform(action)
        return self.digest.hexdigest()

    def engine(
        self, n: int, started: float | None, state: api.EngineState = api.EngineState.UP
    ) -> api.Engine:
        return api.Engine(f"e{n}", "medium", state=state, started=started)

    def events_of(self, event: api.Event | str) -> list[api.Event]:
        if event == "arrival":
            self.schedule(self.now + self.random.expovariate(self.rate), "arrival")
            return [self.query()]
        if event == "change":
            n = self.random.randrange(self.engines)
            states = [api.EngineState.UP, api.EngineState.UP, api.EngineState.DRAINING, api.EngineState.GONE]
            state = self.random.choice(states)
            if self.random.random() < 0.2:
                return [
                    api.ManualOverridesChanged(
                        frozenset({f"e{n}"}) if state is api.EngineState.UP else frozenset()
                    )
                ]
            started = self.now if state is api.EngineState.UP else None
            return [api.EngineList(api.ListKind.CHANGES, (self.engine(n, started, state),))]
        assert not isinstance(event, str)
        if isinstance(event, api.AttemptEnded):
            if self.in_flight.get(event.id, ("", -1, 0.0))[:2] != (event.engine, event.attempt):
                return []  # The attempt was cancelled meanwhile.
            del self.in_flight[event.id]
        return [event]

    def query(self) -> api.Query:
        cls = self.random.choices(CLASSES, [8, 2, 1])[0]
        work = self.random.expovariate(10.0 if cls is CLASSES[0] else 1.0)
        limit = cls.deadline * self.random.choice([1.0, 1.0, 1.0, 0.8])
        return api.Query(
            f"q{next(self.sequence)}",
            cls.name,
            self.now + limit,
            tenant=self.random.choice("ab"),
            key=f"k{self.random.randrange(4)}" if cls.ordered_by_key else None,
            data_set=self.random.randrange(12),
            work=work,
            memory_mb=100.0 * work,
            is_client_retry=limit < cls.deadline,
        )

    def perform(self, action: api.Action) -> None:
        values = [round(v, 6) if isinstance(v, float) else v for v in astuple(action)]
        name = RECORDED_NAMES.get(type(action), type(action).__name__)
        line = f"{name} {values}"
        self.digest.update(f"{self.now:.6f} {line}\n".encode())
        match action:
            case api.Send(id, engine, _):
                number = self.attempts[id] = self.attempts.get(id, -1) + 1
                self.in_flight[id] = (engine, number, self.now)
                query = self.choice.queries[id]
                latency = (
                    query.run_time
                    * self.random.uniform(0.5, 1.5)
                    * (1.0 + 0.2 * len(self.in_flight) / self.engines)
                )
                fails = self.random.random() < (0.4 if engine == "e1" else 0.02)
                outcome = self.random.choice(FAULTS) if fails else api.Outcome.OK
                latency = 0.01 if outcome in (api.Outcome.ERROR, api.Outcome.FULL) else latency
                latency *= 20.0 if self.random.random() < 0.03 else 1.0  # A bad plan makes a query slow.
                if self.now + latency > query.due:
                    outcome, latency = api.Outcome.TIMEOUT, query.due - self.now
                report = {"memory_granted": self.random.random()}
                self.schedule(
                    self.now + latency,
                    api.AttemptEnded(
                        id,
                        engine,
                        number,
                        outcome,
                        latency,
                        outcome is api.Outcome.OK,
                        query.work,
                        query.memory,
                        report,
                    ),
                )
            case api.Cancel(id, attempt):
                if id in self.in_flight and self.in_flight[id][1] == attempt:
                    engine, _, sent = self.in_flight.pop(id)
                    self.in_flight[id] = (engine, attempt, sent)
                    self.schedule(
                        self.now + 0.02,
                        api.AttemptEnded(id, engine, attempt, api.Outcome.CANCELLED, self.now + 0.02 - sent),
                    )
            case api.SetTimer(name, delay):
                self.schedule(self.now + delay, api.TimerFired(name))
            case api.HealthCheck(engine):
                self.schedule(self.now + 0.001, api.HealthCheckEnded(engine, 0.001, api.Outcome.OK))
            case api.Watch():
                self.schedule(self.now + 0.1, api.EngineList(api.ListKind.CHANGES))


def digests() -> dict[str, str]:
    return {f"{name} {seed}": SimulatedWorld(name, seed).play(12.0) for name in STREAMS for seed in (1, 2)}


if __name__ == "__main__":
    DIGESTS_FILE.write_text("".join(f"{name} {digest}\n" for name, digest in digests().items()))
