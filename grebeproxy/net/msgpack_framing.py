"""Finds where a msgpack message ends, and rejects one that is too long as soon as a header announces it.

msgpack's own streaming unpacker checks a length only after all of the bytes have arrived. It would wait for
a body that announces 2 GB.

msgpack has several forms for most values, which differ in the size of their headers only. All forms of a
message are treated alike: limits apply to the size that the message has in its shortest form.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import NamedTuple

import msgpack

from grebeproxy.errors import GrebeproxyError

MAX_MESSAGE_BYTES = 64 * 1024  # in the shortest form; the bytes on the wire may be 8 more for each value
MAX_MESSAGE_VALUES = 64  # enough for a statement and a few fields
MESSAGE_LENGTHS = (3, 4)  # values in the array of a notification and of a request
# Limits between the ranges of first bytes: formats below FIRST_SIZED hold their length in the first byte.
FIXMAP, FIXARRAY, FIXSTR, FIRST_SIZED, NEGATIVE_FIXINT = 0x80, 0x90, 0xA0, 0xC0, 0xE0
ARRAY_16, ARRAY_32 = 0xDC, 0xDD
# The sizes of headers that announce a length, and for each but the last the greatest length that it can
# announce. A greatest length of the header before, or of -1, means that a type has no such header.
LENGTH_HEADER_SIZES = (1, 2, 3, 5)
STRING_LENGTHS = (31, 255, 65535)
BINARY_LENGTHS = (-1, 255, 65535)
CONTAINER_LENGTHS = (15, 15, 65535)


class MalformedMessageError(GrebeproxyError, ValueError):
    """The bytes are no msgpack-rpc request or notification; the decoder reports this as ``BadFrameError``."""


class _Header(NamedTuple):
    """The header of a format whose length is not part of the first byte."""

    size: int  # bytes of the header, or of a value without a length field; 0 for a format that is rejected
    length_bytes: int = 0  # size of the header's length field
    values_per_length: int = 0  # 1 for an array, 2 for a map; 0 where the length counts bytes
    greatest_lengths: tuple[int, ...] = ()  # of all headers of the type, by ``LENGTH_HEADER_SIZES``


class _Value(NamedTuple):
    """What the received bytes tell of a value, at least: while its header is incomplete, it may be longer."""

    size: int  # bytes on the wire; for an array or map, of its header
    shortest_size: int  # the same for the shortest form of the value
    values: int  # values in an array or map


def _number_headers(*widths: int) -> list[_Header]:
    """The headers of numbers with these sizes in bytes."""
    return [_Header(1 + width) for width in widths]


def _length_headers(
    *widths: int, greatest_lengths: tuple[int, ...], values_per_length: int = 0
) -> list[_Header]:
    """The headers whose length fields have these sizes in bytes."""
    return [_Header(1 + width, width, values_per_length, greatest_lengths) for width in widths]


_NO_DATA = _Header(1)
_NOT_ALLOWED = _Header(0)
_HEADERS = (  # indexed by the first byte, from 0xc0 to 0xdf
    _NO_DATA,  # nil
    _NOT_ALLOWED,
    _NO_DATA,  # false
    _NO_DATA,  # true
    *_length_headers(1, 2, 4, greatest_lengths=BINARY_LENGTHS),  # bin 8, 16 and 32
    *[_NOT_ALLOWED] * 3,  # ext 8, 16 and 32
    *_number_headers(4, 8),  # float 32 and 64
    *_number_headers(1, 2, 4, 8),  # uint 8, 16, 32 and 64
    *_number_headers(1, 2, 4, 8),  # int 8, 16, 32 and 64
    *[_NOT_ALLOWED] * 5,  # fixext 1, 2, 4, 8 and 16
    *_length_headers(1, 2, 4, greatest_lengths=STRING_LENGTHS),  # str 8, 16 and 32
    *_length_headers(2, 4, greatest_lengths=CONTAINER_LENGTHS, values_per_length=1),  # array 16 and 32
    *_length_headers(2, 4, greatest_lengths=CONTAINER_LENGTHS, values_per_length=2),  # map 16 and 32
)


def _fixed_value(first_byte: int) -> _Value:
    """A value whose first byte holds its length: a fixint, fixmap, fixarray or fixstr."""
    if first_byte < FIXMAP or first_byte >= NEGATIVE_FIXINT:
        return _Value(1, 1, 0)
    if first_byte < FIXARRAY:
        return _Value(1, 1, 2 * (first_byte & 0x0F))
    if first_byte < FIXSTR:
        return _Value(1, 1, first_byte & 0x0F)
    size = 1 + (first_byte & 0x1F)
    return _Value(size, size, 0)


_FIXED_VALUES = tuple(map(_fixed_value, range(256)))  # by first byte; unused from 0xc0 to 0xdf


class MessageFramer:
    """Scans the headers of one message after another; ``size`` is the scanned part of the current message."""

    __slots__ = ("_pending", "_shortest_size", "_values", "size")

    def __init__(self) -> None:
        self.next_message()

    def next_message(self) -> None:
        """Begin to scan another message."""
        self.size = 0  # scanned bytes
        self._shortest_size = 0  # bytes of the shortest form of what is scanned
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
            value = _scan_value(buffer, position) if self.size else _scan_outermost_array(buffer, position)
            shortest_size = self._shortest_size + value.shortest_size
            values = self._values + value.values
            if shortest_size > MAX_MESSAGE_BYTES or values > MAX_MESSAGE_VALUES:
                raise MalformedMessageError("message is too long")
            if position + value.size > len(buffer):
                return False
            self.size += value.size
            self._shortest_size = shortest_size
            self._values = values
            self._pending += value.values - 1
        return True


def _scan_outermost_array(buffer: bytearray, position: int) -> _Value:
    """Scan the array that a message consists of, in any form that msgpack has for it."""
    first_byte = buffer[position]
    is_array = FIXARRAY <= first_byte < FIXSTR or first_byte in (ARRAY_16, ARRAY_32)
    if is_array:
        array = _scan_value(buffer, position)
        is_complete = position + array.size <= len(buffer)
        if array.values in MESSAGE_LENGTHS or (not is_complete and array.values < max(MESSAGE_LENGTHS)):
            return array
    raise MalformedMessageError("not a request or a notification")


def _scan_value(buffer: bytearray, position: int) -> _Value:
    """Scan the value that begins at ``position``, as far as it is received."""
    first_byte = buffer[position]
    if first_byte < FIRST_SIZED or first_byte >= NEGATIVE_FIXINT:
        return _FIXED_VALUES[first_byte]
    header = _HEADERS[first_byte - FIRST_SIZED]
    if not header.size:
        raise MalformedMessageError(f"type {first_byte:#x} is not allowed in a message")
    received = bytes(buffer[position : position + header.size])
    if header.length_bytes:
        return _value_with_length(header, received[1:])
    return _Value(header.size, _shortest_number_size(received) if len(received) == header.size else 1, 0)


def _value_with_length(header: _Header, received: bytes) -> _Value:
    """A value whose header announces its length in these bytes, some of which may not be received yet."""
    length = int.from_bytes(received.ljust(header.length_bytes, b"\0"), "big")
    shortest_header_size = LENGTH_HEADER_SIZES[bisect_left(header.greatest_lengths, length)]
    if header.values_per_length:
        return _Value(header.size, shortest_header_size, header.values_per_length * length)
    return _Value(header.size + length, shortest_header_size + length, 0)


def _shortest_number_size(packed: bytes) -> int:
    """The size of the shortest form of a number, nil or bool; a float is only shortened if it is the same."""
    number = msgpack.unpackb(packed)
    try:
        shortened: bytes = msgpack.packb(number, use_single_float=True)
    except OverflowError:  # a float 64 beyond the range of float 32
        return len(packed)
    return len(shortened if msgpack.unpackb(shortened) == number else packed)
