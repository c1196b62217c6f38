"""MessagePack-RPC, as clients speak it."""

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
MAX_MS = 3_600_000.0
MAX_ID = 2**32 - 1
UNBOUNDED_MB = 1e6  # where the settings give no kind of engine a memory
# float() alone would also take "nan", "1_0", " 1" and digits of other scripts.
NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,20})?([eE][-+]?[0-9]{1,2})?")
TXN_ID = re.compile(r"[0-9a-fA-F]{16}")
# Fields that are passed on to engines: a comma or an equals sign would end the field there.
TOKEN = re.compile(r"[^,=\s\x00-\x1f]{1,64}")

Fields = Mapping[object, object]  # as a client sent them: nothing about them is checked yet


class Decoder:
    """Splits what a client sends into messages, however the bytes are cut.

    ``MessageFramer`` finds where a message ends; msgpack unpacks it.
    """

    def __init__(self, settings: Settings) -> None:
        self._idempotency: dict[str, Idempotency] = {}  # by the classes that can be decoded
        self._current: dict[str, Idempotency] = {}  # by the classes of the settings in force
        self.apply_settings(settings)
        self._buffer = bytearray()
        self._framer = MessageFramer()

    def apply_settings(self, settings: Settings) -> None:
        """Use these settings from the next message on.

        Classes of the settings before can still be decoded, as clients may not know of the change yet: the
        router decides what becomes of such a request.
        """
        before = self._current
        self._current = {cls.name: cls.idempotency for cls in settings.classes}
        self._idempotency = before | self._current
        self._tenants = {tenant.name for tenant in settings.tenants}
        self._max_memory_mb = max(kind.memory_mb for kind in settings.kinds) or UNBOUNDED_MB

    @property
    def partial(self) -> int:
        """Bytes buffered of a message that is not complete yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[FromClient]:
        """The messages that these bytes complete. Raises ``BadFrameError``."""
        self._buffer += data
        framer = self._framer
        start = 0  # of the current message; the buffer is shortened only once, at the end
        try:
            while framer.complete(self._buffer, start):
                end = start + framer.size
                complete = bytes(self._buffer[start:end])
                start = end
                framer.next_message()
                yield self._message(msgpack.unpackb(complete))
        except (ValueError, msgpack.UnpackException, TypeError) as error:
            raise BadFrameError(str(error) or type(error).__name__) from None
        del self._buffer[:start]

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
                return InvalidRequest(msg, "params")
            case [int(kind), int(msg), *_] if kind == REQUEST:
                return InvalidRequest(msg, "method")
        raise MalformedMessageError("not a request or a notification")

    def _call(self, msg: int, cls: str, fields: Fields, body: bytes) -> FromClient:
        try:
            return Call(
                msg,
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
            return InvalidRequest(msg, error.field)

    def _class(self, cls: str) -> str:
        if cls not in self._idempotency:
            raise _FieldError("method")
        return cls

    def _tenant(self, fields: Fields) -> str | None:
        if not self._tenants:
            return _optional(fields, "team", _accept_any)
        return _required(fields, "team", self._tenants.__contains__)

    def _idempotency_key(self, cls: str, fields: Fields) -> str | None:
        """The key under which an engine runs a request once; required where the class relies on it."""
        if self._idempotency[cls] is Idempotency.IDEMPOTENCY_KEY:
            return _required(fields, "unique", TOKEN.fullmatch)
        return _optional(fields, "unique", TOKEN.fullmatch)


class _FieldError(GrebeproxyError):
    """A field that is missing or cannot be used."""

    def __init__(self, field: str) -> None:
        super().__init__(field)
        self.field = field


def _accept_any(value: str) -> bool:
    return True


def _required(fields: Fields, name: str, accepts: Callable[[str], object]) -> str:
    """A text field that has to be there, and that ``accepts`` is true of. Raises ``_FieldError``."""
    value = fields.get(name)
    if not isinstance(value, str) or not accepts(value):
        raise _FieldError(name)
    return value


def _optional(fields: Fields, name: str, accepts: Callable[[str], object]) -> str | None:
    return _required(fields, name, accepts) if name in fields else None


def _number(fields: Fields, name: str, most: float = MAX_MS) -> float:
    """A number from 0 to ``most``, written as text; a ``limit`` of 0 leaves no time and is refused."""
    value = float(_required(fields, name, NUMBER.fullmatch))
    if value > most or (name == "limit" and not value):
        raise _FieldError(name)
    return value


def encode(answer: ToClient) -> bytes:
    """The bytes of one answer."""
    error: list[object] | None = None
    result: list[object] | None = None
    match answer:
        case Served():
            result = [b"".join(answer.pages), {}]
        case Pong():
            result = [answer.serving, {}]
        case Rejected():
            later = answer.retry_after
            hint = {} if later is None else {"later": str(math.ceil(later * MS_PER_SECOND))}
            error = ["TryLater", hint]
        case Failed():
            field = answer.field
            error = ["Aborted", {}] if field is None else ["BadField", {"field": field}]
    packed: bytes = msgpack.packb([RESPONSE, answer.message_id, error, result])
    return packed
