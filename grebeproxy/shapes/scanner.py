"""Splits a statement into what SQL tells apart, on bytes and within bounds, and finds its group of tables.

One scanner for all that reads statements: what hides names (strings, comments) is known here only.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import Enum, auto

# In the order that alternatives are tried: what hides names, names, and all else a character at a time.
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
COMMENT_EDGE = re.compile(rb"/\*|\*/")
SCHEMA = re.compile(rb"(.*)_(\d{1,9})", re.DOTALL)
STAGING = b"staging"
MOST_SCANNED = 16 * 1024  # a longer statement is read so far only: reading must not stall the loop
TABLE_WORDS = {b"from", b"join", b"into", b"update", b"table", b"using", b"only", b"truncate"}


class Part(Enum):
    """What a token is."""

    NAME = auto()
    QUOTED = auto()
    STRING = auto()
    NUMBER = auto()
    OTHER = auto()


PARTS = {part.name.lower(): part for part in Part}  # by the group of the pattern that found it
Token = tuple[Part, bytes]  # a quoted name stands without its quotes


def scan(statement: bytes) -> Iterator[Token]:
    """The tokens of a statement, as far as it is read; comments and white space are left out."""
    statement = statement[:MOST_SCANNED]
    at = 0
    while found := TOKENS.match(statement, at):
        at = found.end()
        part = PARTS.get(found.lastgroup or "")
        if part is not None:
            yield part, found[0][1:-1] if part is Part.QUOTED else found[0]
        elif found.lastgroup == "comment":
            at = _after_comment(statement, at)


def numbered_schema(name: bytes) -> re.Match[bytes] | None:
    """The parts of a schema's name before and behind the underscore, where it has a number that counts."""
    found = SCHEMA.fullmatch(name)
    return found if found and found[1].lower() != STAGING else None


def table_group(statement: bytes) -> int | None:
    """The number after the underscore in the name of the schema that is read or written, if there is one.

    What stands behind a word such as FROM goes before other names: those may be columns behind an alias.
    """
    first: int | None = None
    before, dotted = b"", False  # the name just read, and whether a dot came after it
    table = table_next = False  # the name just read stands, or the next one would stand, for a table
    for part, text in scan(statement):
        if part in (Part.NAME, Part.QUOTED):
            if dotted and (schema := numbered_schema(before)):
                if table:
                    return int(schema[2])
                first = int(schema[2]) if first is None else first
            table = table_next or (dotted and table)
            table_next = part is Part.NAME and text.lower() in TABLE_WORDS
            before, dotted = text, False
        elif part in (Part.OTHER, Part.NUMBER):
            dotted = text == b"." and bool(before)
            before, table_next = before if dotted else b"", False
    return first


def _after_comment(statement: bytes, at: int) -> int:
    """Where a block comment ends; they nest."""
    depth = 1
    while depth and (edge := COMMENT_EDGE.search(statement, at)):
        depth, at = depth + (1 if edge[0] == b"/*" else -1), edge.end()
    return at if not depth else len(statement)
