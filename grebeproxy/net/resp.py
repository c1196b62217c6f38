"""The codec for the engines' protocol: RESP arrays of bulk strings."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import NamedTuple

import hiredis

from grebeproxy.net.messages import (
    AnswerKind,
    BadFrameError,
    End,
    EngineAnswer,
    Fetch,
    Hello,
    Run,
    Stop,
    ToEngine,
)
from grebeproxy.settings import load_report_from
from grebeproxy.units import MS_PER_SECOND

CRLF = b"\r\n"
ARRAY, BULK_STRING = b"*", b"$"  # first byte of a line that announces a length
MAX_HEADER_BYTES = 16  # limit for a line that holds a length, including its line end
MAX_PART_BYTES = (64, 16, 1024, 6000)  # limits for an answer's id, word, fields and page
MAX_PAGES = 64  # limit for one result, above the 8 pages that a result has
NO_FIELDS = b"-"
ANSWER_KINDS = {
    b"ok": AnswerKind.OK,
    b"refused": AnswerKind.FULL,
    b"error": AnswerKind.ERROR,
    b"stale": AnswerKind.STALE,
    b"batch": AnswerKind.PAGE,
    b"yes": AnswerKind.ALIVE,
}


def encode(command: ToEngine) -> bytes:
    """Encode one command."""
    parts: tuple[str | bytes, ...]
    match command:
        case Run():
            parts = ("REQ", command.txn, _run_fields(command), command.body)
        case Stop():
            parts = ("STOP", command.txn)
        case Fetch():
            parts = ("FETCH", command.txn, str(command.page))
        case End():
            parts = ("END", command.txn)
        case Hello():
            parts = ("HELO", command.tag)
    packed: bytes = hiredis.pack_command(parts)  # type: ignore[arg-type]  # its stub declares a tuple of one item
    return packed


def _run_fields(command: Run) -> str:
    fields = f"kind={command.query_class},ms={max(1, int(command.timeout * MS_PER_SECOND))}"
    if command.token is not None:
        fields += f",token={command.token}"
    if command.memory_mb:
        fields += f",heap={max(1, round(command.memory_mb))}"
    return fields


class Decoder:
    """Decodes an engine's byte stream into answers, however the stream is split.

    hiredis is used for encoding only, because its reader does not check lengths: it waits for a body that
    announces 3 GB, and accepts a length that is too short for the body, which truncates the result.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._position = 0  # number of decoded bytes in the buffer
        self._parts: list[bytes] | None = None  # parts of the answer that has begun

    @property
    def partial(self) -> int:
        """The number of buffered bytes of an incomplete answer; above 0 once an answer has begun."""
        return len(self._buffer) + sum(map(len, self._parts or ())) + (self._parts is not None)

    def feed(self, data: bytes) -> Iterator[EngineAnswer]:
        """Yield the answers that these bytes complete. Raises ``BadFrameError``."""
        self._buffer += data
        while self._decode_next():
            if self._parts is not None and len(self._parts) == len(MAX_PART_BYTES):
                parts = self._parts
                self._parts = None
                yield _decode_answer(*parts)
        del self._buffer[: self._position]
        self._position = 0

    def _decode_next(self) -> bool:
        """Decode the header of an answer, or one of its parts. Returns whether the bytes were complete."""
        header_end = self._buffer.find(CRLF, self._position, self._position + MAX_HEADER_BYTES)
        if header_end < 0:
            if len(self._buffer) - self._position >= MAX_HEADER_BYTES:
                raise BadFrameError("expected a length, found a line that is too long")
            return False
        header = bytes(self._buffer[self._position : header_end])
        start = header_end + len(CRLF)
        if self._parts is not None:
            return self._decode_part(self._parts, header, start)
        if _announced_length(header, ARRAY) != len(MAX_PART_BYTES):
            raise BadFrameError("not an array of four bulk strings")
        self._parts = []
        self._position = start
        return True

    def _decode_part(self, parts: list[bytes], header: bytes, start: int) -> bool:
        """Decode the part that begins at ``start``, behind its header. Returns whether it was complete."""
        length = _announced_length(header, BULK_STRING)
        if length is None:
            raise BadFrameError("not a bulk string")
        end = start + length
        # The announced length is checked, so that a part that announces 3 GB is never buffered.
        if length > MAX_PART_BYTES[len(parts)]:
            raise BadFrameError("an answer that is too long")
        if len(self._buffer) < end + len(CRLF):
            return False
        # Without this check, a length that is too short would truncate the result.
        if self._buffer[end : end + len(CRLF)] != CRLF:
            raise BadFrameError("a length that does not fit")
        parts.append(bytes(self._buffer[start:end]))
        self._position = end + len(CRLF)
        return True


def _announced_length(header: bytes, first_byte: bytes) -> int | None:
    """The length in the header of an array or a bulk string, which may have leading zeros; else ``None``."""
    digits = header.removeprefix(first_byte)
    return int(digits) if digits != header and digits.isdigit() else None


class _AnswerFields(NamedTuple):
    """The fields of an answer that the router uses."""

    pages: int
    page: int
    report: dict[str, float] | None


def _decode_answer(txn: bytes, word: bytes, fields: bytes, body: bytes) -> EngineAnswer:
    """Decode the parts of a complete answer; an answer with impossible contents is ``INVALID``."""
    name = txn.decode(errors="replace")
    kind = ANSWER_KINDS.get(word, AnswerKind.INVALID)
    try:
        pages, page, report = _decode_fields(fields)
    except ValueError:
        return EngineAnswer(name, AnswerKind.INVALID)
    pages_fit = 1 <= pages <= MAX_PAGES and 0 <= page < MAX_PAGES
    if not (pages_fit and (_holds_rows(body) or kind is AnswerKind.ERROR)):
        return EngineAnswer(name, AnswerKind.INVALID)
    return EngineAnswer(name, kind, body, pages, page, report)


def _decode_fields(fields: bytes) -> _AnswerFields:
    """Decode the fields of an answer. Raises ``ValueError`` for malformed fields."""
    values: dict[str, str] = {}
    if fields != NO_FIELDS:
        values = dict(item.split("=", 1) for item in fields.decode().split(","))
    return _AnswerFields(
        int(values.get("count", 1)), int(values.get("pos", 0)), _load_report(values.get("gauges"))
    )


def _holds_rows(body: bytes) -> bool:
    """Whether a page consists of complete rows of three columns; other pages are not forwarded."""
    return not body or (body.endswith(b"\n") and body.count(b"\t") == 2 * body.count(b"\n"))


def _load_report(text: str | None) -> dict[str, float] | None:
    """Decode a load report, without gauges that are infinite or not a number."""
    if not text:
        return None
    gauges: dict[str, float] = {}
    for item in text.split(";"):
        name, _, value = item.partition(":")
        number = float(value)
        if math.isfinite(number):
            gauges[name] = number
    return load_report_from(gauges)
