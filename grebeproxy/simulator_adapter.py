"""Adapter for the simulator: translates its messages to the module's events, and actions back.

Pure translation, one ``Choice`` per dispatcher; nothing here decides or holds a figure that steers one.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from grebeproxy.errors import GrebeproxyError
from grebeproxy.policy import Choice
from grebeproxy.policy import interface as api
from grebeproxy.settings import Fields, report_from, seconds, settings_from

STATES = {"on": api.EngineState.UP, "fading": api.EngineState.DRAINING, "off": api.EngineState.GONE}
LIST_KINDS = {
    "changes": api.ListKind.CHANGES,
    "all": api.ListKind.FULL,
    "remembered": api.ListKind.REMEMBERED,
    "refused": api.ListKind.FAILED,
}
OUTCOMES = {
    "Ok": api.Outcome.OK,
    "Failed": api.Outcome.ERROR,
    "QueueFull": api.Outcome.FULL,
    "TimedOut": api.Outcome.TIMEOUT,
    "ConnectError": api.Outcome.CONNECT_FAILED,
    "ResetByPeer": api.Outcome.RESET,
    "Canceled": api.Outcome.CANCELLED,
    "Ignored": api.Outcome.MOOT,
}
PROGRESS = {1: api.ProgressKind.FRACTION_DONE, 2: api.ProgressKind.SPILLS_MB, 3: api.ProgressKind.WAITS}
MEGABYTES_PER_UNIT = 4
UNITS_PER_MS = 4096


class SimulatorWireError(GrebeproxyError):
    """Input that the simulator's wire does not allow; the text names the message and the field."""


def milliseconds(value: float) -> float:
    """Back to the wire's unit, at the microsecond the simulator counts in."""
    return round(value * 1000.0, 3)


def _engine(entry: Fields) -> api.Engine:
    return api.Engine(
        id=entry["node"],
        kind=entry["shape"],
        zone=entry.get("rackZone", ""),
        cell=entry.get("cell", 0),
        state=STATES[entry["lifecycle"]],
        started=seconds(entry["cameUp"]) if entry.get("cameUp") else None,
        weight=entry.get("scale", 1.0),
    )


def _query(line: Fields) -> api.Query:
    return api.Query(
        id=line["tid"],
        cls=line["class"],
        due=seconds(line["due"]),
        tenant=line.get("realm") or None,
        key=line.get("key"),
        data_set=line.get("schemaNo"),
        work=seconds(line["cost"]) if line.get("cost") else None,
        memory_mb=line.get("estMemoryMb") or None,
        writes=bool(line.get("mutates")),
        is_client_retry=bool(line.get("resent")),
    )


def _ended(line: Fields) -> api.AttemptEnded:
    billed = line.get("trueCost") or 0
    return api.AttemptEnded(
        id=line["tid"],
        engine=line["node"],
        attempt=line["attempt"],
        outcome=OUTCOMES[line["stateCode"]],
        latency=seconds(line.get("latency")),
        settled=bool(line.get("settled")),
        work=seconds(billed // UNITS_PER_MS) if billed else None,
        memory_mb=float(billed % UNITS_PER_MS * MEGABYTES_PER_UNIT) if billed else None,
        load_report=report_from(line.get("healthInfo")),
    )


EVENTS: dict[str, Callable[[Fields], api.Event | None]] = {
    "Arrival": _query,
    "Completed": _ended,
    "Hangup": lambda line: api.ClientDisconnected(line["tid"]),
    "Started": lambda line: api.AttemptStarted(
        line["tid"], line["node"], line["attempt"], seconds(line["latency"])
    ),
    "Change": lambda line: api.Progress(
        line["tid"], line["node"], line["attempt"], PROGRESS[line["topic"]], line["value"]
    )
    if line["topic"] in PROGRESS
    else None,
    "CheckResult": lambda line: api.HealthCheckEnded(
        line["node"],
        seconds(line["latency"]),
        OUTCOMES[line["stateCode"]],
        report_from(line.get("healthInfo")),
    ),
    "NoteFrom": lambda line: api.PeerMessage(line["neighbour"], line["content"]),
    "Ring": lambda line: api.TimerFired(line["mark"]),
}


def _terms(action: api.SetTerms) -> Fields:
    return {
        "msg": "SetTerms",
        "tid": action.id,
        "importance": action.priority,
        "allotMb": round(action.memory_mb) if action.memory_mb else 0,
    }


def _refuse(action: api.Reject) -> Fields:
    line: Fields = {"msg": "Shed", "tid": action.id}
    if action.retry_after is not None:
        line["comeBack"] = milliseconds(action.retry_after)
    return line


ACTIONS: dict[type, Callable[[Any], Fields]] = {
    api.Send: lambda a: {"msg": "Place", "tid": a.id, "node": a.engine, "notPast": milliseconds(a.until)},
    api.SetTerms: _terms,
    api.Reject: _refuse,
    api.Fail: lambda a: {"msg": "Lose", "tid": a.id},
    api.Cancel: lambda a: {"msg": "Withdraw", "tid": a.id, "attempt": a.attempt},
    api.HealthCheck: lambda a: {"msg": "HealthCheck", "node": a.engine},
    api.SetTimer: lambda a: {"msg": "Schedule", "delay": milliseconds(a.delay), "mark": a.name},
    api.Watch: lambda a: {"msg": "Observe", "want": a.on},
    api.FetchList: lambda a: {"msg": "Snapshot"},
    api.Message: lambda a: {"msg": "Post", "dst": "all" if a.to is None else a.to, "content": a.data},
    api.Log: lambda a: {"msg": "Print", "bodyText": a.text},
}


class SimulatorAdapter:
    """Reads batches, keeps the instances apart and writes one reply a batch."""

    def __init__(self, factory: Callable[[api.Settings, float, int], Choice] = Choice) -> None:
        self._factory = factory
        self._instances: dict[str, Choice] = {}
        self._ledgers: dict[int, tuple[api.Engine, ...]] = {}

    def run(self, source: Iterable[str], sink: TextIO) -> None:
        """Serve batches until the input ends."""
        now, number = 0.0, None
        lines: list[Fields] = []
        for text in source:
            if not text.strip():
                continue
            try:
                line = json.loads(text)
            except ValueError as error:
                raise SimulatorWireError(f"bad JSON: {error}") from None
            if not isinstance(line, dict) or "msg" not in line:
                raise SimulatorWireError("a line without field msg")
            if line["msg"] == "Mark":
                now, number, lines = seconds(_need(line, "simTime")), _need(line, "n"), []
            elif number is None:
                raise SimulatorWireError(f"{line['msg']}: outside a batch")
            elif line["msg"] == "End":
                reply = self.batch(now, lines)
                reply.append({"msg": "Ack", "n": number})
                sink.write("".join(json.dumps(item, separators=(",", ":")) + "\n" for item in reply))
                sink.flush()
                number = None
            else:
                lines.append(line)

    def batch(self, now: float, lines: list[Fields]) -> list[Fields]:
        """The actions that answer one batch. Raises ``SimulatorWireError`` naming the message and field."""
        pending: dict[str, list[api.Event]] = {}
        for line in lines:
            message = line["msg"]
            try:
                self._read(now, line, pending)
            except KeyError as error:
                raise SimulatorWireError(f"{message}: field missing or not known: {error.args[0]}") from None
            except (TypeError, ValueError, AttributeError) as error:
                raise SimulatorWireError(f"{message}: {error}") from None
        reply: list[Fields] = []
        for instance, events in pending.items():
            reply += self._decide(now, instance, events)
        return reply

    def _read(self, now: float, line: Fields, pending: dict[str, list[api.Event]]) -> None:
        """Take one line: state of this adapter, or an event of an instance that is added to ``pending``."""
        message = line["msg"]
        if message == "Ledger":
            self._ledgers[line["setId"]] = tuple(map(_engine, line["items"]))
            return
        instance = line["who"]
        if message == "Stop":
            self._instances.pop(instance, None)
            pending.pop(instance, None)
        elif message == "Hello":
            settings = settings_from(line["profileData"])
            self._instances[instance] = self._factory(settings, now, line["salt"])
            pending[instance] = []
        elif instance not in self._instances:
            raise SimulatorWireError(f"{message}: who: {instance} was never started")
        elif message == "Fleet":
            pending.setdefault(instance, []).append(self._engine_list(line))
        elif message in EVENTS:
            event = EVENTS[message](line)
            if event is not None:
                pending.setdefault(instance, []).append(event)
        else:
            raise SimulatorWireError(f"{message}: unknown message")

    def _engine_list(self, line: Fields) -> api.EngineList:
        how = LIST_KINDS[line["mode"]]
        engines = () if how is api.ListKind.FAILED else self._ledgers[line["setId"]]
        return api.EngineList(how, engines, line.get("generation", 0))

    def _decide(self, now: float, instance: str, events: list[api.Event]) -> list[Fields]:
        try:
            actions = [ACTIONS[type(a)](a) for a in self._instances[instance].handle(now, events)]
        except Exception as error:  # the protocol wants the module's failure reported, whatever it is
            actions = [{"msg": "Die", "bodyText": f"{type(error).__name__}: {error}"}]
        for action in actions:
            action["who"] = instance
        return actions


def _need(line: Fields, field: str) -> Any:
    if field not in line:
        raise SimulatorWireError(f"{line['msg']}: field missing or not known: {field}")
    return line[field]


def main() -> int:
    """Serve the wire on standard input and output."""
    try:
        SimulatorAdapter().run(sys.stdin, sys.stdout)
    except SimulatorWireError as error:
        print(f"simulator_adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
