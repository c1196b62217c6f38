"""Checks of the template and of the rows, whatever the written page says. Each returns problems as texts."""

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
WITHOUT_FIGURES = re.compile(r"\{\{[^{}]+\}\}|`[^`]*`")  # parts of the template that may hold digits
MODULE = re.compile(r"`(grebeproxy(?:\.\w+)+)`")


def template_problems(folder: Path, template: str) -> list[str]:
    """Figures typed into the template, or into tables of the files it includes, instead of derived."""
    text = (folder / template).read_text()
    problems = _typed_figures(template, text.splitlines())
    for content in PLACEHOLDER.findall(text):
        placeholder = Placeholder.parse(content)
        if placeholder.kind in INCLUDING and (folder / placeholder.name).exists():
            lines = (folder / placeholder.name).read_text().splitlines()
            table_lines = [line if line.startswith("|") else "" for line in lines]
            problems += _typed_figures(placeholder.name, table_lines)
    return problems


def row_problems(rows: Iterable[Row], figures: Figures) -> list[str]:
    """Rows whose mechanism names no module, whose evidence is lacking, or whose figure cannot be derived."""
    problems: list[str] = []
    for row in rows:
        for module in MODULE.findall(row.mechanism):
            if not _is_module(module):
                problems.append(f"{row.id}: its mechanism names {module}, which is no module")
        try:
            problems += evidence_problems(figures.of(row.id))
        except FigureError as error:
            problems.append(str(error))
    return problems


def unused_roles(rows: Iterable[Row], template: str) -> list[str]:
    """Roles of rows for which the template's text has no table."""
    roles = sorted({row.role for row in rows})
    return [
        f"no table of the page shows the role {role}" for role in roles if f"table:{role}}}" not in template
    ]


def _typed_figures(file: str, lines: Sequence[str]) -> list[str]:
    return [
        f"{file}:{number}: a figure that follows from nothing: {line.strip()}"
        for number, line in enumerate(lines, 1)
        if DIGIT.search(WITHOUT_FIGURES.sub("", line))
    ]


def _is_module(name: str) -> bool:
    try:
        return find_spec(name) is not None
    except ModuleNotFoundError:
        return False
