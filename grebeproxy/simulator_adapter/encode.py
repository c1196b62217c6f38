"""Translates the decision module's actions to the simulator's messages."""

from __future__ import annotations

from typing import assert_never

from grebeproxy.policy import interface as api
from grebeproxy.simulator_adapter.wire import Message
from grebeproxy.units import MS_PER_SECOND

TO_ALL = "all"  # the receiver of a message to all peers
MICROSECOND_DIGITS = 3  # decimal digits of milliseconds, because the simulator counts in microseconds


def action(decided: api.Action) -> Message:
    """Encode an action as a message, without the name of the instance that decided it."""
    match decided:
        case api.Message():
            receiver = TO_ALL if decided.to is None else decided.to
            return {"msg": "Post", "dst": receiver, "content": decided.data}
        case api.SetTimer():
            return {"msg": "Schedule", "delay": _milliseconds(decided.delay), "mark": decided.name}
        case api.HealthCheck():
            return {"msg": "HealthCheck", "node": decided.engine}
        case api.Watch():
            return {"msg": "Observe", "want": decided.on}
        case api.FetchList():
            return {"msg": "Snapshot"}
        case api.Log():
            return {"msg": "Print", "bodyText": decided.text}
        case _:
            return _on_query(decided)


def failure(error: Exception) -> Message:
    """Make the message that reports a failure of the decision module."""
    return {"msg": "Die", "bodyText": f"{type(error).__name__}: {error}"}


def _on_query(decided: api.Send | api.SetTerms | api.Reject | api.Fail | api.Cancel) -> Message:
    """Encode an action on one query."""
    match decided:
        case api.Send():
            return {
                "msg": "Place",
                "tid": decided.id,
                "node": decided.engine,
                "notPast": _milliseconds(decided.until),
            }
        case api.SetTerms():
            return {
                "msg": "SetTerms",
                "tid": decided.id,
                "importance": decided.priority,
                "allotMb": round(decided.memory_mb) if decided.memory_mb else 0,
            }
        case api.Reject():
            return _reject(decided)
        case api.Fail():
            return {"msg": "Lose", "tid": decided.id}
        case api.Cancel():
            return {"msg": "Withdraw", "tid": decided.id, "attempt": decided.attempt}
        case _:
            assert_never(decided)


def _reject(decided: api.Reject) -> Message:
    message: Message = {"msg": "Shed", "tid": decided.id}
    if decided.retry_after is not None:
        message["comeBack"] = _milliseconds(decided.retry_after)
    return message


def _milliseconds(value: float) -> float:
    """Convert seconds to milliseconds, rounded to the microsecond."""
    return round(value * MS_PER_SECOND, MICROSECOND_DIGITS)
