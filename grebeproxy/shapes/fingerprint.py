"""The shape of a statement: what is left without literals, list lengths and the schema's number.

Statements that differ only in these have the same shape; another table, join or aggregate is another shape.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from hashlib import blake2b

from grebeproxy.shapes.scanner import MAX_SCANNED_BYTES, Token, TokenKind, numbered_schema, scan

LITERAL = b"?"  # stands for a literal or a parameter
SCHEMA_NUMBER = b"#"  # stands for the number of a schema
MINUS = b"-"
SIGNS = (MINUS, b"+")
# After these a sign belongs to the number behind it; after a name or a value it is an operator.
SYMBOLS_BEFORE_SIGNED = frozenset((b"(", b",", b"=", b"<", b">", b"[", b"+", b"-", b"*", b"/", b"%"))
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
UNQUOTED_NAME = re.compile(rb"[a-z_][a-z0-9_$]*")  # a name that needs no quotes
PARAMETER_SIGNS = (b":", b"@")  # before a name: ``:name``, ``@name``
NUMBERED_PARAMETER_SIGN = b"$"  # before a number: ``$1``
LIST_SO_FAR = [LITERAL, b","]
ROW = [b"(", LITERAL, b")"]
TWO_ROWS = [*ROW, b",", *ROW]
MAX_NUMBERS = 32  # of a statement that are kept
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Shape:
    """A statement's shape, and its first ``MAX_NUMBERS`` numbers in order, those of schemas included."""

    digest: bytes
    text: bytes
    numbers: tuple[float, ...]


def shape_of(statement: bytes) -> Shape | None:
    """The shape; ``None`` for a statement that is empty, or longer than ``MAX_SCANNED_BYTES``."""
    if len(statement) > MAX_SCANNED_BYTES:
        return None
    builder = _ShapeBuilder()
    for token in scan(statement):
        builder.add(token)
    return builder.shape()


class _ShapeBuilder:
    """Puts a shape together, token by token."""

    def __init__(self) -> None:
        self._words: list[bytes] = []  # of the shape
        self._numbers: list[float] = []

    def shape(self) -> Shape | None:
        """The shape without semicolons at its end; ``None`` where nothing else was added."""
        words = self._words
        while words and words[-1] == b";":
            words.pop()
        if not words:
            return None
        text = b" ".join(words)
        digest = blake2b(text, digest_size=DIGEST_BYTES).digest()
        return Shape(digest, text, tuple(self._numbers[:MAX_NUMBERS]))

    def add(self, token: Token) -> None:
        """Add a token of the statement."""
        kind, text = token
        if kind is TokenKind.NUMBER:
            self._add_number(text)
        elif kind is TokenKind.STRING:
            self._add_literal()
        elif kind is TokenKind.NAME:
            self._add_name(text.lower())
        elif kind is TokenKind.QUOTED:
            # As in the engines, a quoted name that needs no quotes is the same as without them.
            self._add_name(text if UNQUOTED_NAME.fullmatch(text) else b'"' + text + b'"')
        else:
            self._add_symbol(text)

    def _add_number(self, text: bytes) -> None:
        factor = -1.0 if self._pop_sign() == MINUS else 1.0
        value = _value(text)
        if value is not None:
            self._numbers.append(factor * value)
        self._add_literal()

    def _pop_sign(self) -> bytes | None:
        """Remove the sign that belongs to the number being added, and return it."""
        match self._words:
            case [*_, before, sign] if sign in SIGNS:
                if before in SYMBOLS_BEFORE_SIGNED or before in WORDS_BEFORE_SIGNED:
                    return self._words.pop()
        return None

    def _add_literal(self) -> None:
        """Add a literal; one that continues a list of them adds nothing."""
        words = self._words
        if words and words[-1] == NUMBERED_PARAMETER_SIGN:
            words.pop()
        if words[-len(LIST_SO_FAR) :] == LIST_SO_FAR:
            words.pop()
        else:
            words.append(LITERAL)

    def _add_name(self, name: bytes) -> None:
        """Add a name; one behind a parameter's sign is a parameter, which counts as a literal."""
        words = self._words
        # Behind two colons it is the type of a cast.
        if words and words[-1] in PARAMETER_SIGNS and words[-2:-1] != [b":"]:
            words.pop()
            self._add_literal()
        else:
            words.append(name)

    def _add_symbol(self, text: bytes) -> None:
        words = self._words
        if text == b"." and words:
            self._replace_schema_number()
        words.append(text)
        # A row of literals, as behind VALUES, adds nothing after the first.
        if text == b")" and words[-len(TWO_ROWS) :] == TWO_ROWS:
            del words[-len(ROW) - 1 :]

    def _replace_schema_number(self) -> None:
        """Replace the number of the schema whose name was added last, if it has one."""
        schema = numbered_schema(self._words[-1])
        if schema is not None:
            self._words[-1] = schema[1] + b"_" + SCHEMA_NUMBER
            self._numbers.append(float(schema[2]))


def _value(text: bytes) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None  # 0x1F, 12abc
