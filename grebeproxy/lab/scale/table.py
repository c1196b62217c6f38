"""Measured points as a text table for the terminal."""

from __future__ import annotations

from collections.abc import Sequence

from grebeproxy.lab.record import Point

MAX_WHOLE_NUMBER = 1e15  # Larger values and fractions are shown with four significant digits.


def table(points: Sequence[Point]) -> str:
    """One row for each value and one column for each point. At least one point is required."""
    size_names = list(points[0].sizes)
    value_names = list(dict.fromkeys(name for point in points for name in point.values))
    rows = [[name, *(_cell(point.sizes.get(name)) for point in points)] for name in size_names]
    rows += [[name, *(_cell(point.values.get(name)) for point in points)] for name in value_names]
    widths = [max(len(row[column]) for row in rows) for column in range(len(points) + 1)]
    lines = ["  ".join(_aligned(row, widths)) for row in rows]
    lines.insert(len(size_names), "-" * len(lines[0]))
    return "\n".join(lines)


def _aligned(row: list[str], widths: list[int]) -> list[str]:
    numbers = zip(row[1:], widths[1:], strict=True)
    return [row[0].ljust(widths[0]), *(cell.rjust(width) for cell, width in numbers)]


def _cell(value: float | None) -> str:
    if value is None:
        return "-"
    is_whole = value == int(value) and abs(value) < MAX_WHOLE_NUMBER
    return f"{value:.0f}" if is_whole else f"{value:.4g}"
