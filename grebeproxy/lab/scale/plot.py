"""A plot of a run: each value against the number of routers, with a linear fit."""

from __future__ import annotations

import math
from collections.abc import Sequence
from pathlib import Path
from statistics import linear_regression

from grebeproxy.lab.record import Point

COLUMNS = 4
PANEL_INCHES = (3.2, 2.4)
LABEL_POINTS = 7


def save_plot(points: Sequence[Point], title: str, path: Path) -> None:
    """Plot the points with the most engines; the suffix of ``path`` decides the format.

    Raises ``ImportError`` if matplotlib is not installed, and ``ValueError`` for a suffix it cannot write.
    """
    from matplotlib.figure import Figure

    most_engines = max(point.sizes.get("engines", 0.0) for point in points)
    plotted = [point for point in points if point.sizes.get("engines", 0.0) == most_engines]
    routers = [point.sizes["routers"] for point in plotted]
    names = list(plotted[0].values)
    rows = math.ceil(len(names) / COLUMNS)
    figure = Figure(figsize=(PANEL_INCHES[0] * COLUMNS, PANEL_INCHES[1] * rows), layout="constrained")
    figure.suptitle(title)
    for position, name in enumerate(names, 1):
        panel = figure.add_subplot(rows, COLUMNS, position)
        panel.set_title(name, fontsize=LABEL_POINTS)
        panel.tick_params(labelsize=LABEL_POINTS)
        values = [point.values.get(name, math.nan) for point in plotted]
        panel.plot(routers, values, "o")
        if len(set(routers)) > 1:
            slope, intercept = linear_regression(routers, values)
            panel.plot(routers, [intercept + slope * size for size in routers], "-")
    figure.savefig(path)
