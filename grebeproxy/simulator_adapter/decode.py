"""Translates the simulator's messages to the decision module's events.

Functions raise ``KeyError`` for a missing field or an unknown value, and ``TypeError``, ``ValueError`` or
``AttributeError`` for a value of the wrong type.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from grebeproxy.policy import interface as api
from grebeproxy.settings import load_report_from
from grebeproxy.simulator_adapter.wire import Message
from grebeproxy.units import seconds

ENGINE_STATES = {"on": api.EngineState.UP, "fading": api.EngineState.DRAINING, "off": api.EngineState.GONE}
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
    "Ignored": api.Outcome.SKIPPED,
}
PROGRESS_KINDS = {1: api.ProgressKind.FRACTION_DONE, 2: api.ProgressKind.SPILLS_MB, 3: api.ProgressKind.WAITS}
# A query's true cost holds its work and memory in one number: ms of work times TRUE_COST_PER_MS, plus the
# memory in units of MB_PER_MEMORY_UNIT.
TRUE_COST_PER_MS = 4096
MB_PER_MEMORY_UNIT = 4


def engine(entry: Message) -> api.Engine:
    """Decode one entry of an engine list."""
    return api.Engine(
        id=entry["node"],
        kind=entry["shape"],
        zone=entry.get("rackZone", ""),
        cell=entry.get("cell", 0),
        state=ENGINE_STATES[entry["lifecycle"]],
        started=seconds(entry["cameUp"]) if entry.get("cameUp") else None,
        weight=entry.get("scale", 1.0),
    )


def engine_list(message: Message, ledgers: Mapping[int, tuple[api.Engine, ...]]) -> api.EngineList:
    """Decode an engine list; its engines are those of the earlier ``Ledger`` with the same set number."""
    list_kind = LIST_KINDS[message["mode"]]
    engines = () if list_kind is api.ListKind.FAILED else ledgers[message["setId"]]
    return api.EngineList(list_kind, engines, message.get("generation", 0))


def event(message: Message) -> api.Event | None:
    """Decode a message in ``DECODERS``; ``None`` for progress of a kind that the decision module lacks."""
    return DECODERS[message["msg"]](message)


def _query(message: Message) -> api.Query:
    return api.Query(
        id=message["tid"],
        cls=message["class"],
        due=seconds(message["due"]),
        tenant=message.get("realm") or None,
        key=message.get("key"),
        data_set=message.get("schemaNo"),
        work=seconds(message["cost"]) if message.get("cost") else None,
        memory_mb=message.get("estMemoryMb") or None,
        writes=bool(message.get("mutates")),
        is_client_retry=bool(message.get("resent")),
    )


def _attempt_ended(message: Message) -> api.AttemptEnded:
    true_cost = message.get("trueCost") or 0
    return api.AttemptEnded(
        id=message["tid"],
        engine=message["node"],
        attempt=message["attempt"],
        outcome=OUTCOMES[message["stateCode"]],
        latency=seconds(message.get("latency")),
        settled=bool(message.get("settled")),
        work=seconds(true_cost // TRUE_COST_PER_MS) if true_cost else None,
        memory_mb=float(true_cost % TRUE_COST_PER_MS * MB_PER_MEMORY_UNIT) if true_cost else None,
        load_report=load_report_from(message.get("healthInfo")),
    )


def _client_disconnected(message: Message) -> api.ClientDisconnected:
    return api.ClientDisconnected(message["tid"])


def _attempt_started(message: Message) -> api.AttemptStarted:
    return api.AttemptStarted(
        id=message["tid"],
        engine=message["node"],
        attempt=message["attempt"],
        latency=seconds(message["latency"]),
    )


def _progress(message: Message) -> api.Progress | None:
    if message["topic"] not in PROGRESS_KINDS:
        return None
    return api.Progress(
        id=message["tid"],
        engine=message["node"],
        attempt=message["attempt"],
        kind=PROGRESS_KINDS[message["topic"]],
        value=message["value"],
    )


def _health_check_ended(message: Message) -> api.HealthCheckEnded:
    return api.HealthCheckEnded(
        engine=message["node"],
        latency=seconds(message["latency"]),
        outcome=OUTCOMES[message["stateCode"]],
        load_report=load_report_from(message.get("healthInfo")),
    )


def _peer_message(message: Message) -> api.PeerMessage:
    return api.PeerMessage(message["neighbour"], message["content"])


def _timer_fired(message: Message) -> api.TimerFired:
    return api.TimerFired(message["mark"])


DECODERS: dict[str, Callable[[Message], api.Event | None]] = {
    "Arrival": _query,
    "Completed": _attempt_ended,
    "Hangup": _client_disconnected,
    "Started": _attempt_started,
    "Change": _progress,
    "CheckResult": _health_check_ended,
    "NoteFrom": _peer_message,
    "Ring": _timer_fired,
}
