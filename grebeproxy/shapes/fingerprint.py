"""The shape of a statement: its text without literals, list lengths and the numbers of schemas.

Statements that differ only in these have the same shape. Statements with different tables, joins or
aggregates have different shapes.
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
# After these symbols and words, a sign belongs to the number that follows. After a name or a value, the sign
# is an operator.
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
OPEN_LITERAL_LIST = [LITERAL, b","]
LITERAL_ROW = [b"(", LITERAL, b")"]
TWO_LITERAL_ROWS = [*LITERAL_ROW, b",", *LITERAL_ROW]
MAX_NUMBERS = 32  # numbers of a statement that are kept
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Shape:
    """A statement's shape, and its first ``MAX_NUMBERS`` numbers in order, including schema numbers."""

    digest: bytes
    text: bytes
    numbers: tuple[float, ...]


def shape_of(statement: bytes) -> Shape | None:
    """A statement's shape, or ``None`` if the statement is empty or longer than ``MAX_SCANNED_BYTES``."""
    if len(statement) > MAX_SCANNED_BYTES:
        return None
    builder = _ShapeBuilder()
    for token in scan(statement):
        builder.add(token)
    return builder.shape()


class _ShapeBuilder:
    """Builds a shape from the tokens of a statement."""

    def __init__(self) -> None:
        self._words: list[bytes] = []  # words of the shape
        self._numbers: list[float] = []

    def shape(self) -> Shape | None:
        """The shape without semicolons at its end, or ``None`` if nothing but semicolons was added."""
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
            # The engines treat a quoted name that needs no quotes like the unquoted name.
            self._add_name(text if UNQUOTED_NAME.fullmatch(text) else b'"' + text + b'"')
        else:
            self._add_symbol(text)

    def _add_number(self, text: bytes) -> None:
        factor = -1.0 if self._pop_sign() == MINUS else 1.0
        value = _parse_number(text)
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
        """Add a literal, unless it continues a list of literals, of which the shape holds only the first."""
        words = self._words
        if words and words[-1] == NUMBERED_PARAMETER_SIGN:
            words.pop()
        if words[-len(OPEN_LITERAL_LIST) :] == OPEN_LITERAL_LIST:
            words.pop()
        else:
            words.append(LITERAL)

    def _add_name(self, name: bytes) -> None:
        """Add a name. A name behind a parameter sign is a parameter, which counts as a literal."""
        words = self._words
        # A name behind two colons is the type of a cast.
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
        # Of several rows of literals, as behind VALUES, the shape holds only the first.
        if text == b")" and words[-len(TWO_LITERAL_ROWS) :] == TWO_LITERAL_ROWS:
            del words[-len(LITERAL_ROW) - 1 :]

    def _replace_schema_number(self) -> None:
        """Replace the number in the name that was added last, if it is the name of a numbered schema."""
        schema = numbered_schema(self._words[-1])
        if schema is not None:
            self._words[-1] = schema[1] + b"_" + SCHEMA_NUMBER
            self._numbers.append(float(schema[2]))


def _parse_number(text: bytes) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None  # A token such as 0x1F or 12abc has no value as a float.
