"""Splits a statement's bytes into SQL tokens, up to a length limit, and finds the statement's table group.

The table group is the number at the end of a schema's name, as in ``sales_17``. No other module handles the
strings and comments, in which text may look like a name.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import Enum, auto

# The alternatives in the order in which they are tried: tokens that may contain text that looks like a name,
# then names and numbers, then any other character by itself.
TOKEN_PATTERN = re.compile(
    rb"""(?P<skip> --[^\n]* | \s+ )
       | (?P<string> '(?:[^']|'')*'? | \$(?P<tag>[A-Za-z_]*)\$.*?(?:\$(?P=tag)\$|\Z) )
       | (?P<comment> /\* )
       | (?P<quoted> "(?:[^"]|"")*" | `(?:[^`]|``)*` )
       | (?P<name> [^\W\d][\w$]* )
       | (?P<number> \d+(?:\.\d*)?(?:[eE][+-]?\d+)?\w* )
       | (?P<other> . )""",
    re.VERBOSE | re.DOTALL,
)
COMMENT_DELIMITER = re.compile(rb"/\*|\*/")
NUMBERED_SCHEMA = re.compile(rb"(.*)_(\d{1,9})", re.DOTALL)
STAGING_SCHEMA = b"staging"  # The number of a staging schema does not identify the data.
# The rest of a longer statement is ignored, because scanning must not block the event loop.
MAX_SCANNED_BYTES = 16 * 1024
WORDS_BEFORE_TABLE = {b"from", b"join", b"into", b"update", b"table", b"using", b"only", b"truncate"}


class TokenKind(Enum):
    """The kind of a token."""

    NAME = auto()
    QUOTED = auto()
    STRING = auto()
    NUMBER = auto()
    OTHER = auto()


# The kind of a token by the name of the group of ``TOKEN_PATTERN`` that matched.
KIND_BY_GROUP = {kind.name.lower(): kind for kind in TokenKind}
# Tokens are plain tuples, because each statement has many of them. Quoted names are without their quotes.
Token = tuple[TokenKind, bytes]


def scan(statement: bytes) -> Iterator[Token]:
    """The tokens of a statement's first ``MAX_SCANNED_BYTES``, without comments and whitespace."""
    statement = statement[:MAX_SCANNED_BYTES]
    position = 0
    while found := TOKEN_PATTERN.match(statement, position):
        position = found.end()
        kind = KIND_BY_GROUP.get(found.lastgroup or "")
        if kind is not None:
            yield kind, found[0][1:-1] if kind is TokenKind.QUOTED else found[0]
        elif found.lastgroup == "comment":
            position = _comment_end(statement, position)


def numbered_schema(name: bytes) -> re.Match[bytes] | None:
    """A match whose groups are a schema's name and number, or ``None`` without a number and for staging."""
    found = NUMBERED_SCHEMA.fullmatch(name)
    return found if found and found[1].lower() != STAGING_SCHEMA else None


def table_group(statement: bytes) -> int | None:
    """The number in the name of the schema that a statement reads or writes, or ``None`` without a number.

    A name behind a word such as FROM takes precedence over other names, which may be columns behind an alias.
    """
    first: int | None = None  # number of the first schema whose name may not be part of a table's name
    previous = b""  # latest name; empty after a number or a symbol other than a dot
    dotted = False  # A dot follows ``previous``.
    is_table = False  # ``previous`` is part of a table's name.
    table_follows = False  # The next name is part of a table's name.
    for kind, text in scan(statement):
        if kind in (TokenKind.NAME, TokenKind.QUOTED):
            if dotted and (schema := numbered_schema(previous)):
                if is_table:
                    return int(schema[2])
                first = int(schema[2]) if first is None else first
            is_table = table_follows or (dotted and is_table)
            table_follows = kind is TokenKind.NAME and text.lower() in WORDS_BEFORE_TABLE
            previous = text
            dotted = False
        elif kind in (TokenKind.OTHER, TokenKind.NUMBER):
            dotted = text == b"." and bool(previous)
            previous = previous if dotted else b""
            table_follows = False
    return first


def _comment_end(statement: bytes, position: int) -> int:
    """The position of the end of the block comment that contains ``position``; comments nest."""
    depth = 1
    while depth and (delimiter := COMMENT_DELIMITER.search(statement, position)):
        depth += 1 if delimiter[0] == b"/*" else -1
        position = delimiter.end()
    return position if not depth else len(statement)
