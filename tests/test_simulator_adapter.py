"""The simulator adapter translates messages and makes no decisions of its own."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from typing import Any

import pytest

from grebeproxy import Choice, Settings
from grebeproxy.simulator_adapter import SimulatorAdapter, SimulatorWireError
from grebeproxy.policy import interface as api
from grebeproxy.settings import SettingsError, settings_from

PROFILE: dict[str, Any] = {
    "balancers": 2,
    "me": 1,
    "zone": "z1",
    "zones": ["z1", "z2"],
    "kinds": ["k4"],
    "round": 5.0,
    "categories": [
        {
            "name": "s",
            "aim": 500.0,
            "aimStretch": 1.5,
            "deadline": 2000.0,
            "effect": "retryable",
            "group": "all",
            "importance": 2.0,
            "lateShare": 0.1,
            "window": 1000.0,
        },
        {
            "name": "l",
            "aim": 2000.0,
            "deadline": 9000.0,
            "effect": "dedup",
            "group": "zone",
            "importance": 9.0,
            "window": 6000.0,
            "inTurn": True,
            "servedOn": ["k4"],
            "confinedTo": ["z1"],
        },
    ],
    "family": "queries",
    "familyInfo": {
        "bills": True,
        "cpuOfKind": [4],
        "dop": [1, 2],
        "holdsTables": [False, True],
        "kindMemoryMb": [8000.0],
        "largestShare": 0.5,
        "memoryHeeded": True,
        "overbooked": "shrink",
        "progress": 1000.0,
        "takesPriority": True,
        "yieldsToLoads": [False, True],
    },
    "limits": {
        "cancel": True,
        "connectTimeout": 250.0,
        "maxRetryAfter": 1500.0,
        "retryAfter": True,
        "mostTries": 3,
        "probing": True,
        "mayTell": True,
        "secondCopies": False,
    },
    "obligations": {
        "answerSlack": 20.0,
        "askWithin": 9000.0,
        "coldFrom": 0.4,
        "overloadFactor": 3.0,
        "overloadFor": 1000.0,
        "rampTime": 8000.0,
        "stopSendingWithin": 700.0,
        "keyQuiet": 30.0,
        "countedOver": 4000.0,
        "extraFloor": 5,
        "extraPerRequest": 0.1,
    },
    "orgs": [{"name": "t1", "allowancePerS": 10.0, "share": 0.6}],
    "overShareWorth": 0.05,
    "prices": {"crossZone": 0.01, "waste": 0.05},
    "registryMode": "ask",
    "stats": {"columns": ["cpu_share", "odd"], "via": "piggyback"},
    "clients": {"marksRetry": True},
}
HELLO = {"msg": "Hello", "who": "dispatcher-1", "salt": 5, "profileData": PROFILE}
ENTRY = {"shape": "k4", "lifecycle": "on", "scale": 1, "rackZone": "z1", "node": "10.0.0.1:9000", "cell": 2}
FLEET = {"msg": "Fleet", "who": "dispatcher-1", "mode": "remembered", "generation": 3, "setId": 0}


class Recorder:
    """A stand-in for the decision module that records its events and returns preset actions."""

    made: list[Recorder]
    actions: list[api.Action]

    def __init__(self, settings: Settings, now: float, seed: int) -> None:
        self.settings, self.seed = settings, seed
        self.events: list[api.Event] = []
        Recorder.made.append(self)

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        self.events += events
        return list(Recorder.actions)


@pytest.fixture
def recorder() -> type[Recorder]:
    Recorder.made, Recorder.actions = [], []
    return Recorder


def play(*batches: list[dict[str, Any]], adapter: SimulatorAdapter | None = None) -> list[dict[str, Any]]:
    sink = io.StringIO()
    lines: list[str] = []
    for n, batch in enumerate(batches, 1):
        messages = [{"msg": "Mark", "simTime": 1000.0 + n, "n": n}, *batch, {"msg": "End"}]
        lines += [json.dumps(message) for message in messages]
    (adapter or SimulatorAdapter()).run(lines, sink)
    return [json.loads(line) for line in sink.getvalue().splitlines()]


def adapter_with(recorder: Any) -> SimulatorAdapter:
    return SimulatorAdapter(recorder)


def test_an_empty_batch_is_acknowledged() -> None:
    assert play([]) == [{"msg": "Ack", "n": 1}]


def test_settings_reach_the_module_in_its_own_units() -> None:
    settings = settings_from(PROFILE)
    short, long = settings.classes
    assert (short.latency_objective, short.deadline, short.priority_weight, short.threads) == (
        0.5,
        2.0,
        2.0,
        1,
    )
    assert (long.idempotency, long.scope, long.ordered_by_key) == (
        api.Idempotency.IDEMPOTENCY_KEY,
        api.Scope.ZONE,
        True,
    )
    assert (long.allowed_kinds, long.allowed_zones) == (frozenset({"k4"}), frozenset({"z1"}))
    assert settings.rules.attempt_budget == api.AttemptBudget(4.0, 5, 0.1)
    assert (settings.rules.list_max_age, settings.rules.key_settle_time, settings.rules.slow_start_time) == (
        9.0,
        0.03,
        8.0,
    )
    assert (
        settings.index,
        settings.balancers,
        settings.polls_engine_list,
        settings.clients_mark_retries,
    ) == (1, 2, True, True)
    assert (settings.overcommit_behavior, settings.progress_period, settings.load_report_fields) == (
        api.OvercommitBehavior.SHRINK,
        1.0,
        ("cpu",),
    )
    assert settings.tenants == (api.Tenant("t1", 10.0, 0.6),)


def test_optional_settings_reach_the_module() -> None:
    limits = {**PROFILE["limits"], "retryAfter": False, "secondCopies": True}
    family = {**PROFILE["familyInfo"], "takesPriority": False, "bills": False, "progress": 0.0}
    settings = settings_from({**PROFILE, "limits": limits, "familyInfo": family, "weights": "rough"})
    assert settings.max_retry_after is None and settings.may_hedge
    assert settings.may_health_check and settings.may_gossip
    assert not settings.priorities and not settings.reports_work and settings.progress_period is None
    assert [c.waits_for_loads for c in settings.classes] == [False, True]
    assert settings.rules.attempt_budget == api.AttemptBudget(window=4.0, floor=5, fraction=0.1)
    budget_keys = {"countedOver", "extraFloor", "extraPerRequest"}
    free = {k: v for k, v in PROFILE["obligations"].items() if k not in budget_keys}
    assert settings_from({**PROFILE, "obligations": free}).rules.attempt_budget is None
    for key in ("extraFloor", "extraPerRequest"):  # Half of a budget does not lift the rule.
        with pytest.raises(SettingsError, match=r"^obligations\.countedOver: missing"):
            settings_from({**PROFILE, "obligations": {**free, key: 1.0}})


def test_events_are_translated(recorder: type[Recorder]) -> None:
    who = {"who": "dispatcher-1"}
    play(
        [
            HELLO,
            {"msg": "Ledger", "setId": 0, "items": [{**ENTRY, "cameUp": 500.0}]},
            FLEET,
            {
                "msg": "Arrival",
                **who,
                "tid": "r",
                "due": 3000.0,
                "realm": "t1",
                "estMemoryMb": 64,
                "cost": 12.0,
                "schemaNo": 4,
                "key": "ab",
                "class": "l",
                "resent": True,
                "unheard": 1,
            },
            {
                "msg": "Completed",
                **who,
                "tid": "r",
                "node": "10.0.0.1:9000",
                "trueCost": 69728,
                "latency": 18.5,
                "attempt": 0,
                "stateCode": "Ok",
                "settled": True,
                "healthInfo": {"cpu_share": 0.5, "odd": 3},
            },
            {
                "msg": "Change",
                **who,
                "tid": "r",
                "attempt": 0,
                "topic": 1,
                "node": "10.0.0.1:9000",
                "value": 0.5,
            },
            {"msg": "Hangup", **who, "tid": "r"},
            {"msg": "Ring", **who, "mark": "m"},
            {"msg": "NoteFrom", **who, "neighbour": 0, "content": "hi"},
            {"msg": "CheckResult", **who, "node": "10.0.0.1:9000", "latency": 1.5, "stateCode": "Failed"},
            {"msg": "Started", **who, "tid": "r", "attempt": 0, "latency": 9.25, "node": "10.0.0.1:9000"},
        ],
        adapter=adapter_with(recorder),
    )
    [made] = recorder.made
    engine = api.Engine("10.0.0.1:9000", "k4", "z1", 2, api.EngineState.UP, 0.5, 1)
    assert made.events == [
        api.EngineList(api.ListKind.REMEMBERED, (engine,), 3),
        api.Query("r", "l", 3.0, "t1", "ab", 4, 0.012, 64, False, True),
        api.AttemptEnded("r", "10.0.0.1:9000", 0, api.Outcome.OK, 0.0185, True, 0.017, 384.0, {"cpu": 0.5}),
        api.Progress("r", "10.0.0.1:9000", 0, api.ProgressKind.FRACTION_DONE, 0.5),
        api.ClientDisconnected("r"),
        api.TimerFired("m"),
        api.PeerMessage(0, "hi"),
        api.HealthCheckEnded("10.0.0.1:9000", 0.0015, api.Outcome.ERROR, None),
        api.AttemptStarted("r", "10.0.0.1:9000", 0, 0.00925),
    ]
    assert made.seed == 5


def test_actions_are_translated_in_order(recorder: type[Recorder]) -> None:
    recorder.actions = [
        api.Send("r", "n", 1.5),
        api.SetTerms("r", 2, 640.0),
        api.Reject("r", 0.25),
        api.Reject("r"),
        api.Fail("r"),
        api.Cancel("r", 1),
        api.HealthCheck("n"),
        api.SetTimer("sweep", 0.05),
        api.Watch(True),
        api.FetchList(),
        api.Message("x"),
        api.Message("y", 2),
        api.Log("text"),
    ]
    reply = play([HELLO], adapter=adapter_with(recorder))
    assert all(line.pop("who") == "dispatcher-1" for line in reply[:-1])
    assert reply == [
        {"msg": "Place", "tid": "r", "node": "n", "notPast": 1500.0},
        {"msg": "SetTerms", "tid": "r", "importance": 2, "allotMb": 640},
        {"msg": "Shed", "tid": "r", "comeBack": 250.0},
        {"msg": "Shed", "tid": "r"},
        {"msg": "Lose", "tid": "r"},
        {"msg": "Withdraw", "tid": "r", "attempt": 1},
        {"msg": "HealthCheck", "node": "n"},
        {"msg": "Schedule", "delay": 50.0, "mark": "sweep"},
        {"msg": "Observe", "want": True},
        {"msg": "Snapshot"},
        {"msg": "Post", "dst": "all", "content": "x"},
        {"msg": "Post", "dst": 2, "content": "y"},
        {"msg": "Print", "bodyText": "text"},
        {"msg": "Ack", "n": 1},
    ]


def test_a_ledger_number_is_reused_within_a_batch(recorder: type[Recorder]) -> None:
    play(
        [
            HELLO,
            {"msg": "Ledger", "setId": 0, "items": [ENTRY]},
            FLEET,
            {"msg": "Ledger", "setId": 0, "items": [{**ENTRY, "node": "10.0.0.2:9000"}]},
            {**FLEET, "mode": "all"},
            {**FLEET, "mode": "refused", "setId": 9},
        ],
        adapter=adapter_with(recorder),
    )
    [made] = recorder.made
    lists = [event for event in made.events if isinstance(event, api.EngineList)]
    assert [[e.id for e in news.engines] for news in lists] == [["10.0.0.1:9000"], ["10.0.0.2:9000"], []]
    assert lists[2].list_kind is api.ListKind.FAILED


def test_stop_then_hello_in_one_batch_starts_empty(recorder: type[Recorder]) -> None:
    play(
        [HELLO],
        [
            {"msg": "Ring", "who": "dispatcher-1", "mark": "old"},
            {"msg": "Stop", "who": "dispatcher-1"},
            {**HELLO, "salt": 6},
        ],
        adapter=adapter_with(recorder),
    )
    assert [made.seed for made in recorder.made] == [5, 6]
    assert recorder.made[1].events == []


def test_instances_are_kept_apart(recorder: type[Recorder]) -> None:
    play(
        [HELLO, {**HELLO, "who": "dispatcher-0"}, {"msg": "Ring", "who": "dispatcher-0", "mark": "m"}],
        adapter=adapter_with(recorder),
    )
    assert [len(made.events) for made in recorder.made] == [0, 1]


def test_a_failure_of_the_module_is_reported_on_the_wire(recorder: type[Recorder]) -> None:
    class Broken(Recorder):
        def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
            raise IndexError("out of range")

    reply = play([HELLO], adapter=adapter_with(Broken))
    assert reply[0] == {"msg": "Die", "bodyText": "IndexError: out of range", "who": "dispatcher-1"}


@pytest.mark.parametrize(
    ("line", "expected_text"),
    [
        ("{", "bad JSON"),
        ("[]", "without field msg"),
        ('{"msg":"End"}', "End: outside a batch"),
        ('{"msg":"Mark","n":1}', "Mark: field missing or not known: simTime"),
    ],
)
def test_errors_on_malformed_lines_name_the_cause(line: str, expected_text: str) -> None:
    with pytest.raises(SimulatorWireError, match=expected_text.replace("[", r"\[")):
        SimulatorAdapter().run([line], io.StringIO())


@pytest.mark.parametrize(
    ("message", "expected_text"),
    [
        ({"msg": "Odd", "who": "dispatcher-1"}, "Odd: unknown message"),
        ({"msg": "Ring", "who": "dispatcher-7", "mark": "m"}, "Ring: who: dispatcher-7 was never started"),
        ({"msg": "Arrival", "who": "dispatcher-1", "tid": "r", "class": "s"}, "Arrival: field missing.*due"),
        ({"msg": "Hangup", "who": "dispatcher-1"}, "Hangup: field missing.*tid"),
    ],
)
def test_errors_on_malformed_messages_name_the_message(message: dict[str, Any], expected_text: str) -> None:
    with pytest.raises(SimulatorWireError, match=expected_text):
        play([HELLO, message])


def test_the_program_ends_with_one_plain_line_on_bad_input_and_cleanly_at_the_end() -> None:
    def run(text: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "grebeproxy.simulator_adapter"],
            input=text,
            capture_output=True,
            text=True,
            check=False,
        )

    good = run('{"msg":"Mark","simTime":1.0,"n":1}\n{"msg":"End"}\n')
    assert (good.returncode, good.stdout, good.stderr) == (0, '{"msg":"Ack","n":1}\n', "")
    bad = run('{"msg":"Mark","simTime":1.0,"n":1}\n{"msg":"Odd","who":"x"}\n{"msg":"End"}\n')
    assert bad.returncode != 0
    assert len(bad.stderr.splitlines()) == 1 and "Traceback" not in bad.stderr


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"classes": ()}, "classes"),
        ({"kinds": ()}, "kinds"),
        ({"balancers": 0}, "balancers"),
        ({"kinds": (api.EngineKind("k", -1.0),)}, "cores"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"classes": (api.QueryClass("c", 1.0, 2.0, priority_weight=-1.0),)}, "priority_weight"),
        ({"classes": (api.QueryClass("c", 0.0, 2.0),)}, "latency_objective"),
        ({"classes": (api.QueryClass("c", 1.0, 2.0, allowed_kinds=frozenset({"none"})),)}, "only_kinds"),
        ({"classes": (api.QueryClass("c", 1.0, 2.0, allowed_zones=frozenset({"none"})),)}, "only_zones"),
        ({"classes": (api.QueryClass("c", 1.0, 2.0),) * 2}, "classes"),
        ({"rules": api.Rules(slow_start_time=-1.0)}, "slow_start_time"),
        ({"rules": api.Rules(attempt_budget=api.AttemptBudget(window=0.0))}, "attempt_budget.window"),
        (
            {"rules": api.Rules(attempt_budget=api.AttemptBudget(1.0, fraction=-0.1))},
            "attempt_budget.fraction",
        ),
        ({"rules": api.Rules(overload_time=float("nan"))}, "overload_time"),
        ({"tick": "5"}, "tick"),
        ({"index": 0.5}, "index"),
        ({"tenants": (api.Tenant("t", -1.0),)}, "allowance"),
    ],
)
def test_wrong_settings_name_the_field(changes: dict[str, Any], field: str) -> None:
    values: dict[str, Any] = {
        "classes": (api.QueryClass("c", 1.0, 2.0),),
        "kinds": (api.EngineKind("k", 4.0),),
    }
    with pytest.raises(ValueError, match=field):
        Settings(**{**values, **changes})


def test_lists_of_different_lengths_name_the_field() -> None:
    with pytest.raises(ValueError, match="dop"):
        settings_from({**PROFILE, "familyInfo": {**PROFILE["familyInfo"], "dop": [1]}})


def test_the_module_decides_behind_the_wire() -> None:
    arrival = {
        "msg": "Arrival",
        "who": "dispatcher-1",
        "tid": "r",
        "due": 3000.0,
        "class": "s",
        "cost": 100.0,
    }
    profile = {**PROFILE, "registryMode": "push"}
    reply = play(
        [{**HELLO, "profileData": profile}, {"msg": "Ledger", "setId": 0, "items": [ENTRY]}, FLEET, arrival]
    )
    places = [line for line in reply if line["msg"] == "Place"]
    assert [(p["tid"], p["node"]) for p in places] == [("r", "10.0.0.1:9000")]
    assert Choice.__module__ == "grebeproxy.policy.choice"
