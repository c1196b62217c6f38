"""Settings, and a harness for one decision module, that the tests share."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from known_red import KnownFailures

from grebeproxy import Choice, Settings
from grebeproxy.policy.interface import (
    Action,
    AttemptEnded,
    Cancel,
    Idempotency,
    Engine,
    EngineList,
    Event,
    Fail,
    EngineKind,
    ListKind,
    Outcome,
    Query,
    QueryClass,
    Reject,
    Rules,
    Send,
    TimerFired,
)

hypothesis_settings.register_profile("ci", derandomize=True, deadline=None, database=None)
hypothesis_settings.load_profile("ci")


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownFailures())


SHORT = QueryClass("short", latency_objective=1.0, deadline=4.0, objective_stretch=1.5)
LONG = QueryClass(
    "long",
    latency_objective=2.0,
    deadline=20.0,
    threads=3,
    priority_weight=10.0,
    late_weight_factor=0.4,
    objective_stretch=2.5,
)
LOAD = QueryClass(
    "load",
    latency_objective=3.0,
    deadline=20.0,
    threads=2,
    priority_weight=10.0,
    late_weight_factor=0.5,
    objective_stretch=3.0,
    idempotency=Idempotency.IDEMPOTENCY_KEY,
    retry_window=10.0,
    locks_data_set=True,
)
RULES = Rules(
    answer_slack=0.02,
    drain_grace=1.0,
    slow_start_fraction=0.3,
    slow_start_time=10.0,
    overload_factor=2.0,
    overload_time=1.0,
)


def make_settings(**changes: Any) -> Settings:
    base = Settings(
        classes=(SHORT, LONG, LOAD),
        kinds=(EngineKind("medium", 8.0, 16000.0),),
        rules=RULES,
        tick=0.005,
        max_attempts=4,
        max_retry_after=1.0,
        may_cancel=True,
        priorities=True,
        reports_work=True,
    )
    return replace(base, **changes)


class RouterHarness:
    """Drives one ``Choice``, and counts the attempts of each query."""

    def __init__(self, settings: Settings, engines: int = 2, **engine: Any) -> None:
        self.now = 100.0
        self.choice = Choice(settings, self.now - 10.0, 1)  # started 10 seconds ago
        self.attempts: dict[str, int] = {}
        self.count = 0
        if engines:
            self.receive_engine_list(*(Engine(f"e{i}", "medium", **engine) for i in range(engines)))

    def receive_engine_list(self, *engines: Engine, list_kind: ListKind = ListKind.FULL) -> list[Action]:
        return self.handle(EngineList(list_kind, engines))

    def handle(self, *events: Event, at: float | None = None) -> list[Action]:
        self.now = at if at is not None else self.now
        actions = self.choice.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, Send):
                self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
        return actions

    def sweep(self, at: float) -> list[Action]:
        return self.handle(TimerFired("sweep"), at=at)

    def submit(
        self, cls: str = "short", *, wait: float = 4.0, id: str | None = None, **fields: Any
    ) -> list[Action]:
        self.count += 1
        return self.handle(Query(id or f"q{self.count}", cls, self.now + wait, **fields))

    def end_attempt(self, send: Send, outcome: Outcome, latency: float = 0.1, **fields: Any) -> list[Action]:
        settled = outcome is Outcome.OK
        return self.handle(
            AttemptEnded(send.id, send.engine, self.attempts[send.id], outcome, latency, settled, **fields)
        )

    def put_engines_under_pressure(self) -> None:
        """Put every engine under pressure, as after a FULL answer."""
        for engine in self.choice.engines.values():
            engine.full_until = self.now + 1000.0


@pytest.fixture
def settings() -> Settings:
    return make_settings()


def sends(actions: list[Action]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


def final_answers(actions: list[Action]) -> list[Reject | Fail]:
    return [a for a in actions if isinstance(a, Reject | Fail)]


def cancels(actions: list[Action]) -> list[Cancel]:
    return [a for a in actions if isinstance(a, Cancel)]
