"""RESP arrays of bulk strings, as engines speak them."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any

import hiredis

from grebeproxy.net.messages import BadFrameError, End, EngineAnswer, Fetch, Run, Stop, ToEngine, Word
from grebeproxy.settings import report_from

MOST_BYTES = 64 * 1024  # one answer is a page of 6,000 bytes and its fields; far more is no answer
WORDS = {b"ok": Word.OK, b"refused": Word.FULL, b"error": Word.ERROR, b"stale": Word.STALE,
         b"batch": Word.PAGE, b"yes": Word.ALIVE}


def encode(command: ToEngine) -> bytes:
    """The bytes of one command."""
    match command:
        case Run():
            fields = f"kind={command.cls},ms={max(1, int(command.wait * 1000))}"
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
    packed: bytes = hiredis.pack_command(words)
    return packed


class Decoder:
    """Splits what an engine sends into answers, however the bytes are cut."""

    def __init__(self) -> None:
        self._reader = hiredis.Reader()
        self._unread = 0

    def feed(self, data: bytes) -> Iterator[EngineAnswer]:
        """The answers that these bytes complete."""
        self._reader.feed(data)
        self._unread += len(data)
        while True:
            try:
                words = self._reader.gets()
            except (hiredis.HiredisError, MemoryError) as error:  # the latter for a count beyond all memory
                raise BadFrameError(f"engine: {error}") from None
            if words is False:
                # Guards the memory against a length that no answer has.
                if self._unread > MOST_BYTES:
                    raise BadFrameError("engine: an answer that is too long")
                return
            self._unread = 0
            yield _answer(words)


def _answer(words: object) -> EngineAnswer:
    if not (isinstance(words, list) and len(words) == 4 and all(isinstance(w, bytes) for w in words)):
        raise BadFrameError("engine: not an array of four bulk strings")
    txn, word, fields, body = words
    if word not in WORDS:
        raise BadFrameError("engine: an unknown word")
    try:
        named = dict(item.split("=", 1) for item in fields.decode().split(",")) if fields != b"-" else {}
        return EngineAnswer(txn.decode(), WORDS[word], body, pages=int(named.get("count", 1)),
                            page=int(named.get("pos", 0)), report=_report(named.get("gauges")))
    except ValueError as error:
        raise BadFrameError(f"engine: fields that cannot be read: {error}") from None


def _report(text: str | None) -> dict[str, float] | None:
    """The load report; a gauge that is infinite or not a number tells nothing and is left out."""
    if not text:
        return None
    gauges = {}
    for item in text.split(";"):
        name, _, value = item.partition(":")
        number = float(value)
        if math.isfinite(number):
            gauges[name] = number
    return report_from(gauges)
