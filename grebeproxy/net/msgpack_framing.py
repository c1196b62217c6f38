"""Finds where a msgpack message ends, and rejects one that is too long as soon as a header announces it.

msgpack's own streaming unpacker checks a length only after all of the bytes have arrived. It would wait for
a body that announces 2 GB.
"""

from __future__ import annotations

from typing import NamedTuple

from grebeproxy.errors import GrebeproxyError

MAX_MESSAGE_BYTES = 64 * 1024
MAX_MESSAGE_VALUES = 64  # enough for a statement and a few fields
MESSAGE_FIRST_BYTES = (0x93, 0x94)  # an array of three (a notification) or of four (a request)
# Limits between the ranges of first bytes: formats below FIRST_SIZED hold their length in the first byte.
FIXMAP, FIXARRAY, FIXSTR, FIRST_SIZED, NEGATIVE_FIXINT = 0x80, 0x90, 0xA0, 0xC0, 0xE0


class MalformedMessageError(GrebeproxyError, ValueError):
    """The bytes are no msgpack-rpc request or notification; the decoder reports this as ``BadFrameError``."""


class _Header(NamedTuple):
    """The header of a format whose length is not part of the first byte."""

    size: int  # bytes of the header, or of a value without a length field; 0 for a format that is rejected
    length_bytes: int  # size of the header's length field
    values_per_length: int  # 1 for an array, 2 for a map; 0 where the length counts bytes


class _Format(NamedTuple):
    """The size of a value in bytes (for an array or map: of its header), and the number of values in it."""

    size: int
    values: int


def _number_headers(*widths: int) -> list[_Header]:
    """The headers of numbers with these sizes in bytes."""
    return [_Header(1 + width, 0, 0) for width in widths]


def _length_headers(*widths: int, values_per_length: int = 0) -> list[_Header]:
    """The headers whose length fields have these sizes in bytes."""
    return [_Header(1 + width, width, values_per_length) for width in widths]


_NO_DATA = _Header(1, 0, 0)
_NOT_ALLOWED = _Header(0, 0, 0)
_HEADERS = (  # indexed by the first byte, from 0xc0 to 0xdf
    _NO_DATA,  # nil
    _NOT_ALLOWED,
    _NO_DATA,  # false
    _NO_DATA,  # true
    *_length_headers(1, 2, 4),  # bin 8, 16 and 32
    *[_NOT_ALLOWED] * 3,  # ext 8, 16 and 32
    *_number_headers(4, 8),  # float 32 and 64
    *_number_headers(1, 2, 4, 8),  # uint 8, 16, 32 and 64
    *_number_headers(1, 2, 4, 8),  # int 8, 16, 32 and 64
    *[_NOT_ALLOWED] * 5,  # fixext 1, 2, 4, 8 and 16
    *_length_headers(1, 2, 4),  # str 8, 16 and 32
    *_length_headers(2, 4, values_per_length=1),  # array 16 and 32
    *_length_headers(2, 4, values_per_length=2),  # map 16 and 32
)


class MessageFramer:
    """Scans the headers of one message after another; ``size`` is the scanned part of the current message."""

    __slots__ = ("_pending", "_values", "size")

    def __init__(self) -> None:
        self.next_message()

    def next_message(self) -> None:
        """Begin to scan another message."""
        self.size = 0  # scanned bytes
        self._pending = 1  # values that are not scanned yet
        self._values = 0  # values in the arrays and maps scanned so far

    def complete(self, buffer: bytearray, start: int) -> bool:
        """Scan on through the message that begins at ``start``. Returns whether the message is complete.

        Raises ``MalformedMessageError`` for a message that is too long or malformed.
        """
        while self._pending:
            position = start + self.size
            if position >= len(buffer):
                return False
            first_byte = buffer[position]
            if not self.size and first_byte not in MESSAGE_FIRST_BYTES:
                raise MalformedMessageError("not a request or a notification")
            if first_byte < FIRST_SIZED or first_byte >= NEGATIVE_FIXINT:
                size, values = _fixed_format(first_byte)
            else:
                size, length_bytes, values_per_length = _HEADERS[first_byte - FIRST_SIZED]
                if not size:
                    raise MalformedMessageError(f"type {first_byte:#x} is not allowed in a message")
                if position + size > len(buffer):
                    return False
                length = int.from_bytes(buffer[position + 1 : position + 1 + length_bytes], "big")
                values = values_per_length * length
                if not values_per_length:
                    size += length
            self._values += values
            if self.size + size > MAX_MESSAGE_BYTES or self._values > MAX_MESSAGE_VALUES:
                raise MalformedMessageError("message is too long")
            if position + size > len(buffer):
                return False
            self.size += size
            self._pending += values - 1
        return True


def _fixed_format(first_byte: int) -> _Format:
    """The format of a value whose first byte holds its length: a fixint, fixmap, fixarray or fixstr."""
    if first_byte < FIXMAP or first_byte >= NEGATIVE_FIXINT:
        return _Format(1, 0)
    if first_byte < FIXARRAY:
        return _Format(1, 2 * (first_byte & 0x0F))
    if first_byte < FIXSTR:
        return _Format(1, first_byte & 0x0F)
    return _Format(1 + (first_byte & 0x1F), 0)
