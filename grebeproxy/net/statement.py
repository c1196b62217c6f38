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


def table_group(statement: bytes) -> int | None:
    """The number after the underscore in the first schema that counts, or None where there is none."""
    before: bytes | None = None  # the name just read, and whether a dot came after it
    dotted = False
    at = 0
    while found := TOKENS.match(statement, at):
        at = found.end()
        if found["comment"] is not None:
            at = _after_comment(statement, at)
        elif found["name"] is not None or found["quoted"] is not None:
            if dotted and before is not None:
                schema = SCHEMA.fullmatch(before)
                if schema and schema[1].lower() != STAGING:
                    return int(schema[2])
            before, dotted = found["name"] or found["quoted"][1:-1], False
        elif found["other"] is not None:
            dotted = found["other"] == b"." and before is not None
            before = before if dotted else None
    return None


def _after_comment(statement: bytes, at: int) -> int:
    """Where a block comment ends; they nest."""
    depth = 1
    while depth and (edge := COMMENT_EDGE.search(statement, at)):
        depth, at = depth + (1 if edge[0] == b"/*" else -1), edge.end()
    return at if not depth else len(statement)
