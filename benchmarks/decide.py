"""CPU time to decide one query with 8, 80 and 400 engines and two routers, as ratios to the first.

    python benchmarks/decide.py

The lab's measurement of the decision module (`python -m grebeproxy.lab measure statement`) at small sizes:
the least of several runs of a mix of lookups, reports and loads.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from grebeproxy.lab.capacity.measure.statement import decide_us

ENGINES, ROUTERS, SEED = (8, 80, 400), 2, 1


def main() -> None:
    """Print the three figures."""
    costs = [decide_us(engines, ROUTERS, SEED) for engines in ENGINES]
    for engines, took in zip(ENGINES, costs, strict=True):
        print(f"{engines:4} engines: {took:6.0f} us, {took / costs[0]:5.2f} times that of {ENGINES[0]}")


if __name__ == "__main__":
    main()
