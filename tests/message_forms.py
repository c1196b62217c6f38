"""Packs MessagePack values in all forms that the format has for them; msgpack's packer writes one form."""

from __future__ import annotations

import struct
from collections.abc import Callable, Sequence

# Chooses one of the forms of a value, which are ordered from the shortest to the widest.
Choose = Callable[[Sequence[bytes]], bytes]

LENGTH_FORMATS = {1: ">B", 2: ">H", 4: ">I"}
STRING_HEADERS = ((0xD9, 1), (0xDA, 2), (0xDB, 4))  # first byte, and size of the length field
BINARY_HEADERS = ((0xC4, 1), (0xC5, 2), (0xC6, 4))
ARRAY_HEADERS = ((0xDC, 2), (0xDD, 4))
MAP_HEADERS = ((0xDE, 2), (0xDF, 4))
INTEGER_FORMS = (  # first byte, format, and the lowest and greatest number
    (0xCC, ">B", 0, 2**8 - 1),
    (0xD0, ">b", -(2**7), 2**7 - 1),
    (0xCD, ">H", 0, 2**16 - 1),
    (0xD1, ">h", -(2**15), 2**15 - 1),
    (0xCE, ">I", 0, 2**32 - 1),
    (0xD2, ">i", -(2**31), 2**31 - 1),
    (0xCF, ">Q", 0, 2**64 - 1),
    (0xD3, ">q", -(2**63), 2**63 - 1),
)
FIXED_STRING, FIXED_ARRAY, FIXED_MAP = (
    (0xA0, 31),
    (0x90, 15),
    (0x80, 15),
)  # first byte of length 0, greatest length


def widest(forms: Sequence[bytes]) -> bytes:
    """Choose the form with the most bytes."""
    return max(forms, key=len)


def shortest(forms: Sequence[bytes]) -> bytes:
    """Choose the form with the fewest bytes."""
    return min(forms, key=len)


def headers(
    length: int, wide_headers: Sequence[tuple[int, int]], fixed: tuple[int, int] | None = None
) -> list[bytes]:
    """All headers that announce a length, the shortest first."""
    forms = []
    if fixed is not None and length <= fixed[1]:
        forms.append(bytes([fixed[0] | length]))
    return forms + [
        bytes([first_byte]) + struct.pack(LENGTH_FORMATS[size], length)
        for first_byte, size in wide_headers
        if length < 256**size
    ]


def integer_forms(number: int) -> list[bytes]:
    """All forms of an integer."""
    forms = [struct.pack(">b", number)] if -32 <= number <= 127 else []
    return forms + [
        bytes([first_byte]) + struct.pack(format_, number)
        for first_byte, format_, lowest, greatest in INTEGER_FORMS
        if lowest <= number <= greatest
    ]


def float_forms(number: float) -> list[bytes]:
    """All forms of a float that hold exactly this number."""
    double = b"\xcb" + struct.pack(">d", number)
    try:
        single = struct.pack(">f", number)
    except OverflowError:
        return [double]
    return [b"\xca" + single, double] if struct.unpack(">f", single)[0] == number else [double]


def pack(value: object, choose: Choose) -> bytes:
    """Pack a value; ``choose`` chooses the form of each part."""
    match value:
        case None | bool():
            return {None: b"\xc0", False: b"\xc2", True: b"\xc3"}[value]
        case int():
            return choose(integer_forms(value))
        case float():
            return choose(float_forms(value))
        case str():
            encoded = value.encode()
            return choose(headers(len(encoded), STRING_HEADERS, FIXED_STRING)) + encoded
        case bytes():
            return choose(headers(len(value), BINARY_HEADERS)) + value
        case dict():
            items = [pack(part, choose) for item in value.items() for part in item]
            return choose(headers(len(value), MAP_HEADERS, FIXED_MAP)) + b"".join(items)
        case list():
            items = [pack(item, choose) for item in value]
            return choose(headers(len(value), ARRAY_HEADERS, FIXED_ARRAY)) + b"".join(items)
    raise TypeError(f"{type(value).__name__} is not packed here")
