"""Derives figures at the target from rows and records, and checks the evidence behind them."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from grebeproxy.lab.capacity.errors import FigureError, FitError
from grebeproxy.lab.capacity.fit import Fit, Model, fit
from grebeproxy.lab.capacity.rows import MISSING_MECHANISM, Number, NumberOrName, RequestPath, Row, Stage
from grebeproxy.lab.record import Record, RecordError, load_record

MIN_SIZES = 4  # distinct sizes that a fit requires unless the row states an assumption
MIN_LARGEST_FRACTION = 0.1  # minimum largest measured size, as a fraction of the target
STRAIGHT_LINES = (Model.LINEAR, Model.AFFINE)
ON_EVERY_PATH = (RequestPath.STATEMENT, RequestPath.CONTROL)


@dataclass(frozen=True, slots=True)
class Figure:
    """A row's value at the target, and its budget."""

    row: Row
    value: float
    fit: Fit | None = None
    target: float = 0.0
    budget: float | None = None
    record: Record | None = None
    measured: float | None = None  # mean of the values measured at the target itself, if any

    @property
    def times_budget(self) -> float | None:
        """The value divided by its budget, or ``None`` if the row has no budget."""
        if self.budget is None:
            return None
        return self.value / self.budget if self.budget else math.inf

    @property
    def over_budget(self) -> bool:
        """Whether the value is above its budget."""
        return self.times_budget is not None and self.times_budget > 1


class Figures:
    """Computes figures by row id and caches them. Sums and products are computed from other rows."""

    def __init__(self, rows: Sequence[Row], targets: Mapping[str, Number], folder: Path) -> None:
        self._rows = {row.id: row for row in rows}
        self._targets = targets
        self._folder = folder
        self._records: dict[str, Record] = {}
        self._figures: dict[str, Figure] = {}
        self._in_progress: set[str] = set()

    def of(self, row_id: str) -> Figure:
        """Return the figure of a row. Raises ``FigureError``."""
        if row_id not in self._figures:
            self._figures[row_id] = self._compute(row_id)
        return self._figures[row_id]

    def number(self, row_id: str, reference: NumberOrName) -> float:
        """Return a number itself, or the value of the target or row of that name. Raises ``FigureError``."""
        if not isinstance(reference, str):
            return float(reference)
        if reference in self._targets:
            return float(self._targets[reference])
        if reference in self._rows:
            return self.of(reference).value
        raise FigureError(f"{row_id}: {reference} is neither a target nor a row")

    def _compute(self, row_id: str) -> Figure:
        if row_id not in self._rows:
            raise FigureError(f"{row_id}: the row does not exist")
        if row_id in self._in_progress:
            raise FigureError(f"{row_id}: the row depends on itself")
        self._in_progress.add(row_id)
        try:
            return self._figure(self._rows[row_id])
        finally:
            self._in_progress.discard(row_id)

    def _figure(self, row: Row) -> Figure:
        budget = None if row.budget is None else self.number(row.id, row.budget)
        if row.fitted:
            return self._fitted(row, budget)
        return Figure(row, self._derived(row) * row.factor, budget=budget)

    def _derived(self, row: Row) -> float:
        if row.sum:
            return sum(self.of(part).value for part in row.sum)
        if row.product:
            factors = math.prod(self.number(row.id, part) for part in row.product)
            return factors / math.prod(self.number(row.id, part) for part in row.over)
        if row.assumption and row.value is not None:
            return self.number(row.id, row.value)
        raise FigureError(f"{row.id}: the row has no record, sum, product or assumption with a value")

    def _fitted(self, row: Row, budget: float | None) -> Figure:
        record = self._record(row)
        points = [point for point in record.points if _is_selected(row, point.sizes, point.values)]
        sizes = [point.sizes[row.axis] for point in points]
        try:
            fitted = fit(row.fit, sizes, [point.values[row.metric] for point in points])
        except FitError as error:
            raise FigureError(f"{row.id}: {row.record}: {row.metric} over {row.axis}: {error}") from None
        target = self.number(row.id, row.target)
        at_target = [point.values[row.metric] for point in points if point.sizes[row.axis] == target]
        measured = sum(at_target) / len(at_target) * row.factor if at_target else None
        return Figure(row, fitted.at(target) * row.factor, fitted, target, budget, record, measured)

    def _record(self, row: Row) -> Record:
        if row.record not in self._records:
            try:
                self._records[row.record] = load_record(self._folder / row.record)
            except RecordError as error:
                raise FigureError(f"{row.id}: {error}") from None
        return self._records[row.record]


def _is_selected(row: Row, sizes: Mapping[str, float], values: Mapping[str, float]) -> bool:
    matches = all(sizes.get(name) == size for name, size in row.where.items())
    return matches and row.metric in values and sizes.get(row.axis, -1) >= row.from_size


def evidence_problems(figure: Figure) -> list[str]:
    """Return what the evidence behind a figure lacks by the rules for figures."""
    row = figure.row
    problems = _declaration_problems(row)
    if figure.fit is not None:
        problems += _fit_problems(figure, figure.fit)
    return [f"{row.id}: {problem}" for problem in problems]


def _declaration_problems(row: Row) -> list[str]:
    problems: list[str] = []
    if row.mechanism == MISSING_MECHANISM and not row.without:
        problems.append("the mechanism is missing, and `without` does not state the consequence")
    if row.budget is not None and not row.budget_source:
        problems.append("the budget has no source")
    return problems


def _fit_problems(figure: Figure, fitted: Fit) -> list[str]:
    row = figure.row
    problems: list[str] = []
    measured = sorted(set(fitted.sizes))
    if len(measured) < MIN_SIZES and not row.assumption:
        problems.append(f"{len(measured)} sizes measured, at least {MIN_SIZES} required")
    if measured[-1] < MIN_LARGEST_FRACTION * figure.target and not row.short:
        problems.append(
            f"the largest size, {measured[-1]:g}, is below a tenth of the target {figure.target:g}"
        )
    if row.from_size and not row.why:
        problems.append("small sizes are left out, and `why` gives no reason")
    if row.fit not in STRAIGHT_LINES and not row.why:
        problems.append(f"fitted as {row.fit.value}, and `why` gives no reason")
    return problems


def ranking(figures: Sequence[Figure], stage: Stage) -> list[Figure]:
    """Return the rows over budget at a stage, those on the path of every statement or of every router's
    control first, and otherwise those that exceed their budget by the largest factor first.
    """
    over_budget = [
        figure for figure in figures if figure.over_budget and figure.row.stage in (Stage.BOTH, stage)
    ]
    return sorted(over_budget, key=_ranking_key)


def _ranking_key(figure: Figure) -> tuple[bool, float, str]:
    return figure.row.path not in ON_EVERY_PATH, -(figure.times_budget or 0.0), figure.row.id
