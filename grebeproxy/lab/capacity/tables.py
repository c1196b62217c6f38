"""The page's tables."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from grebeproxy.lab.capacity.figures import Figure, Figures
from grebeproxy.lab.capacity.fit import Fit, Model
from grebeproxy.lab.capacity.numbers import format_number, format_percent, format_with_unit
from grebeproxy.lab.capacity.rows import Bound, NumberOrName, Row, Stage
from grebeproxy.lab.record import Record

FUNCTIONS = {
    Model.LINEAR: "{axis}",
    Model.AFFINE: "{axis}",
    Model.LOG: "ln({axis})",
    Model.N_LOG_N: "{axis} x ln({axis})",
    Model.SQUARE: "{axis} squared",
    Model.INVERSE: "1 / ({axis})",
}
PATHS = {"statement": "every statement", "control": "every router's control", "other": "other"}
STAGES = {Stage.BOTH: "", Stage.BEFORE: " (before)", Stage.NOW: " (now)"}


class RecordFile(NamedTuple):
    """A record and the name of its file."""

    file: str
    record: Record


def table(head: Sequence[str], lines: Iterable[Sequence[str]]) -> str:
    """A Markdown table."""
    rule = ["---"] * len(head)
    return "\n".join("| " + " | ".join(cells) + " |" for cells in (head, rule, *lines))


def role_table(figures: Sequence[Figure]) -> str:
    """What each row of a role needs at the target, its budget and its mechanism."""
    head = ("what", "row", "at the target", "budget", "times budget", "fits", "mechanism")
    return table(head, (_verdict(figure) for figure in figures))


def _verdict(figure: Figure) -> tuple[str, ...]:
    row = figure.row
    value = format_with_unit(figure.value, row.unit)
    if figure.measured is not None:
        value += f" (measured {format_with_unit(figure.measured, row.unit)})"
    if row.assumption:
        value += " (assumption)"
    mechanism = f"**missing**: {row.without}" if row.without else row.mechanism
    return (row.what, _title(row), value, _budget(figure), _times(figure), _fits(figure), mechanism)


def _title(row: Row) -> str:
    """A row's title and the stage that it holds for."""
    return row.title + STAGES[row.stage]


def _budget(figure: Figure) -> str:
    if figure.budget is None:
        return "none set"
    return f"{format_with_unit(figure.budget, figure.row.unit)}: {figure.row.budget_source}"


def _times(figure: Figure) -> str:
    return "-" if figure.times_budget is None else format_number(figure.times_budget)


def _fits(figure: Figure) -> str:
    if figure.budget is None:
        return "-"
    return "**no**" if figure.over_budget else "yes"


def evidence_table(figures: Sequence[Figure]) -> str:
    """The run, the sizes and the fit behind each row of a role."""
    head = ("row", "from", "sizes measured", "fit", "residual", "carried")
    return table(head, (_evidence(figure) for figure in figures))


def _evidence(figure: Figure) -> tuple[str, ...]:
    row = figure.row
    if figure.fit is None:
        return (_title(row), _origin(row), "-", row.because or "-", "-", "-")
    sizes = ", ".join(format_number(size) for size in sorted(set(figure.fit.sizes)))
    where = "".join(f", at {format_number(value)} {name}" for name, value in row.where.items())
    measured = f"{sizes} {row.size_name}{where}" + (f" ({row.short})" if row.short else "")
    source = f"`{row.record}`, `{row.metric}`" + (f"; {row.assumption}" if row.assumption else "")
    target = f"to {format_number(figure.target)} {row.size_name}, {_extrapolation(figure, figure.fit)}"
    return (
        _title(row),
        source,
        measured,
        fit_text(row, figure.fit),
        format_percent(figure.fit.residual),
        target,
    )


def _extrapolation(figure: Figure, fitted: Fit) -> str:
    if figure.measured is not None:
        return "measured there"
    times = fitted.extrapolation(figure.target)
    return "within what was measured" if times <= 1 else f"{format_number(times)} times the largest"


def _origin(row: Row) -> str:
    if row.sum:
        return "sum of " + ", ".join(f"`{part}`" for part in row.sum)
    if row.product:
        text = " x ".join(_reference(part) for part in row.product)
        return text + "".join(f" / {_reference(part)}" for part in row.over)
    return f"assumption: {row.assumption}"


def _reference(reference: NumberOrName) -> str:
    return f"`{reference}`" if isinstance(reference, str) else format_number(reference)


def fit_text(row: Row, fitted: Fit) -> str:
    """The fitted formula with units, its factor, and the reason for a fit that is no straight line."""
    unit = row.metric_unit or row.unit
    if fitted.model is Model.CONSTANT:
        text = f"{format_with_unit(fitted.intercept, unit)}, the same at all sizes"
    elif fitted.model is Model.POWER:
        power = f"{row.size_name} to the power of {format_number(fitted.exponent)}"
        text = f"{format_with_unit(fitted.slope, unit)} x {power}"
    else:
        function = FUNCTIONS[fitted.model].format(axis=row.size_name)
        start = f"{format_with_unit(fitted.intercept, unit)} + " if fitted.intercept else ""
        text = f"{start}{format_with_unit(fitted.slope, unit)} x {function}"
    if row.factor != 1:
        text = f"({text}) x {format_number(row.factor)}" + (
            f" ({row.factor_note})" if row.factor_note else ""
        )
    return text + (f"; {row.why}" if row.why else "")


def ranking_table(ranked: Sequence[Figure]) -> str:
    """Rows over budget in the order of the decision rule."""
    if not ranked:
        return "No row is over its budget."
    head = ("rank", "row", "in the path of", "at the target", "budget", "times budget", "what would carry it")
    return table(head, (_ranked(rank, figure) for rank, figure in enumerate(ranked, 1)))


def _ranked(rank: int, figure: Figure) -> tuple[str, ...]:
    row = figure.row
    assert figure.budget is not None
    return (
        str(rank),
        f"{row.title} (`{row.id}`)",
        PATHS[row.path.value],
        format_with_unit(figure.value, row.unit),
        format_with_unit(figure.budget, row.unit),
        _times(figure),
        row.needs or "-",
    )


def choice_text(ranked: Sequence[Figure]) -> str:
    """Which row comes first by the ranking, in one sentence."""
    if not ranked:
        return "Nothing is over its budget, so nothing is chosen."
    first = ranked[0]
    mechanism = f" What would carry it: {first.row.needs}." if first.row.needs else ""
    return (
        f"First by the rule is **{first.row.title}** (`{first.row.id}`), "
        f"{format_with_unit(first.value, first.row.unit)} or {_times(first)} times its budget, "
        f"in the path of {PATHS[first.row.path.value]}.{mechanism}"
    )


def bounds_table(bounds: Sequence[Bound], figures: Figures) -> str:
    """Bounds in the code that contradict the target."""
    head = ("file", "bound", "value", "the target needs", "what follows")
    return table(head, (_bound(bound, figures) for bound in bounds))


def _bound(bound: Bound, figures: Figures) -> tuple[str, ...]:
    file = bound.module.replace(".", "/") + ".py"
    value = "-" if bound.value is None else format_with_unit(bound.value, bound.unit)
    needs = (
        "-" if bound.needs is None else format_with_unit(figures.number(bound.name, bound.needs), bound.unit)
    )
    return (f"`{file}`", f"`{bound.name or bound.line}`", value, needs, bound.text)


def records_table(records: Sequence[RecordFile]) -> str:
    """The runs behind the page."""
    head = ("record", "command", "commit", "recorded", "machine", "seed", "points", "note")
    return table(head, (_record(one) for one in records))


def _record(recorded: RecordFile) -> tuple[str, ...]:
    record = recorded.record
    machine = f"{record.machine.cores} cores, {record.machine.memory_mb:,} MB, Python {record.machine.python}"
    return (
        f"`{recorded.file}`",
        f"`{record.command}`",
        f"`{record.commit}`",
        record.recorded_at,
        machine,
        str(record.seed),
        str(len(record.points)),
        record.note or "-",
    )
