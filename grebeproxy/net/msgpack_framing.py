"""Finds where a msgpack message ends, and rejects one that is too long as soon as a header announces it.

msgpack's own streaming unpacker checks a length only after all of the bytes have arrived. It would wait for
a body that announces 2 GB.

msgpack has several forms for most values, which differ in the size of their headers only.
"""

from __future__ import annotations

from typing import NamedTuple

from grebeproxy.errors import GrebeproxyError

MAX_MESSAGE_BYTES = 64 * 1024
MAX_MESSAGE_VALUES = 64  # enough for a statement and a few fields
MESSAGE_LENGTHS = (3, 4)  # values in the array of a notification and of a request
# Limits between the ranges of first bytes: formats below FIRST_SIZED hold their length in the first byte.
FIXMAP, FIXARRAY, FIXSTR, FIRST_SIZED, NEGATIVE_FIXINT = 0x80, 0x90, 0xA0, 0xC0, 0xE0
ARRAY_16, ARRAY_32 = 0xDC, 0xDD


class MalformedMessageError(GrebeproxyError, ValueError):
    """The bytes are no msgpack-rpc request or notification; the decoder reports this as ``BadFrameError``."""


class _Header(NamedTuple):
    """The header of a format whose length is not part of the first byte."""

    size: int  # bytes of the header, or of a value without a length field; 0 for a format that is rejected
    length_bytes: int = 0  # size of the header's length field
    values_per_length: int = 0  # 1 for an array, 2 for a map; 0 where the length counts bytes


class _Value(NamedTuple):
    """What the received bytes tell of a value, at least: while its header is incomplete, it may be longer."""

    size: int  # bytes on the wire; for an array or map, of its header
    values: int  # values in an array or map


def _number_headers(*widths: int) -> list[_Header]:
    """The headers of numbers with these sizes in bytes."""
    return [_Header(1 + width) for width in widths]


def _length_headers(*widths: int, values_per_length: int = 0) -> list[_Header]:
    """The headers whose length fields have these sizes in bytes."""
    return [_Header(1 + width, width, values_per_length) for width in widths]


_NO_DATA = _Header(1)
_NOT_ALLOWED = _Header(0)
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


def _fixed_value(first_byte: int) -> _Value:
    """A value whose first byte holds its length: a fixint, fixmap, fixarray or fixstr."""
    if first_byte < FIXMAP or first_byte >= NEGATIVE_FIXINT:
        return _Value(1, 0)
    if first_byte < FIXARRAY:
        return _Value(1, 2 * (first_byte & 0x0F))
    if first_byte < FIXSTR:
        return _Value(1, first_byte & 0x0F)
    size = 1 + (first_byte & 0x1F)
    return _Value(size, 0)


_FIXED_VALUES = tuple(map(_fixed_value, range(256)))  # by first byte; unused from 0xc0 to 0xdf


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
            value = _scan_value(buffer, position) if self.size else _scan_outermost_array(buffer, position)
            values = self._values + value.values
            if self.size + value.size > MAX_MESSAGE_BYTES or values > MAX_MESSAGE_VALUES:
                raise MalformedMessageError("message is too long")
            if position + value.size > len(buffer):
                return False
            self.size += value.size
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
    if header.length_bytes:
        return _value_with_length(header, bytes(buffer[position + 1 : position + header.size]))
    return _Value(header.size, 0)


def _value_with_length(header: _Header, received: bytes) -> _Value:
    """A value whose header announces its length in these bytes, some of which may not be received yet."""
    length = int.from_bytes(received.ljust(header.length_bytes, b"\0"), "big")
    if header.values_per_length:
        return _Value(header.size, header.values_per_length * length)
    return _Value(header.size + length, 0)
