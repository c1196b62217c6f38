"""Formats the tables of the page."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from grebeproxy.lab.capacity.figures import Figure, Figures
from grebeproxy.lab.capacity.fit import Fit, Model
from grebeproxy.lab.capacity.numbers import format_number, format_percent, format_with_unit
from grebeproxy.lab.capacity.rows import Bound, NumberOrName, Row, Stage
from grebeproxy.lab.record import Record

FUNCTION_TEXTS = {
    Model.LINEAR: "{axis}",
    Model.AFFINE: "{axis}",
    Model.LOG: "ln({axis})",
    Model.N_LOG_N: "{axis} x ln({axis})",
    Model.SQUARE: "{axis} squared",
    Model.INVERSE: "1 / ({axis})",
}
PATH_TEXTS = {"statement": "every statement", "control": "every router's control", "other": "other"}
STAGE_SUFFIXES = {Stage.BOTH: "", Stage.BEFORE: " (before)", Stage.NOW: " (now)"}


class RecordFile(NamedTuple):
    """A record and the name of its file."""

    file: str
    record: Record


def table(header: Sequence[str], lines: Iterable[Sequence[str]]) -> str:
    """Format a Markdown table."""
    separator = ["---"] * len(header)
    return "\n".join("| " + " | ".join(cells) + " |" for cells in (header, separator, *lines))


def role_table(figures: Sequence[Figure]) -> str:
    """Format the needs of each row of a role at the target, with its budget and its mechanism."""
    header = ("what", "row", "at the target", "budget", "times budget", "fits", "mechanism")
    return table(header, (_role_cells(figure) for figure in figures))


def _role_cells(figure: Figure) -> tuple[str, ...]:
    row = figure.row
    value = format_with_unit(figure.value, row.unit)
    if figure.measured is not None:
        value += f" (measured {format_with_unit(figure.measured, row.unit)})"
    if row.assumption:
        value += " (assumption)"
    mechanism = f"**missing**: {row.without}" if row.without else row.mechanism
    return (
        row.what,
        _title_with_stage(row),
        value,
        _budget_text(figure),
        _times_budget_text(figure),
        _fits_text(figure),
        mechanism,
    )


def _title_with_stage(row: Row) -> str:
    """Return a row's title, followed by the stage that the row holds for."""
    return row.title + STAGE_SUFFIXES[row.stage]


def _budget_text(figure: Figure) -> str:
    if figure.budget is None:
        return "none set"
    return f"{format_with_unit(figure.budget, figure.row.unit)}: {figure.row.budget_source}"


def _times_budget_text(figure: Figure) -> str:
    return "-" if figure.times_budget is None else format_number(figure.times_budget)


def _fits_text(figure: Figure) -> str:
    if figure.budget is None:
        return "-"
    return "**no**" if figure.over_budget else "yes"


def evidence_table(figures: Sequence[Figure]) -> str:
    """Format the run, the sizes and the fit behind each row of a role."""
    header = ("row", "from", "sizes measured", "fit", "residual", "carried")
    return table(header, (_evidence_cells(figure) for figure in figures))


def _evidence_cells(figure: Figure) -> tuple[str, ...]:
    row = figure.row
    if figure.fit is None:
        return (_title_with_stage(row), _origin_text(row), "-", row.because or "-", "-", "-")
    sizes = ", ".join(format_number(size) for size in sorted(set(figure.fit.sizes)))
    where = "".join(f", at {format_number(value)} {name}" for name, value in row.where.items())
    measured = f"{sizes} {row.size_name}{where}" + (f" ({row.short})" if row.short else "")
    source = f"`{row.record}`, `{row.metric}`" + (f"; {row.assumption}" if row.assumption else "")
    target = f"to {format_number(figure.target)} {row.size_name}, {_extrapolation_text(figure, figure.fit)}"
    return (
        _title_with_stage(row),
        source,
        measured,
        fit_text(row, figure.fit),
        format_percent(figure.fit.residual),
        target,
    )


def _extrapolation_text(figure: Figure, fitted: Fit) -> str:
    if figure.measured is not None:
        return "measured there"
    times = fitted.extrapolation(figure.target)
    return "within what was measured" if times <= 1 else f"{format_number(times)} times the largest"


def _origin_text(row: Row) -> str:
    if row.sum:
        return "sum of " + ", ".join(f"`{part}`" for part in row.sum)
    if row.product:
        text = " x ".join(_reference_text(part) for part in row.product)
        return text + "".join(f" / {_reference_text(part)}" for part in row.over)
    return f"assumption: {row.assumption}"


def _reference_text(reference: NumberOrName) -> str:
    return f"`{reference}`" if isinstance(reference, str) else format_number(reference)


def fit_text(row: Row, fitted: Fit) -> str:
    """Format the fitted formula with units, its factor and the reason in the row's ``why``."""
    unit = row.metric_unit or row.unit
    if fitted.model is Model.CONSTANT:
        text = f"{format_with_unit(fitted.intercept, unit)}, the same at all sizes"
    elif fitted.model is Model.POWER:
        power = f"{row.size_name} to the power of {format_number(fitted.exponent)}"
        text = f"{format_with_unit(fitted.slope, unit)} x {power}"
    else:
        function = FUNCTION_TEXTS[fitted.model].format(axis=row.size_name)
        start = f"{format_with_unit(fitted.intercept, unit)} + " if fitted.intercept else ""
        text = f"{start}{format_with_unit(fitted.slope, unit)} x {function}"
    if row.factor != 1:
        text = f"({text}) x {format_number(row.factor)}" + (
            f" ({row.factor_note})" if row.factor_note else ""
        )
    return text + (f"; {row.why}" if row.why else "")


def ranking_table(ranked: Sequence[Figure]) -> str:
    """Format the rows over budget in the order that ``ranking`` gives them."""
    if not ranked:
        return "No row is over its budget."
    header = (
        "rank",
        "row",
        "in the path of",
        "at the target",
        "budget",
        "times budget",
        "what would carry it",
    )
    return table(header, (_ranking_cells(rank, figure) for rank, figure in enumerate(ranked, 1)))


def _ranking_cells(rank: int, figure: Figure) -> tuple[str, ...]:
    row = figure.row
    assert figure.budget is not None
    return (
        str(rank),
        f"{row.title} (`{row.id}`)",
        PATH_TEXTS[row.path.value],
        format_with_unit(figure.value, row.unit),
        format_with_unit(figure.budget, row.unit),
        _times_budget_text(figure),
        row.needs or "-",
    )


def choice_text(ranked: Sequence[Figure]) -> str:
    """State which row comes first in the ranking."""
    if not ranked:
        return "Nothing is over its budget, so nothing is chosen."
    first = ranked[0]
    mechanism = f" What would carry it: {first.row.needs}." if first.row.needs else ""
    return (
        f"First by the rule is **{first.row.title}** (`{first.row.id}`), "
        f"{format_with_unit(first.value, first.row.unit)} or {_times_budget_text(first)} times its budget, "
        f"in the path of {PATH_TEXTS[first.row.path.value]}.{mechanism}"
    )


def bounds_table(bounds: Sequence[Bound], figures: Figures) -> str:
    """Format the bounds in the code that contradict the target."""
    header = ("file", "bound", "value", "the target needs", "what follows")
    return table(header, (_bound_cells(bound, figures) for bound in bounds))


def _bound_cells(bound: Bound, figures: Figures) -> tuple[str, ...]:
    file = bound.module.replace(".", "/") + ".py"
    value = "-" if bound.value is None else format_with_unit(bound.value, bound.unit)
    needs = (
        "-" if bound.needs is None else format_with_unit(figures.number(bound.name, bound.needs), bound.unit)
    )
    return (f"`{file}`", f"`{bound.name or bound.line}`", value, needs, bound.text)


def records_table(records: Sequence[RecordFile]) -> str:
    """Format the recorded runs that the page derives its figures from."""
    header = ("record", "command", "commit", "recorded", "machine", "seed", "points", "note")
    return table(header, (_record_cells(record_file) for record_file in records))


def _record_cells(record_file: RecordFile) -> tuple[str, ...]:
    record = record_file.record
    machine = f"{record.machine.cores} cores, {record.machine.memory_mb:,} MB, Python {record.machine.python}"
    return (
        f"`{record_file.file}`",
        f"`{record.command}`",
        f"`{record.commit}`",
        record.recorded_at,
        machine,
        str(record.seed),
        str(len(record.points)),
        record.note or "-",
    )
