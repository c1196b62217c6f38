"""From rows and records to figures at the target, and what is wrong with the evidence behind them."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from grebeproxy.lab.capacity.fit import Fit, FitError, Model, fit
from grebeproxy.lab.capacity.rows import MISSING_MECHANISM, Number, NumberOrName, RequestPath, Row, Stage
from grebeproxy.lab.record import Record, RecordError, load_record

LEAST_SIZES = 4
LARGEST_PART = 0.1  # of the target that the largest measured size must reach
STRAIGHT = (Model.LINEAR, Model.AFFINE)
ON_EVERY_PATH = (RequestPath.STATEMENT, RequestPath.CONTROL)


class FigureError(Exception):
    """A row whose figure follows from nothing; the text begins with the row's id."""


@dataclass(frozen=True, slots=True)
class Figure:
    """A row's value at the target, beside its budget."""

    row: Row
    value: float
    fit: Fit | None = None
    target: float = 0.0
    budget: float | None = None
    record: Record | None = None
    measured: float | None = None  # at the target itself, where that was one of the sizes

    @property
    def times_budget(self) -> float | None:
        """The value over its budget, or ``None`` without a budget."""
        if self.budget is None:
            return None
        return self.value / self.budget if self.budget else math.inf

    @property
    def over_budget(self) -> bool:
        """Whether the value does not fit its budget."""
        return self.times_budget is not None and self.times_budget > 1


class Figures:
    """All figures by row id; rows that are sums or products are worked out from the others."""

    def __init__(self, rows: Sequence[Row], targets: Mapping[str, Number], folder: Path) -> None:
        self._rows = {row.id: row for row in rows}
        self._targets = targets
        self._folder = folder
        self._records: dict[str, Record] = {}
        self._figures: dict[str, Figure] = {}
        self._under_way: set[str] = set()

    def of(self, row_id: str) -> Figure:
        """The figure of a row. Raises ``FigureError``."""
        if row_id not in self._figures:
            self._figures[row_id] = self._work_out(row_id)
        return self._figures[row_id]

    def number(self, row_id: str, told: NumberOrName) -> float:
        """A number, the target of that name, or the value of the row of that name. Raises ``FigureError``."""
        if not isinstance(told, str):
            return float(told)
        if told in self._targets:
            return float(self._targets[told])
        if told in self._rows:
            return self.of(told).value
        raise FigureError(f"{row_id}: {told} is neither a target nor a row")

    def _work_out(self, row_id: str) -> Figure:
        if row_id not in self._rows:
            raise FigureError(f"{row_id}: there is no such row")
        if row_id in self._under_way:
            raise FigureError(f"{row_id}: follows from itself")
        self._under_way.add(row_id)
        try:
            return self._figure(self._rows[row_id])
        finally:
            self._under_way.discard(row_id)

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
        raise FigureError(
            f"{row.id}: follows from nothing: no record, sum, product or assumption with a value"
        )

    def _fitted(self, row: Row, budget: float | None) -> Figure:
        record = self._record(row)
        points = [point for point in record.points if _selected(row, point.sizes, point.values)]
        sizes = [point.sizes[row.axis] for point in points]
        try:
            fitted = fit(row.fit, sizes, [point.values[row.metric] for point in points])
        except FitError as error:
            raise FigureError(f"{row.id}: {row.record}: {row.metric} over {row.axis}: {error}") from None
        target = self.number(row.id, row.target)
        there = [point.values[row.metric] for point in points if point.sizes[row.axis] == target]
        measured = sum(there) / len(there) * row.factor if there else None
        return Figure(row, fitted.at(target) * row.factor, fitted, target, budget, record, measured)

    def _record(self, row: Row) -> Record:
        if row.record not in self._records:
            try:
                self._records[row.record] = load_record(self._folder / row.record)
            except RecordError as error:
                raise FigureError(f"{row.id}: {error}") from None
        return self._records[row.record]


def _selected(row: Row, sizes: Mapping[str, float], values: Mapping[str, float]) -> bool:
    fits = all(sizes.get(name) == size for name, size in row.where.items())
    return fits and row.metric in values and sizes.get(row.axis, -1) >= row.from_size


def evidence_problems(figure: Figure) -> list[str]:
    """What the rules for figures ask of a row and it does not have."""
    row, problems = figure.row, []
    if row.mechanism == MISSING_MECHANISM and not row.without:
        problems.append("the mechanism is missing, and `without` does not say what happens then")
    if row.budget is not None and not row.budget_source:
        problems.append("the budget has no source")
    if figure.fit is None:
        return [f"{row.id}: {problem}" for problem in problems]
    measured = sorted(set(figure.fit.sizes))
    if len(measured) < LEAST_SIZES and not row.assumption:
        problems.append(f"{len(measured)} sizes measured, {LEAST_SIZES} are asked for")
    if measured[-1] < LARGEST_PART * figure.target and not row.short:
        problems.append(
            f"the largest size, {measured[-1]:g}, is below a tenth of the target {figure.target:g}"
        )
    if row.from_size and not row.why:
        problems.append("small sizes are left out, and `why` does not say why")
    if row.fit not in STRAIGHT and not row.why:
        problems.append(f"fitted as {row.fit.value}, and `why` does not say why")
    return [f"{row.id}: {problem}" for problem in problems]


def ranking(figures: Sequence[Figure], stage: Stage) -> list[Figure]:
    """Rows over budget at a stage, those on every statement's or every router's path first, by factor."""
    over = [figure for figure in figures if figure.over_budget and figure.row.stage in (Stage.BOTH, stage)]
    return sorted(over, key=lambda f: (f.row.path not in ON_EVERY_PATH, -(f.times_budget or 0.0), f.row.id))
