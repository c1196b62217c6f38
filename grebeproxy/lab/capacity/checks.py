"""Checks the template and the rows, independently of the written page.

Each check returns its problems as texts.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from importlib.util import find_spec
from pathlib import Path

from grebeproxy.lab.capacity.errors import FigureError
from grebeproxy.lab.capacity.figures import Figures, evidence_problems
from grebeproxy.lab.capacity.placeholders import INCLUDING, PLACEHOLDER, Placeholder
from grebeproxy.lab.capacity.rows import Row

DIGIT = re.compile(r"\d")
MAY_CONTAIN_DIGITS = re.compile(r"\{\{[^{}]+\}\}|`[^`]*`")  # placeholders and code spans may contain digits
MODULE_NAME = re.compile(r"`(grebeproxy(?:\.\w+)+)`")


def template_problems(folder: Path, template: str) -> list[str]:
    """Find numbers typed by hand into the template or into tables of the files that it includes."""
    text = (folder / template).read_text()
    problems = _hand_typed_numbers(template, text.splitlines())
    for content in PLACEHOLDER.findall(text):
        placeholder = Placeholder.parse(content)
        if placeholder.kind in INCLUDING and (folder / placeholder.name).exists():
            lines = (folder / placeholder.name).read_text().splitlines()
            table_lines = [line if line.startswith("|") else "" for line in lines]
            problems += _hand_typed_numbers(placeholder.name, table_lines)
    return problems


def row_problems(rows: Iterable[Row], figures: Figures) -> list[str]:
    """Find rows that name a nonexistent module, lack evidence or have a figure that cannot be derived."""
    problems: list[str] = []
    for row in rows:
        for module in MODULE_NAME.findall(row.mechanism):
            if not _is_module(module):
                problems.append(f"{row.id}: its mechanism names {module}, which is not a module")
        try:
            problems += evidence_problems(figures.of(row.id))
        except FigureError as error:
            problems.append(str(error))
    return problems


def unused_roles(rows: Iterable[Row], template: str) -> list[str]:
    """Find roles that some row has and that the template shows no table for."""
    roles = sorted({row.role for row in rows})
    return [
        f"no table of the page shows the role {role}" for role in roles if f"table:{role}}}" not in template
    ]


def _hand_typed_numbers(file: str, lines: Sequence[str]) -> list[str]:
    return [
        f"{file}:{number}: the number is typed by hand, not derived: {line.strip()}"
        for number, line in enumerate(lines, 1)
        if DIGIT.search(MAY_CONTAIN_DIGITS.sub("", line))
    ]


def _is_module(name: str) -> bool:
    try:
        return find_spec(name) is not None
    except ModuleNotFoundError:
        return False
