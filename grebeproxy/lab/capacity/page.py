"""The capacity page: rendered from its template, the declared rows and the records, and compared with them.

Placeholders of the template, ``docs/capacity/page.md``, in double braces:

- ``target:NAME``, ``figure:ROW.FIELD`` (``value``, ``budget``, ``times``, ``slope``, ``residual``,
  ``beyond``, or ``measured`` where the target was one of the sizes);
- ``table:ROLE`` (what the role takes, and the evidence), ``ranking:STAGE``, ``choice:STAGE``, with
  ``before`` or ``now`` as the stage;
- ``bounds``, ``records``;
- ``include:FILE``, a file of ``docs/capacity`` whose placeholders are replaced as well;
  ``optional:FILE``, the same, or a sentence where it is not there.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from difflib import unified_diff
from functools import cached_property
from importlib.util import find_spec
from pathlib import Path

from grebeproxy.lab.capacity import tables
from grebeproxy.lab.capacity.bounds import problems_of
from grebeproxy.lab.capacity.figures import Figure, FigureError, Figures, evidence_problems, ranking
from grebeproxy.lab.capacity.numbers import percent, shown, with_unit
from grebeproxy.lab.capacity.rows import (
    ROLES,
    Bound,
    DeclarationError,
    Number,
    Row,
    Stage,
    load_bounds,
    load_rows,
    load_targets,
)
from grebeproxy.lab.record import Record, RecordError, load_record

PAGE = "CAPACITY.md"
FOLDER = "capacity"
TEMPLATE = "page.md"
PLACEHOLDER = re.compile(r"\{\{([^{}]+)\}\}")
WITHOUT_FIGURES = re.compile(r"\{\{[^{}]+\}\}|`[^`]*`")  # of the template: the rest may hold no digit
MODULE = re.compile(r"`(grebeproxy(?:\.\w+)+)`")


class PageError(Exception):
    """A page that cannot be rendered; the text names the placeholder or the declaration."""


@dataclass(frozen=True)
class Page:
    """The template, rows, bounds and records of one documentation folder."""

    docs: Path

    @property
    def folder(self) -> Path:
        """Where the records, the template and the declarations are."""
        return self.docs / FOLDER

    @cached_property
    def rows(self) -> list[Row]:
        """The declared rows."""
        return load_rows(self.folder / "rows")

    @cached_property
    def bounds(self) -> list[Bound]:
        """The declared bounds that contradict the target."""
        return load_bounds(self.folder / "bounds")

    @cached_property
    def targets(self) -> dict[str, Number]:
        """The fleet's target."""
        return load_targets(self.folder / "targets.toml")

    @cached_property
    def figures(self) -> Figures:
        """The rows' values at the target."""
        return Figures(self.rows, self.targets, self.folder)

    def render(self) -> str:
        """The page. Raises ``PageError``."""
        try:
            return self._filled((self.folder / TEMPLATE).read_text())
        except (OSError, DeclarationError, FigureError, RecordError) as error:
            raise PageError(str(error)) from None

    def problems(self) -> list[str]:
        """What is wrong with the declarations and the evidence, whatever the page says."""
        try:
            told = [*self._template_problems(), *self._row_problems(), *self._unused_roles()]
            return told + [problem for bound in self.bounds for problem in problems_of(bound)]
        except (OSError, DeclarationError) as error:
            return [str(error)]

    def differences(self) -> list[str]:
        """Where the written page differs from what the records give, line by line. Raises ``PageError``."""
        path = self.docs / PAGE
        written = path.read_text().splitlines() if path.exists() else []
        rendered = self.render().splitlines()
        return list(unified_diff(written, rendered, PAGE, "from the records", lineterm="", n=0))

    def write(self) -> None:
        """Render the page and write it. Raises ``PageError``."""
        (self.docs / PAGE).write_text(self.render())

    def _filled(self, text: str) -> str:
        return PLACEHOLDER.sub(lambda match: self._replacement(match[1].strip()), text)

    def _replacement(self, placeholder: str) -> str:
        kind, _, name = placeholder.partition(":")
        renderers: dict[str, Callable[[str], str]] = {
            "target": lambda name: shown(self._target(name)),
            "figure": self._figure_text,
            "table": self._role_tables,
            "ranking": lambda stage: tables.ranking_table(self._ranked(stage)),
            "choice": lambda stage: tables.choice_text(self._ranked(stage)),
            "bounds": lambda _: tables.bounds_table(self.bounds, self.figures),
            "records": lambda _: tables.records_table(self._records()),
            "include": self._included,
            "optional": self._included_if_there,
        }
        if kind not in renderers:
            raise PageError(f"{{{{{placeholder}}}}}: not known")
        return renderers[kind](name)

    def _target(self, name: str) -> Number:
        if name not in self.targets:
            raise PageError(f"{{{{target:{name}}}}}: there is no such target")
        return self.targets[name]

    def _figure_text(self, name: str) -> str:
        row_id, _, field = name.rpartition(".")
        figure = self.figures.of(row_id)
        fitted = figure.fit
        if field == "value":
            return with_unit(figure.value, figure.row.unit)
        if field == "budget" and figure.budget is not None:
            return with_unit(figure.budget, figure.row.unit)
        if field == "times" and figure.times_budget is not None:
            return shown(figure.times_budget)
        if field == "measured" and figure.measured is not None:
            return with_unit(figure.measured, figure.row.unit)
        if field == "slope" and fitted is not None:
            return with_unit(fitted.slope, figure.row.metric_unit or figure.row.unit)
        if field == "residual" and fitted is not None:
            return percent(fitted.residual)
        if field == "beyond" and fitted is not None:
            return shown(fitted.beyond(figure.target))
        raise PageError(f"{{{{figure:{name}}}}}: the row has no {field}")

    def _role_tables(self, role: str) -> str:
        if role not in ROLES:
            raise PageError(f"{{{{table:{role}}}}}: there is no such role")
        figures = [self.figures.of(row.id) for row in self.rows if row.role == role]
        if not figures:
            return "No row is declared for this role."
        return f"{tables.role_table(figures)}\n\n{tables.evidence_table(figures)}"

    def _ranked(self, stage: str) -> list[Figure]:
        return ranking([self.figures.of(row.id) for row in self.rows], Stage(stage))

    def _records(self) -> list[tuple[str, Record]]:
        used = sorted({row.record for row in self.rows if row.record})
        return [(file, load_record(self.folder / file)) for file in used]

    def _included(self, file: str) -> str:
        return self._filled((self.folder / file).read_text()).rstrip("\n")

    def _included_if_there(self, file: str) -> str:
        return self._included(file) if (self.folder / file).exists() else "Not written yet."

    def _template_problems(self) -> list[str]:
        """Figures typed into the template, or the tables of what it includes: they follow from no record."""
        template = (self.folder / TEMPLATE).read_text()
        problems = _typed_figures(TEMPLATE, template.splitlines())
        for placeholder in PLACEHOLDER.findall(template):
            kind, _, file = placeholder.strip().partition(":")
            if kind in ("include", "optional") and (self.folder / file).exists():
                lines = (self.folder / file).read_text().splitlines()
                problems += _typed_figures(file, [line if line.startswith("|") else "" for line in lines])
        return problems

    def _row_problems(self) -> list[str]:
        problems: list[str] = []
        for row in self.rows:
            for module in MODULE.findall(row.mechanism):
                if not _is_module(module):
                    problems.append(f"{row.id}: its mechanism names {module}, which is no module")
            try:
                problems += evidence_problems(self.figures.of(row.id))
            except FigureError as error:
                problems.append(str(error))
        return problems

    def _unused_roles(self) -> list[str]:
        template = (self.folder / TEMPLATE).read_text()
        roles = sorted({row.role for row in self.rows})
        return [
            f"no table of the page shows the role {role}"
            for role in roles
            if f"table:{role}}}" not in template
        ]


def _typed_figures(file: str, lines: list[str]) -> list[str]:
    return [
        f"{file}:{number}: a figure that follows from nothing: {line.strip()}"
        for number, line in enumerate(lines, 1)
        if re.search(r"\d", WITHOUT_FIGURES.sub("", line))
    ]


def _is_module(name: str) -> bool:
    try:
        return find_spec(name) is not None
    except ModuleNotFoundError:
        return False
