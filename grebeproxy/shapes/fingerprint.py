"""The shape of a statement: what is left when literals, list lengths and the schema's number are taken out.

Two statements that differ only in these share a shape; they differ in it by a table, a join or an aggregate.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from hashlib import blake2b

from grebeproxy.shapes.scanner import MOST_SCANNED, Part, Token, numbered_schema, scan

VALUE, GROUP = b"?", b"#"  # stand for a literal or a parameter, and for the number of a schema
SIGNS = (b"-", b"+")
# After these a sign belongs to the number behind it; after a name or a value it is an operator.
BEFORE_SIGNED = frozenset((b"(", b",", b"=", b"<", b">", b"[", b"+", b"-", b"*", b"/", b"%"))
WORDS_BEFORE_SIGNED = frozenset(
    (
        b"and",
        b"between",
        b"by",
        b"case",
        b"else",
        b"in",
        b"limit",
        b"not",
        b"offset",
        b"or",
        b"return",
        b"select",
        b"then",
        b"values",
        b"when",
        b"where",
    )
)
PLAIN = re.compile(rb"[a-z_][a-z0-9_$]*")  # needs no quotes
MOST_NUMBERS = 32  # of a statement that are kept


@dataclass(frozen=True, slots=True)
class Shape:
    """A statement's shape, and the numbers that stood in it, in order: the first few, schemas' included."""

    digest: bytes
    text: bytes
    numbers: tuple[float, ...]


def shape_of(statement: bytes) -> Shape | None:
    """The shape; none for a statement that holds nothing or is too long to be read to its end."""
    if len(statement) > MOST_SCANNED:
        return None
    words: list[bytes] = []
    numbers: list[float] = []
    for token in scan(statement):
        _take(words, numbers, token)
    while words and words[-1] == b";":
        words.pop()
    if not words:
        return None
    text = b" ".join(words)
    return Shape(blake2b(text, digest_size=16).digest(), text, tuple(numbers[:MOST_NUMBERS]))


def _take(words: list[bytes], numbers: list[float], token: Token) -> None:
    part, text = token
    if part is Part.NUMBER:
        sign = -1.0 if _signed(words) == b"-" else 1.0
        if (value := _value(text)) is not None:
            numbers.append(sign * value)
        _literal(words)
    elif part is Part.STRING:
        _literal(words)
    elif part is Part.NAME:
        _name(words, text.lower())
    elif part is Part.QUOTED:
        # As the engines do: a quoted name that needs no quotes is the name.
        _name(words, text if PLAIN.fullmatch(text) else b'"' + text + b'"')
    elif text == b"." and words and (schema := numbered_schema(words[-1])):
        words[-1] = schema[1] + b"_" + GROUP
        numbers.append(float(schema[2]))
        words.append(text)
    elif text == b")":
        words.append(text)
        _fold_row(words)
    else:
        words.append(text)


def _name(words: list[bytes], name: bytes) -> None:
    """A name; behind a sign that marks a parameter (``:name``, ``@name``) it is one, and a literal's like."""
    if words and words[-1] in (b":", b"@") and words[-2:-1] != [b":"]:
        words.pop()
        _literal(words)
    else:
        words.append(name)


def _signed(words: list[bytes]) -> bytes:
    """Take off the sign that belongs to the number now read, if one does."""
    if len(words) < 2 or words[-1] not in SIGNS:
        return b""
    before = words[-2]
    return words.pop() if before in BEFORE_SIGNED or before in WORDS_BEFORE_SIGNED else b""


def _literal(words: list[bytes]) -> None:
    """A literal; one that continues a list of them adds nothing."""
    if words and words[-1] == b"$":  # $1
        words.pop()
    if words[-2:] == [VALUE, b","]:
        words.pop()
    else:
        words.append(VALUE)


def _fold_row(words: list[bytes]) -> None:
    """Rows of literals, as behind VALUES, add nothing after the first."""
    if words[-7:] == [b"(", VALUE, b")", b",", b"(", VALUE, b")"]:
        del words[-4:]


def _value(text: bytes) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None  # 0x1F, 12abc
