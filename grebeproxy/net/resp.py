"""RESP arrays of bulk strings, as engines speak them."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any

import hiredis

from grebeproxy.net.messages import (
    BadFrameError,
    End,
    EngineAnswer,
    Fetch,
    Hello,
    Run,
    Stop,
    ToEngine,
    AnswerKind,
)
from grebeproxy.settings import report_from

MAX_PART_BYTES = (64, 16, 1024, 6000)  # bytes of an answer's id, word, fields and page
MAX_PAGES = 64  # above the 8 of a result
HEAD, MAX_LINE = b"*4", 16
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
    match command:
        case Run():
            fields = f"kind={command.query_class},ms={max(1, int(command.timeout * 1000))}"
            if command.token is not None:
                fields += f",token={command.token}"
            if command.memory_mb:
                fields += f",heap={max(1, round(command.memory_mb))}"
            words: tuple[Any, ...] = ("REQ", command.txn, fields, command.body)
        case Stop():
            words = ("STOP", command.txn)
        case Fetch():
            words = ("FETCH", command.txn, str(command.page))
        case End():
            words = ("END", command.txn)
        case Hello():
            words = ("HELO", command.tag)
    packed: bytes = hiredis.pack_command(words)
    return packed


class Decoder:
    """Splits what an engine sends into answers, however the bytes are cut.

    hiredis only encodes here. Its reader takes a length that is too short for the body, passing on a result
    that is cut off, and waits for a body that announces 3 GB: it can be given no bound.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._at = 0  # so much of it is read
        self._words: list[bytes] | None = None  # of the answer that has begun

    @property
    def partial(self) -> int:
        """Bytes of an answer that has begun and is not whole yet."""
        return len(self._buffer) + sum(map(len, self._words or ())) + (self._words is not None)

    def feed(self, data: bytes) -> Iterator[EngineAnswer]:
        """The answers that these bytes complete."""
        self._buffer += data
        while self._read():
            if self._words is not None and len(self._words) == len(MAX_PART_BYTES):
                words, self._words = self._words, None
                yield _answer(*words)
        del self._buffer[: self._at]
        self._at = 0

    def _read(self) -> bool:
        """Read the head of an answer or one of its words, if that is there whole."""
        end = self._buffer.find(b"\r\n", self._at, self._at + MAX_LINE)
        line = bytes(self._buffer[self._at : end])
        if end < 0:
            if len(self._buffer) - self._at >= MAX_LINE:
                raise BadFrameError("engine: a line without end where a length was due")
            return False
        if self._words is None:
            if line != HEAD:
                raise BadFrameError("engine: not an array of four bulk strings")
            self._words, self._at = [], end + 2
            return True
        if not (line.startswith(b"$") and line[1:].isdigit()):
            raise BadFrameError("engine: not a bulk string")
        start, size = end + 2, int(line[1:])
        # Guards the memory, on the length alone: what announces 3 GB ends before it is buffered.
        if size > MAX_PART_BYTES[len(self._words)]:
            raise BadFrameError("engine: an answer that is too long")
        if len(self._buffer) < start + size + 2:
            return False
        # Guards against passing on a result that a wrong length has cut off.
        if self._buffer[start + size : start + size + 2] != b"\r\n":
            raise BadFrameError("engine: a length that does not fit")
        self._words.append(bytes(self._buffer[start : start + size]))
        self._at = start + size + 2
        return True


def _answer(txn: bytes, word: bytes, fields: bytes, body: bytes) -> EngineAnswer:
    """An answer that is framed as it should be; one with contents that cannot be is invalid."""
    name, kind = txn.decode(errors="replace"), ANSWER_KINDS.get(word, AnswerKind.INVALID)
    try:
        named = dict(item.split("=", 1) for item in fields.decode().split(",")) if fields != b"-" else {}
        pages, page = int(named.get("count", 1)), int(named.get("pos", 0))
        report = _report(named.get("gauges"))
    except ValueError:
        return EngineAnswer(name, AnswerKind.INVALID)
    # Guards against passing on noise: a page is whole rows of three columns.
    rows = not body or (body.endswith(b"\n") and body.count(b"\t") == 2 * body.count(b"\n"))
    if not (1 <= pages <= MAX_PAGES and 0 <= page < MAX_PAGES and (rows or kind is AnswerKind.ERROR)):
        return EngineAnswer(name, AnswerKind.INVALID)
    return EngineAnswer(name, kind, body, pages, page, report)


def _report(text: str | None) -> dict[str, float] | None:
    """The load report; a gauge that is infinite or not a number is left out."""
    if not text:
        return None
    gauges = {}
    for item in text.split(";"):
        name, _, value = item.partition(":")
        number = float(value)
        if math.isfinite(number):
            gauges[name] = number
    return report_from(gauges)
