"""Finds where a msgpack message ends, and refuses one that is too long as soon as a header announces it.

msgpack's own stream splitter checks a length only once all of the bytes have come, and so would wait for a
body that announces 2 GB.
"""

from __future__ import annotations

from typing import NamedTuple

from grebeproxy.errors import GrebeproxyError

MAX_MESSAGE_BYTES = 64 * 1024
MAX_MESSAGE_VALUES = 64  # a statement and a few fields
MESSAGE_FIRST_BYTES = (0x93, 0x94)  # an array of three (a notification) or of four (a request)
# First bytes of msgpack's formats that hold their length in the first byte itself.
FIXMAP, FIXARRAY, FIXSTR, FIRST_SIZED, NEGATIVE_FIXINT = 0x80, 0x90, 0xA0, 0xC0, 0xE0


class MalformedMessageError(GrebeproxyError, ValueError):
    """Bytes that are not a msgpack-rpc request or notification; the decoder reports it as BadFrameError."""


class _Header(NamedTuple):
    """The header of a format whose first byte does not hold its length."""

    size: int  # bytes of the header, or of the value where it has no length field; 0 for a format not allowed
    length_bytes: int  # of the header
    values_per_length: int  # for an array or map; for others the length counts bytes that follow


class _Format(NamedTuple):
    """Bytes that a value takes (of an array or map: its header), and how many values it contains."""

    size: int
    values: int


def _numbers(*widths: int) -> list[_Header]:
    """The headers of numbers of so many bytes."""
    return [_Header(1 + width, 0, 0) for width in widths]


def _sized(*widths: int, values_per_length: int = 0) -> list[_Header]:
    """The headers whose length takes so many bytes."""
    return [_Header(1 + width, width, values_per_length) for width in widths]


_NO_DATA = _Header(1, 0, 0)
_NOT_ALLOWED = _Header(0, 0, 0)
_HEADERS = (  # by the first byte, from 0xc0 to 0xdf
    _NO_DATA,  # nil
    _NOT_ALLOWED,
    _NO_DATA,  # false
    _NO_DATA,  # true
    *_sized(1, 2, 4),  # bin 8, 16 and 32
    *[_NOT_ALLOWED] * 3,  # ext 8, 16 and 32
    *_numbers(4, 8),  # float 32 and 64
    *_numbers(1, 2, 4, 8),  # uint 8, 16, 32 and 64
    *_numbers(1, 2, 4, 8),  # int 8, 16, 32 and 64
    *[_NOT_ALLOWED] * 5,  # fixext 1, 2, 4, 8 and 16
    *_sized(1, 2, 4),  # str 8, 16 and 32
    *_sized(2, 4, values_per_length=1),  # array 16 and 32
    *_sized(2, 4, values_per_length=2),  # map 16 and 32
)


class MessageFramer:
    """Walks over the headers of one message after another; ``size`` is what was walked of the current one."""

    __slots__ = ("_pending", "_values", "size")

    def __init__(self) -> None:
        self.next_message()

    def next_message(self) -> None:
        """Begin with another message."""
        self.size = 0  # bytes
        self._pending = 1  # values that are still to come
        self._values = 0  # values in arrays and maps so far

    def complete(self, buffer: bytearray, start: int) -> bool:
        """Walk on through the message that begins at ``start``; whether all of it is there.

        Raises ``MalformedMessageError`` for one that is too long or cannot be a message.
        """
        while self._pending:
            position = start + self.size
            if position >= len(buffer):
                return False
            first = buffer[position]
            if not self.size and first not in MESSAGE_FIRST_BYTES:
                raise MalformedMessageError("not a request or a notification")
            if first < FIRST_SIZED or first >= NEGATIVE_FIXINT:
                size, values = _fixed_format(first)
            else:
                size, length_bytes, values_per_length = _HEADERS[first - FIRST_SIZED]
                if not size:
                    raise MalformedMessageError(f"type {first:#x} has no place in a message")
                if position + size > len(buffer):
                    return False
                length = int.from_bytes(buffer[position + 1 : position + 1 + length_bytes], "big")
                values = values_per_length * length
                if not values_per_length:
                    size += length
            self._values += values
            if self.size + size > MAX_MESSAGE_BYTES or self._values > MAX_MESSAGE_VALUES:
                raise MalformedMessageError("a message that is too long")
            if position + size > len(buffer):
                return False
            self.size += size
            self._pending += values - 1
        return True


def _fixed_format(first: int) -> _Format:
    """The format of a value whose first byte holds its length: a fixint, fixmap, fixarray or fixstr."""
    if first < FIXMAP or first >= NEGATIVE_FIXINT:
        return _Format(1, 0)
    if first < FIXARRAY:
        return _Format(1, 2 * (first & 0x0F))
    if first < FIXSTR:
        return _Format(1, first & 0x0F)
    return _Format(1 + (first & 0x1F), 0)
