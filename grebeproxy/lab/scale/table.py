"""Measured points as a table on the terminal."""

from __future__ import annotations

from collections.abc import Sequence

from grebeproxy.lab.record import Point


def table(points: Sequence[Point]) -> str:
    """One row for each value, one column for each point; at least one point is needed."""
    size_names = list(points[0].sizes)
    value_names = list(dict.fromkeys(name for point in points for name in point.values))
    rows = [[name, *(_shown(point.sizes.get(name)) for point in points)] for name in size_names]
    rows += [[name, *(_shown(point.values.get(name)) for point in points)] for name in value_names]
    widths = [max(len(row[column]) for row in rows) for column in range(len(points) + 1)]
    lines = ["  ".join(_aligned(row, widths)) for row in rows]
    lines.insert(len(size_names), "-" * len(lines[0]))
    return "\n".join(lines)


def _aligned(row: list[str], widths: list[int]) -> list[str]:
    return [
        row[0].ljust(widths[0]),
        *(cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)),
    ]


def _shown(value: float | None) -> str:
    if value is None:
        return "-"
    return f"{value:.0f}" if value == int(value) and abs(value) < 1e15 else f"{value:.4g}"
