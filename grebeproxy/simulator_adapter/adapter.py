"""Reads batches of messages, passes each to its instance of the decision module, and replies."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TextIO

from grebeproxy.policy import Choice
from grebeproxy.policy import interface as api
from grebeproxy.settings import settings_from
from grebeproxy.simulator_adapter import decode, encode
from grebeproxy.simulator_adapter.wire import Message, SimulatorWireError
from grebeproxy.units import seconds


@dataclass(slots=True)
class _Batch:
    """The messages of one moment of the simulation, between ``Mark`` and ``End``."""

    now: float
    number: object  # number of the batch, which the reply repeats
    messages: list[Message] = field(default_factory=list)


class SimulatorAdapter:
    """Runs an instance of the decision module, made by ``factory``, for each simulated dispatcher."""

    def __init__(self, factory: Callable[[api.Settings, float, int], Choice] = Choice) -> None:
        self._factory = factory
        self._instances: dict[str, Choice] = {}  # instances by the dispatcher's name
        self._ledgers: dict[int, tuple[api.Engine, ...]] = {}  # lists of engines by the number of their set

    def run(self, source: Iterable[str], sink: TextIO) -> None:
        """Reply to batches until the input ends. Raises ``SimulatorWireError``."""
        batch: _Batch | None = None
        for text in source:
            if not text.strip():
                continue
            message = _message(text)
            name = message["msg"]
            if name == "Mark":
                batch = _Batch(seconds(_field(message, "simTime")), _field(message, "n"))
            elif batch is None:
                raise SimulatorWireError(f"{name}: outside a batch")
            elif name == "End":
                reply = self.batch(batch.now, batch.messages)
                reply.append({"msg": "Ack", "n": batch.number})
                sink.write("".join(json.dumps(item, separators=(",", ":")) + "\n" for item in reply))
                sink.flush()
                batch = None
            else:
                batch.messages.append(message)

    def batch(self, now: float, messages: list[Message]) -> list[Message]:
        """Return the actions in answer to one batch. Raises ``SimulatorWireError`` (message and field)."""
        pending: dict[str, list[api.Event]] = {}
        for message in messages:
            name = message["msg"]
            try:
                self._read(now, message, pending)
            except KeyError as error:
                raise SimulatorWireError(f"{name}: field missing or not known: {error.args[0]}") from None
            except (TypeError, ValueError, AttributeError) as error:
                raise SimulatorWireError(f"{name}: {error}") from None
        reply: list[Message] = []
        for instance, events in pending.items():
            reply += self._decide(now, instance, events)
        return reply

    def _read(self, now: float, message: Message, pending: dict[str, list[api.Event]]) -> None:
        """Process one message: change this adapter's state, or add an event to ``pending``."""
        name = message["msg"]
        if name == "Ledger":
            self._ledgers[message["setId"]] = tuple(map(decode.engine, message["items"]))
            return
        instance = message["who"]
        if name == "Stop":
            self._instances.pop(instance, None)
            pending.pop(instance, None)
        elif name == "Hello":
            settings = settings_from(message["profileData"])
            self._instances[instance] = self._factory(settings, now, message["salt"])
            pending[instance] = []
        elif instance not in self._instances:
            raise SimulatorWireError(f"{name}: who: {instance} was never started")
        elif name == "Fleet":
            pending.setdefault(instance, []).append(decode.engine_list(message, self._ledgers))
        elif name in decode.DECODERS:
            event = decode.event(message)
            if event is not None:
                pending.setdefault(instance, []).append(event)
        else:
            raise SimulatorWireError(f"{name}: unknown message")

    def _decide(self, now: float, instance: str, events: list[api.Event]) -> list[Message]:
        try:
            messages = [encode.action(action) for action in self._instances[instance].handle(now, events)]
        except Exception as error:  # The protocol requires that any failure of the module is reported.
            messages = [encode.failure(error)]
        for message in messages:
            message["who"] = instance
        return messages


def _message(text: str) -> Message:
    try:
        message = json.loads(text)
    except ValueError as error:
        raise SimulatorWireError(f"bad JSON: {error}") from None
    if not isinstance(message, dict) or "msg" not in message:
        raise SimulatorWireError("a line without field msg")
    return message


def _field(message: Message, name: str) -> float:
    if name not in message:
        raise SimulatorWireError(f"{message['msg']}: field missing or not known: {name}")
    value: float = message[name]
    return value
