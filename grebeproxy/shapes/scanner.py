"""Splits a statement into SQL tokens, on bytes and within bounds, and finds its group of tables.

The only place that knows what may hide names: strings and comments.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import Enum, auto

# Alternatives in the order they are tried: what may hide names, names, and all else a character at a time.
TOKENS = re.compile(
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
SCHEMA = re.compile(rb"(.*)_(\d{1,9})", re.DOTALL)
STAGING_SCHEMA = b"staging"  # its number says nothing of the data
MAX_SCANNED_BYTES = 16 * 1024  # of a statement; the rest is ignored, as scanning must not stall the loop
WORDS_BEFORE_TABLE = {b"from", b"join", b"into", b"update", b"table", b"using", b"only", b"truncate"}


class TokenKind(Enum):
    """What a token is."""

    NAME = auto()
    QUOTED = auto()
    STRING = auto()
    NUMBER = auto()
    OTHER = auto()


KINDS = {kind.name.lower(): kind for kind in TokenKind}  # by the group of the pattern that matched
Token = tuple[TokenKind, bytes]  # a plain tuple, as each statement makes many; quoted names without quotes


def scan(statement: bytes) -> Iterator[Token]:
    """The tokens of a statement's first ``MAX_SCANNED_BYTES``, without comments and white space."""
    statement = statement[:MAX_SCANNED_BYTES]
    position = 0
    while found := TOKENS.match(statement, position):
        position = found.end()
        kind = KINDS.get(found.lastgroup or "")
        if kind is not None:
            yield kind, found[0][1:-1] if kind is TokenKind.QUOTED else found[0]
        elif found.lastgroup == "comment":
            position = _comment_end(statement, position)


def numbered_schema(name: bytes) -> re.Match[bytes] | None:
    """A match whose groups are a schema's name and number; ``None`` without a number, and for staging."""
    found = SCHEMA.fullmatch(name)
    return found if found and found[1].lower() != STAGING_SCHEMA else None


def table_group(statement: bytes) -> int | None:
    """The number in the name of the schema that a statement reads or writes; ``None`` where it has none.

    A name behind a word such as FROM takes precedence over others, which may be columns behind an alias.
    """
    first: int | None = None  # of a name that may not be a table's
    previous = b""  # the name before this token
    dotted = False  # a dot follows ``previous``
    is_table = False  # ``previous`` is part of a table's name
    table_follows = False  # the next name is part of a table's name
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
    """Where the block comment ends in which ``position`` is; comments nest."""
    depth = 1
    while depth and (delimiter := COMMENT_DELIMITER.search(statement, position)):
        depth += 1 if delimiter[0] == b"/*" else -1
        position = delimiter.end()
    return position if not depth else len(statement)
