"""MessagePack-RPC, as clients speak it."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgpack

from grebeproxy.errors import GrebeproxyError
from grebeproxy.net.messages import (
    BadFrameError,
    Call,
    Failed,
    FromClient,
    CancelRequest,
    Invalid,
    Ping,
    Pong,
    Rejected,
    Served,
    ToClient,
)
from grebeproxy.policy.interface import Idempotency, Settings
from grebeproxy.shapes.scanner import table_group

REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2
MAX_BYTES, MAX_ITEMS = 64 * 1024, 64  # of one message: a statement and a few fields
TOPS = (0x93, 0x94)  # an array of three or four
# First bytes of msgpack's formats that hold their size in the first byte itself.
FIXMAP, FIXARRAY, FIXSTR, FIRST_SIZED, NEGATIVE_FIXINT = 0x80, 0x90, 0xA0, 0xC0, 0xE0
# From 0xc0 on: bytes of the header or of all, how many of them hold a length, and values for each counted.
HEADERS = (
    (1, 0, 0),
    (0, 0, 0),
    (1, 0, 0),
    (1, 0, 0),
    (2, 1, 0),
    (3, 2, 0),
    (5, 4, 0),
    (0, 0, 0),
    (0, 0, 0),
    (0, 0, 0),
    (5, 0, 0),
    (9, 0, 0),
    (2, 0, 0),
    (3, 0, 0),
    (5, 0, 0),
    (9, 0, 0),
    (2, 0, 0),
    (3, 0, 0),
    (5, 0, 0),
    (9, 0, 0),
    (0, 0, 0),
    (0, 0, 0),
    (0, 0, 0),
    (0, 0, 0),
    (0, 0, 0),
    (2, 1, 0),
    (3, 2, 0),
    (5, 4, 0),
    (3, 2, 1),
    (5, 4, 1),
    (3, 2, 2),
    (5, 4, 2),
)
MAX_MS, MAX_ID = 3_600_000.0, 2**32 - 1
# float() alone would also take "nan", "1_0", " 1" and digits of other scripts.
FIGURE = re.compile(r"[0-9]{1,12}(\.[0-9]{1,20})?([eE][-+]?[0-9]{1,2})?")
TXN = re.compile(r"[0-9a-fA-F]{16}")
# Fields that are passed on to engines: a comma or an equals sign would end the field there.
TOKEN = re.compile(r"[^,=\s\x00-\x1f]{1,64}")


class Decoder:
    """Splits what a client sends into messages, however the bytes are cut.

    msgpack unpacks what is whole. Its own splitter waits for a body that announces 2 GB, as it checks a
    length only once all of it has come; here a message is refused on the header that makes it too long.
    """

    def __init__(self, settings: Settings) -> None:
        self._idempotency: dict[str, Idempotency] = {}
        self._now: dict[str, Idempotency] = {}
        self.retune(settings)
        self._buffer = bytearray()
        self._at, self._left = 0, 1  # so much of a message is read, and so many values of it are to come
        self._items = 0

    def retune(self, settings: Settings) -> None:
        """Go by these settings from the next message on.

        Classes of the settings before can still be read, as clients may not know yet: what becomes of such a
        request is for the router to decide.
        """
        before, self._now = self._now, {cls.name: cls.idempotency for cls in settings.classes}
        self._idempotency = before | self._now
        self._tenants = {tenant.name for tenant in settings.tenants}
        self._most_mb = max(kind.memory_mb for kind in settings.kinds) or 1e6

    @property
    def partial(self) -> int:
        """Bytes of a message that has begun and is not complete yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[FromClient]:
        """The messages that these bytes complete."""
        self._buffer += data
        start = 0  # of the message that is read; what is before it goes at the end, once
        try:
            while self._message_complete(start):
                complete = bytes(self._buffer[start : start + self._at])
                start, self._at, self._left, self._items = start + self._at, 0, 1, 0
                yield self._message(msgpack.unpackb(complete))
        except (ValueError, msgpack.UnpackException, TypeError) as error:
            raise BadFrameError(f"client: {str(error) or type(error).__name__}") from None
        del self._buffer[:start]

    def _message_complete(self, start: int) -> bool:
        """Walk on over the headers; returns whether a message is there complete."""
        buffer = self._buffer
        while self._left:
            at = start + self._at
            if at >= len(buffer):
                return False
            first = buffer[at]
            if not self._at and first not in TOPS:
                raise MalformedMessageError("not a request or a notification")
            if first < FIRST_SIZED or first >= NEGATIVE_FIXINT:
                size, inner = _fixed_format(first)
            else:
                fixed, width, counted = HEADERS[first - FIRST_SIZED]
                if not fixed:
                    raise MalformedMessageError(f"type {first:#x} has no place in a message")
                if at + fixed > len(buffer):
                    return False
                length = int.from_bytes(buffer[at + 1 : at + 1 + width], "big")
                size, inner = (fixed, counted * length) if counted else (fixed + length, 0)
            self._items += inner
            if self._at + size > MAX_BYTES or self._items > MAX_ITEMS:
                raise MalformedMessageError("a message that is too long")
            if at + size > len(buffer):
                return False
            self._at += size
            self._left += inner - 1
        return True

    def _message(self, message: object) -> FromClient:
        match message:
            case [int(), int(msg), *_] if not 0 <= msg <= MAX_ID:
                raise MalformedMessageError("a message id that cannot be")
            case [int(kind), str("giveUp"), [int(msg)]] if kind == NOTIFICATION:
                return CancelRequest(msg)
            case [int(kind), int(msg), str("probe"), list()] if kind == REQUEST:
                return Ping(msg)
            case [int(kind), int(msg), str(cls), [dict(fields), bytes(body)]] if kind == REQUEST:
                return self._call(msg, cls, fields, body)
            case [int(kind), int(msg), str(), list()] if kind == REQUEST:
                return Invalid(msg, "params")
            case [int(kind), int(msg), *_] if kind == REQUEST:
                return Invalid(msg, "method")
        raise MalformedMessageError("not a request or a notification")

    def _call(self, msg: int, cls: str, fields: dict[Any, Any], body: bytes) -> FromClient:
        try:
            return Call(
                msg,
                txn=_text(fields, "txn", TXN.fullmatch),
                query_class=self._class(cls),
                timeout=_number(fields, "limit") / 1000,
                body=body,
                tenant=self._tenant(fields),
                is_client_retry=_optional(fields, "second", _any) == "1",
                token=self._token(cls, fields),
                work=_number(fields, "cpu") / 1000 if "cpu" in fields else None,
                memory_mb=_number(fields, "mb", self._most_mb) if "mb" in fields else None,
                key=_optional(fields, "item", TOKEN.fullmatch),
                data_set=table_group(body),
            )
        except _FieldError as error:
            return Invalid(msg, error.args[0])

    def _class(self, cls: str) -> str:
        if cls not in self._idempotency:
            raise _FieldError("method")
        return cls

    def _tenant(self, fields: dict[Any, Any]) -> str | None:
        if not self._tenants:
            return _optional(fields, "team", _any)
        return _text(fields, "team", self._tenants.__contains__)

    def _token(self, cls: str, fields: dict[Any, Any]) -> str | None:
        if (
            self._idempotency[cls] is Idempotency.IDEMPOTENCY_KEY
        ):  # without it a second try would run as a second request
            return _text(fields, "unique", TOKEN.fullmatch)
        return _optional(fields, "unique", TOKEN.fullmatch)


class MalformedMessageError(GrebeproxyError, ValueError):
    """Bytes that are not a msgpack-rpc request or notification; the decoder reports it as BadFrameError."""


class _Format(NamedTuple):
    """Bytes that a value takes up (of a map or array: its header), and how many values it holds."""

    size: int
    inner: int


def _fixed_format(first: int) -> _Format:
    """The format of a value whose first byte holds its size: a fixint, fixmap, fixarray or fixstr."""
    if first < FIXMAP or first >= NEGATIVE_FIXINT:
        return _Format(1, 0)
    if first < FIXARRAY:
        return _Format(1, 2 * (first & 0x0F))
    if first < FIXSTR:
        return _Format(1, first & 0x0F)
    return _Format(1 + (first & 0x1F), 0)


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


def _number(fields: dict[Any, Any], name: str, most: float = MAX_MS) -> float:
    value = float(_text(fields, name, FIGURE.fullmatch))
    if value > most or (name == "limit" and not value):
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
            result = [answer.serving, {}]
        case Rejected():
            later = {} if answer.retry_after is None else {"later": str(math.ceil(answer.retry_after * 1000))}
            error = ["TryLater", later]
        case Failed():
            field = answer.field
            error = ["Aborted", {}] if field is None else ["BadField", {"field": field}]
    packed: bytes = msgpack.packb([RESPONSE, answer.message_id, error, result])
    return packed
