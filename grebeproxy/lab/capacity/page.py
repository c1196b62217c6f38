"""Renders the capacity page from its template, the declared rows and the records, and checks it.

The template, ``docs/capacity/page.md``, has these placeholders in double braces:

- ``target:NAME``, ``figure:ROW.FIELD`` (``value``, ``budget``, ``times``, ``slope``, ``residual``,
  ``beyond``, or ``measured`` where the target was one of the sizes);
- ``table:ROLE`` (what the role needs, and the evidence), ``ranking:STAGE``, ``choice:STAGE``, with
  ``before`` or ``now`` as the stage;
- ``bounds``, ``records``;
- ``include:FILE``, a file of ``docs/capacity`` whose placeholders are replaced as well;
  ``optional:FILE``, which does the same, or inserts a sentence if the file does not exist.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from difflib import unified_diff
from functools import cached_property
from pathlib import Path

from grebeproxy.lab.capacity import checks, tables
from grebeproxy.lab.capacity.bounds import problems_of
from grebeproxy.lab.capacity.declarations import load_bounds, load_rows, load_targets
from grebeproxy.lab.capacity.errors import DeclarationError, FigureError, PageError
from grebeproxy.lab.capacity.figures import Figure, Figures, ranking
from grebeproxy.lab.capacity.numbers import format_number, format_percent, format_with_unit
from grebeproxy.lab.capacity.placeholders import PLACEHOLDER, Placeholder
from grebeproxy.lab.capacity.rows import ROLES, Bound, Number, Row, Stage
from grebeproxy.lab.record import RecordError, load_record

PAGE = "CAPACITY.md"
FOLDER = "capacity"
TEMPLATE = "page.md"


@dataclass(frozen=True)
class Page:
    """The template, rows, bounds and records of one documentation folder."""

    docs: Path

    @property
    def folder(self) -> Path:
        """The folder of the records, the template and the declarations."""
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
        """The target sizes of the fleet by name."""
        return load_targets(self.folder / "targets.toml")

    @cached_property
    def figures(self) -> Figures:
        """The rows' figures at the target."""
        return Figures(self.rows, self.targets, self.folder)

    def render(self) -> str:
        """Return the text of the page. Raises ``PageError``."""
        try:
            return self._filled((self.folder / TEMPLATE).read_text())
        except (OSError, DeclarationError, FigureError, RecordError) as error:
            raise PageError(str(error)) from None

    def problems(self) -> list[str]:
        """Return problems of the declarations and the evidence, independently of the written page."""
        try:
            template = (self.folder / TEMPLATE).read_text()
            return [
                *checks.template_problems(self.folder, TEMPLATE),
                *checks.row_problems(self.rows, self.figures),
                *checks.unused_roles(self.rows, template),
                *(problem for bound in self.bounds for problem in problems_of(bound)),
            ]
        except (OSError, DeclarationError) as error:
            return [str(error)]

    def differences(self) -> list[str]:
        """Return a line diff from the written page to the rendered page. Raises ``PageError``."""
        path = self.docs / PAGE
        written = path.read_text().splitlines() if path.exists() else []
        rendered = self.render().splitlines()
        return list(unified_diff(written, rendered, PAGE, "from the records", lineterm="", n=0))

    def write(self) -> None:
        """Render the page and write it. Raises ``PageError``."""
        (self.docs / PAGE).write_text(self.render())

    def _filled(self, text: str) -> str:
        return PLACEHOLDER.sub(lambda match: self._replacement(match[1].strip()), text)

    def _replacement(self, content: str) -> str:
        placeholder = Placeholder.parse(content)
        renderers: dict[str, Callable[[str], str]] = {
            "target": lambda name: format_number(self._target(name)),
            "figure": self._figure_text,
            "table": self._role_tables,
            "ranking": lambda stage: tables.ranking_table(self._ranked(stage)),
            "choice": lambda stage: tables.choice_text(self._ranked(stage)),
            "bounds": lambda _: tables.bounds_table(self.bounds, self.figures),
            "records": lambda _: tables.records_table(self._records()),
            "include": self._included,
            "optional": self._included_if_present,
        }
        if placeholder.kind not in renderers:
            raise PageError(f"{{{{{content}}}}}: unknown placeholder")
        return renderers[placeholder.kind](placeholder.name)

    def _target(self, name: str) -> Number:
        if name not in self.targets:
            raise PageError(f"{{{{target:{name}}}}}: the target does not exist")
        return self.targets[name]

    def _figure_text(self, name: str) -> str:
        row_id, _, field = name.rpartition(".")
        figure = self.figures.of(row_id)
        fitted = figure.fit
        if field == "value":
            return format_with_unit(figure.value, figure.row.unit)
        if field == "budget" and figure.budget is not None:
            return format_with_unit(figure.budget, figure.row.unit)
        if field == "times" and figure.times_budget is not None:
            return format_number(figure.times_budget)
        if field == "measured" and figure.measured is not None:
            return format_with_unit(figure.measured, figure.row.unit)
        if field == "slope" and fitted is not None:
            return format_with_unit(fitted.slope, figure.row.metric_unit or figure.row.unit)
        if field == "residual" and fitted is not None:
            return format_percent(fitted.residual)
        if field == "beyond" and fitted is not None:
            return format_number(fitted.extrapolation(figure.target))
        raise PageError(f"{{{{figure:{name}}}}}: the row has no {field}")

    def _role_tables(self, role: str) -> str:
        if role not in ROLES:
            raise PageError(f"{{{{table:{role}}}}}: the role does not exist")
        figures = [self.figures.of(row.id) for row in self.rows if row.role == role]
        if not figures:
            return "No row is declared for this role."
        return f"{tables.role_table(figures)}\n\n{tables.evidence_table(figures)}"

    def _ranked(self, stage: str) -> list[Figure]:
        return ranking([self.figures.of(row.id) for row in self.rows], Stage(stage))

    def _records(self) -> list[tables.RecordFile]:
        used = sorted({row.record for row in self.rows if row.record})
        return [tables.RecordFile(file, load_record(self.folder / file)) for file in used]

    def _included(self, file: str) -> str:
        return self._filled((self.folder / file).read_text()).rstrip("\n")

    def _included_if_present(self, file: str) -> str:
        return self._included(file) if (self.folder / file).exists() else "Not written yet."
