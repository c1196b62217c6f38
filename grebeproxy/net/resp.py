"""RESP arrays of bulk strings, as engines speak them."""

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
ANSWER_HEADER = b"*4"  # an array of four bulk strings
MAX_HEADER_BYTES = 16  # of a line that holds a length, with its end
MAX_PART_BYTES = (64, 16, 1024, 6000)  # of an answer's id, word, fields and page
MAX_PAGES = 64  # above the 8 of a result
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
    """The bytes of one command."""
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
    packed: bytes = hiredis.pack_command(parts)  # type: ignore[arg-type]  # it declares a tuple of one item
    return packed


def _run_fields(command: Run) -> str:
    fields = f"kind={command.query_class},ms={max(1, int(command.timeout * MS_PER_SECOND))}"
    if command.token is not None:
        fields += f",token={command.token}"
    if command.memory_mb:
        fields += f",heap={max(1, round(command.memory_mb))}"
    return fields


class Decoder:
    """Splits what an engine sends into answers, however the bytes are cut.

    hiredis only encodes here. Its reader bounds no length: it waits for a body that announces 3 GB, and
    takes a length that is too short for the body, passing on a truncated result.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._position = 0  # bytes of the buffer that are decoded
        self._parts: list[bytes] | None = None  # of the answer that has begun

    @property
    def partial(self) -> int:
        """Bytes buffered of an answer that is not complete yet; above 0 once it has begun."""
        return len(self._buffer) + sum(map(len, self._parts or ())) + (self._parts is not None)

    def feed(self, data: bytes) -> Iterator[EngineAnswer]:
        """The answers that these bytes complete. Raises ``BadFrameError``."""
        self._buffer += data
        while self._decode_next():
            if self._parts is not None and len(self._parts) == len(MAX_PART_BYTES):
                parts = self._parts
                self._parts = None
                yield _answer(*parts)
        del self._buffer[: self._position]
        self._position = 0

    def _decode_next(self) -> bool:
        """Decode the header of an answer or one of its parts; whether all of it was there."""
        header_end = self._buffer.find(CRLF, self._position, self._position + MAX_HEADER_BYTES)
        if header_end < 0:
            if len(self._buffer) - self._position >= MAX_HEADER_BYTES:
                raise BadFrameError("a line without end where a length was due")
            return False
        header = bytes(self._buffer[self._position : header_end])
        start = header_end + len(CRLF)
        if self._parts is not None:
            return self._decode_part(self._parts, header, start)
        if header != ANSWER_HEADER:
            raise BadFrameError("not an array of four bulk strings")
        self._parts = []
        self._position = start
        return True

    def _decode_part(self, parts: list[bytes], header: bytes, start: int) -> bool:
        """Decode the part whose header was read and whose bytes begin at ``start``."""
        if not (header.startswith(b"$") and header[1:].isdigit()):
            raise BadFrameError("not a bulk string")
        end = start + int(header[1:])
        # Checked on the length alone, so that what announces 3 GB is never buffered.
        if end - start > MAX_PART_BYTES[len(parts)]:
            raise BadFrameError("an answer that is too long")
        if len(self._buffer) < end + len(CRLF):
            return False
        # With a length that is too short, the result would be passed on truncated.
        if self._buffer[end : end + len(CRLF)] != CRLF:
            raise BadFrameError("a length that does not fit")
        parts.append(bytes(self._buffer[start:end]))
        self._position = end + len(CRLF)
        return True


class _AnswerFields(NamedTuple):
    """The fields of an answer that are used."""

    pages: int
    page: int
    report: dict[str, float] | None


def _answer(txn: bytes, word: bytes, fields: bytes, body: bytes) -> EngineAnswer:
    """An answer that is framed correctly; one with impossible contents is ``INVALID``."""
    name = txn.decode(errors="replace")
    kind = ANSWER_KINDS.get(word, AnswerKind.INVALID)
    try:
        pages, page, report = _answer_fields(fields)
    except ValueError:
        return EngineAnswer(name, AnswerKind.INVALID)
    pages_fit = 1 <= pages <= MAX_PAGES and 0 <= page < MAX_PAGES
    if not (pages_fit and (_holds_rows(body) or kind is AnswerKind.ERROR)):
        return EngineAnswer(name, AnswerKind.INVALID)
    return EngineAnswer(name, kind, body, pages, page, report)


def _answer_fields(fields: bytes) -> _AnswerFields:
    """Raises ``ValueError`` for fields that cannot be read."""
    named: dict[str, str] = {}
    if fields != NO_FIELDS:
        named = dict(item.split("=", 1) for item in fields.decode().split(","))
    return _AnswerFields(int(named.get("count", 1)), int(named.get("pos", 0)), _report(named.get("gauges")))


def _holds_rows(body: bytes) -> bool:
    """Whether a page holds complete rows of three columns; anything else is not passed on."""
    return not body or (body.endswith(b"\n") and body.count(b"\t") == 2 * body.count(b"\n"))


def _report(text: str | None) -> dict[str, float] | None:
    """The load report; a gauge that is infinite or not a number is left out."""
    if not text:
        return None
    gauges: dict[str, float] = {}
    for item in text.split(";"):
        name, _, value = item.partition(":")
        number = float(value)
        if math.isfinite(number):
            gauges[name] = number
    return load_report_from(gauges)
