"""Prints the CPU time to decide one query for two routers and 8, 80 and 400 engines, and ratios to the first.

    python benchmarks/decide.py

This is the lab's measurement of the decision module (`python -m grebeproxy.lab measure statement`) at small
sizes. Each time is the least of several runs of a mix of lookups, reports and loads.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from grebeproxy.lab.capacity.measure.statement import decide_us

ENGINES, ROUTERS, SEED = (8, 80, 400), 2, 1


def main() -> None:
    """Print the time and the ratio for each number of engines."""
    costs_us = [decide_us(engines, ROUTERS, SEED) for engines in ENGINES]
    for engines, cost_us in zip(ENGINES, costs_us, strict=True):
        print(
            f"{engines:4} engines: {cost_us:6.0f} us, {cost_us / costs_us[0]:5.2f} times that of {ENGINES[0]}"
        )


if __name__ == "__main__":
    main()
