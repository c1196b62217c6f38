"""The form of the router's log lines: ``component.subject.event key=value ...``."""

from __future__ import annotations

import re

PLAIN_VALUE = re.compile(r"[^\s\"=\\]+")  # a value that needs no quotes


def log_line(event: str, **fields: object) -> str:
    """Format one line, such as ``router.configuration.rejected error="seed: must be hex digits"``.

    Values that are empty or contain white space, quotes, backslashes or equals signs are quoted, so that
    programs can parse the line.
    """
    return " ".join([event, *(f"{key}={_quoted(str(value))}" for key, value in fields.items())])


def _quoted(value: str) -> str:
    if PLAIN_VALUE.fullmatch(value):
        return value
    escaped = value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
