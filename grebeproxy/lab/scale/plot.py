"""A picture of a run: each value against the number of routers, with a straight line through the points."""

from __future__ import annotations

import math
from collections.abc import Sequence
from pathlib import Path
from statistics import linear_regression

from grebeproxy.lab.record import Point

COLUMNS = 4
PANEL_INCHES = (3.2, 2.4)
LABEL_SIZE = 7


def save_plot(points: Sequence[Point], title: str, path: Path) -> None:
    """Draw the points that have the most engines; the format follows from the file's suffix.

    Raises ``ImportError`` where matplotlib is not installed, and ``ValueError`` for a suffix it cannot write.
    """
    from matplotlib.figure import Figure

    most = max(point.sizes.get("engines", 0.0) for point in points)
    drawn = [point for point in points if point.sizes.get("engines", 0.0) == most]
    routers = [point.sizes["routers"] for point in drawn]
    names = list(drawn[0].values)
    rows = math.ceil(len(names) / COLUMNS)
    figure = Figure(figsize=(PANEL_INCHES[0] * COLUMNS, PANEL_INCHES[1] * rows), layout="constrained")
    figure.suptitle(title)
    for position, name in enumerate(names, 1):
        panel = figure.add_subplot(rows, COLUMNS, position)
        panel.set_title(name, fontsize=LABEL_SIZE)
        panel.tick_params(labelsize=LABEL_SIZE)
        values = [point.values.get(name, math.nan) for point in drawn]
        panel.plot(routers, values, "o")
        if len(set(routers)) > 1:
            slope, start = linear_regression(routers, values)
            panel.plot(routers, [start + slope * size for size in routers], "-")
    figure.savefig(path)
