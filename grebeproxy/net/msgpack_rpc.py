"""The codec for MessagePack-RPC, the protocol of clients."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterator, Mapping

import msgpack

from grebeproxy.errors import GrebeproxyError
from grebeproxy.net.messages import (
    BadFrameError,
    Call,
    Failed,
    FromClient,
    CancelRequest,
    InvalidRequest,
    Ping,
    Pong,
    Rejected,
    Served,
    ToClient,
)
from grebeproxy.net.msgpack_framing import MalformedMessageError, MessageFramer
from grebeproxy.policy.interface import Idempotency, Settings
from grebeproxy.shapes.scanner import table_group
from grebeproxy.units import MS_PER_SECOND

REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2
MAX_DURATION_MS = 3_600_000.0
MAX_MESSAGE_ID = 2**32 - 1
UNBOUNDED_MB = 1e6  # the limit if the settings name no memory size for any kind of engine
# The pattern is stricter than float(), which also accepts "nan", "1_0", " 1" and digits of other scripts.
# Zeros that do not change a number's value do not count in the limits on its digits. The quantifiers are
# possessive, because with backtracking the time would grow with the square of the number of zeros.
NUMBER = re.compile(
    r"(?=[0-9])0*+[0-9]{0,12}+(?:\.(?=[0-9])[0-9]{0,20}+0*+)?+(?:[eE][-+]?(?=[0-9])0*+[0-9]{0,2}+)?+"
)
TXN_ID = re.compile(r"[0-9a-fA-F]{16}")
# Values that are forwarded to engines, in whose protocol a comma or an equals sign ends a field.
TOKEN = re.compile(r"[^,=\s\x00-\x1f]{1,64}")

Fields = Mapping[object, object]  # the unchecked fields of a client's message


class Decoder:
    """Decodes a client's byte stream into messages, however the stream is split.

    ``MessageFramer`` finds where a message ends; msgpack unpacks the message.
    """

    def __init__(self, settings: Settings) -> None:
        # All classes that can be decoded, by name.
        self._idempotency: dict[str, Idempotency] = {}
        # The classes of the current settings, by name.
        self._current_idempotency: dict[str, Idempotency] = {}
        self.apply_settings(settings)
        self._buffer = bytearray()
        self._framer = MessageFramer()

    def apply_settings(self, settings: Settings) -> None:
        """Use these settings from the next message on.

        Classes of the previous settings can still be decoded, because clients may not know of the change yet.
        The router decides how to handle such a request.
        """
        previous = self._current_idempotency
        self._current_idempotency = {cls.name: cls.idempotency for cls in settings.classes}
        self._idempotency = previous | self._current_idempotency
        self._tenants = {tenant.name for tenant in settings.tenants}
        self._max_memory_mb = max(kind.memory_mb for kind in settings.kinds) or UNBOUNDED_MB

    @property
    def partial(self) -> int:
        """The number of buffered bytes of a message that is not complete yet."""
        return len(self._buffer)

    def discard(self) -> None:
        """Discard the buffered bytes; nothing more is fed to this decoder."""
        self._buffer.clear()

    def feed(self, data: bytes) -> Iterator[FromClient]:
        """Yield the messages that these bytes complete. Raises ``BadFrameError``."""
        self._buffer += data
        framer = self._framer
        start = 0  # where the current message begins; the buffer is shortened once, after the loop
        try:
            while framer.complete(self._buffer, start):
                end = start + framer.size
                packed = bytes(self._buffer[start:end])
                start = end
                framer.next_message()
                yield self._decode_message(msgpack.unpackb(packed))
        except (ValueError, msgpack.UnpackException, TypeError) as error:
            raise BadFrameError(str(error) or type(error).__name__) from None
        del self._buffer[:start]

    def _decode_message(self, message: object) -> FromClient:
        match message:
            case [int(), int(message_id), *_] if not 0 <= message_id <= MAX_MESSAGE_ID:
                raise MalformedMessageError("message id is out of range")
            case [int(kind), str("giveUp"), [int(message_id)]] if kind == NOTIFICATION:
                return CancelRequest(message_id)
            case [int(kind), int(message_id), str("probe"), list()] if kind == REQUEST:
                return Ping(message_id)
            case [int(kind), int(message_id), str(cls), [dict(fields), bytes(body)]] if kind == REQUEST:
                return self._decode_call(message_id, cls, fields, body)
            case [int(kind), int(message_id), str(), list()] if kind == REQUEST:
                return InvalidRequest(message_id, "params")
            case [int(kind), int(message_id), *_] if kind == REQUEST:
                return InvalidRequest(message_id, "method")
        raise MalformedMessageError("not a request or a notification")

    def _decode_call(self, message_id: int, cls: str, fields: Fields, body: bytes) -> FromClient:
        try:
            return Call(
                message_id,
                txn=_required(fields, "txn", TXN_ID.fullmatch),
                query_class=self._class(cls),
                timeout=_number(fields, "limit") / MS_PER_SECOND,
                body=body,
                tenant=self._tenant(fields),
                is_client_retry=_optional(fields, "second", _accept_any) == "1",
                token=self._idempotency_key(cls, fields),
                work=_number(fields, "cpu") / MS_PER_SECOND if "cpu" in fields else None,
                memory_mb=_number(fields, "mb", self._max_memory_mb) if "mb" in fields else None,
                key=_optional(fields, "item", TOKEN.fullmatch),
                data_set=table_group(body),
            )
        except _FieldError as error:
            return InvalidRequest(message_id, error.field)

    def _class(self, cls: str) -> str:
        if cls not in self._idempotency:
            raise _FieldError("method")
        return cls

    def _tenant(self, fields: Fields) -> str | None:
        if not self._tenants:
            return _optional(fields, "team", _accept_any)
        return _required(fields, "team", self._tenants.__contains__)

    def _idempotency_key(self, cls: str, fields: Fields) -> str | None:
        """The key under which an engine runs a request only once; some classes require it."""
        if self._idempotency[cls] is Idempotency.IDEMPOTENCY_KEY:
            return _required(fields, "unique", TOKEN.fullmatch)
        return _optional(fields, "unique", TOKEN.fullmatch)


class _FieldError(GrebeproxyError):
    """A field is missing or invalid."""

    def __init__(self, field: str) -> None:
        super().__init__(field)
        self.field = field


def _accept_any(value: str) -> bool:
    return True


def _required(fields: Fields, name: str, accepts: Callable[[str], object]) -> str:
    """A required text field that ``accepts`` accepts. Raises ``_FieldError``."""
    value = fields.get(name)
    if not isinstance(value, str) or not accepts(value):
        raise _FieldError(name)
    return value


def _optional(fields: Fields, name: str, accepts: Callable[[str], object]) -> str | None:
    return _required(fields, name, accepts) if name in fields else None


def _number(fields: Fields, name: str, maximum: float = MAX_DURATION_MS) -> float:
    """A number from 0 to ``maximum``, written as text; a ``limit`` of 0 leaves no time and is rejected."""
    value = float(_required(fields, name, NUMBER.fullmatch))
    if value > maximum or (name == "limit" and not value):
        raise _FieldError(name)
    return value


def encode(answer: ToClient) -> bytes:
    """Encode one answer."""
    error: list[object] | None = None
    result: list[object] | None = None
    match answer:
        case Served():
            result = [b"".join(answer.pages), {}]
        case Pong():
            result = [answer.serving, {}]
        case Rejected():
            retry_after = answer.retry_after
            hint = {} if retry_after is None else {"later": str(math.ceil(retry_after * MS_PER_SECOND))}
            error = ["TryLater", hint]
        case Failed():
            field = answer.field
            error = ["Aborted", {}] if field is None else ["BadField", {"field": field}]
    packed: bytes = msgpack.packb([RESPONSE, answer.message_id, error, result])
    return packed
