"""Which group of tables a statement reads or writes: a small scanner that knows what is no name in SQL."""

from __future__ import annotations

import re

# In the order that alternatives are tried: what hides names, names, and all else a character at a time.
TOKENS = re.compile(
    rb"""(?P<skip> --[^\n]*
              | '(?:[^']|'')*'?
              | \$(?P<tag>[A-Za-z_]*)\$.*?(?:\$(?P=tag)\$|\Z)
              | \s+ )
       | (?P<comment> /\* )
       | (?P<quoted> "(?:[^"]|"")*" | `(?:[^`]|``)*` )
       | (?P<name> [^\W\d][\w$]* )
       | (?P<other> . )""", re.VERBOSE | re.DOTALL)
COMMENT_EDGE = re.compile(rb"/\*|\*/")
SCHEMA = re.compile(rb"(.*)_(\d{1,9})", re.DOTALL)
STAGING = b"staging"
MOST_SCANNED = 16 * 1024  # a longer statement is read so far only: reading must not stall the loop
TABLE_WORDS = {b"from", b"join", b"into", b"update", b"table", b"using", b"only", b"truncate"}


def table_group(statement: bytes) -> int | None:
    """The number after the underscore in the name of the schema that is read or written, if there is one.

    What stands behind a word such as FROM goes before other names: those may be columns behind an alias.
    """
    statement = statement[:MOST_SCANNED]
    first: int | None = None
    before, dotted = b"", False  # the name just read, and whether a dot came after it
    table = table_next = False  # the name just read stands, or the next one would stand, for a table
    at = 0
    while found := TOKENS.match(statement, at):
        at = found.end()
        if found["comment"] is not None:
            at = _after_comment(statement, at)
        elif found["name"] is not None or found["quoted"] is not None:
            schema = SCHEMA.fullmatch(before) if dotted else None
            if schema and schema[1].lower() != STAGING:
                if table:
                    return int(schema[2])
                first = int(schema[2]) if first is None else first
            table = table_next or (dotted and table)
            table_next = found["name"] is not None and found["name"].lower() in TABLE_WORDS
            before, dotted = found["name"] or found["quoted"][1:-1], False
        elif found["other"] is not None:
            dotted = found["other"] == b"." and bool(before)
            before, table_next = before if dotted else b"", False
    return first


def _after_comment(statement: bytes, at: int) -> int:
    """Where a block comment ends; they nest."""
    depth = 1
    while depth and (edge := COMMENT_EDGE.search(statement, at)):
        depth, at = depth + (1 if edge[0] == b"/*" else -1), edge.end()
    return at if not depth else len(statement)
