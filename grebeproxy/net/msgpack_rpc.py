"""MessagePack-RPC, as clients speak it."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterator
from typing import Any

import msgpack

from grebeproxy.interface import Effect, Settings
from grebeproxy.net.messages import (
    BadFrameError, Call, Failed, FromClient, GiveUp, Invalid, Ping, Pong, Refused, Served, ToClient)
from grebeproxy.net.statement import table_group

REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2
MOST_BYTES = 256 * 1024  # one message: a statement and a few fields
MOST_WAIT_MS = 3_600_000.0
TXN = re.compile(r"[0-9a-fA-F]{16}")
# What engines are told of: a comma or an equals sign would end the field there.
TOKEN = re.compile(r"[^,=\s\x00-\x1f]{1,64}")


class Decoder:
    """Splits what a client sends into messages, however the bytes are cut."""

    def __init__(self, settings: Settings) -> None:
        self._effects = {cls.name: cls.effect for cls in settings.classes}
        self._tenants = {tenant.name for tenant in settings.tenants}
        self._unpacker = msgpack.Unpacker(max_buffer_size=MOST_BYTES)

    def feed(self, data: bytes) -> Iterator[FromClient]:
        """The messages that these bytes complete."""
        try:
            # In parts, as a burst of many small messages may pass the size that one may have.
            for start in range(0, len(data), MOST_BYTES // 2):
                self._unpacker.feed(data[start:start + MOST_BYTES // 2])
                for message in self._unpacker:
                    yield self._message(message)
        except (ValueError, msgpack.UnpackException, TypeError) as error:
            raise BadFrameError(f"client: {str(error) or type(error).__name__}") from None

    def _message(self, message: object) -> FromClient:
        match message:
            case [int(kind), str("giveUp"), [int(msg)]] if kind == NOTIFICATION:
                return GiveUp(msg)
            case [int(kind), int(msg), str("probe"), list()] if kind == REQUEST:
                return Ping(msg)
            case [int(kind), int(msg), str(cls), [dict(fields), bytes(body)]] if kind == REQUEST:
                return self._call(msg, cls, fields, body)
            case [int(kind), int(msg), str(), list()] if kind == REQUEST:
                return Invalid(msg, "params")
            case [int(kind), int(msg), *_] if kind == REQUEST:
                return Invalid(msg, "method")
        raise BadFrameError("client: not a request or a notification")

    def _call(self, msg: int, cls: str, fields: dict[Any, Any], body: bytes) -> FromClient:
        try:
            return Call(
                msg, txn=_text(fields, "txn", TXN.fullmatch), cls=self._class(cls),
                limit=_number(fields, "limit", MOST_WAIT_MS) / 1000, body=body,
                tenant=self._tenant(fields), resent=_optional(fields, "second", _any) == "1",
                token=self._token(cls, fields),
                work=_number(fields, "cpu") / 1000 if "cpu" in fields else None,
                memory_mb=_number(fields, "mb") if "mb" in fields else None,
                key=_optional(fields, "item", TOKEN.fullmatch), data_set=table_group(body))
        except _FieldError as error:
            return Invalid(msg, error.args[0])

    def _class(self, cls: str) -> str:
        if cls not in self._effects:
            raise _FieldError("method")
        return cls

    def _tenant(self, fields: dict[Any, Any]) -> str | None:
        if not self._tenants:
            return _optional(fields, "team", _any)
        return _text(fields, "team", self._tenants.__contains__)

    def _token(self, cls: str, fields: dict[Any, Any]) -> str | None:
        if self._effects[cls] is Effect.KEYED:  # without it a second try would run as a second request
            return _text(fields, "unique", TOKEN.fullmatch)
        return _optional(fields, "unique", TOKEN.fullmatch)


class _FieldError(Exception):
    """A field that is missing or cannot be used."""


def _any(value: str) -> bool:
    return True


def _text(fields: dict[Any, Any], name: str, fits: Callable[[str], object]) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not fits(value):
        raise _FieldError(name)
    return value


def _optional(fields: dict[Any, Any], name: str, fits: Callable[[str], object]) -> str | None:
    return _text(fields, name, fits) if name in fields else None


def _number(fields: dict[Any, Any], name: str, most: float = 1e12) -> float:
    try:
        value = float(_text(fields, name, _any))
    except ValueError:
        raise _FieldError(name) from None
    if not (math.isfinite(value) and 0 <= value <= most) or (name == "limit" and not value):
        raise _FieldError(name)
    return value


def encode(answer: ToClient) -> bytes:
    """The bytes of one answer."""
    error: list[object] | None = None
    result: list[object] | None = None
    match answer:
        case Served():
            result = [b"".join(answer.parts), {}]
        case Pong():
            result = [answer.serves, {}]
        case Refused():
            later = {} if answer.later is None else {"later": str(math.ceil(answer.later * 1000))}
            error = ["TryLater", later]
        case Failed():
            field = answer.field
            error = ["Aborted", {}] if field is None else ["BadField", {"field": field}]
    packed: bytes = msgpack.packb([RESPONSE, answer.msg, error, result])
    return packed
