"""CPU time to decide one query with 8, 80 and 400 engines, one query at a time, as ratios to the first.

    python benchmarks/decide.py

Two gateways share the engines; each query is taken, sent and answered before the next one comes. The figure
is the least of five runs of a thousand queries each.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from streams import CLASSES, make_settings

from grebeproxy import Choice
from grebeproxy.policy import interface as api

ENGINES, QUERIES, RUNS = (8, 80, 400), 1000, 5


def cost(engines: int) -> float:
    """Seconds of CPU for a query and its end."""
    choice = Choice(make_settings(classes=CLASSES, balancers=2), 0.0, 1)
    listed = tuple(api.Engine(f"e{n}", "medium") for n in range(engines))
    choice.handle(1.0, [api.EngineList(api.ListKind.FULL, listed)])
    now, best = 10.0, float("inf")
    for run in range(RUNS):
        began = time.process_time()
        for number in range(QUERIES):
            now += 0.01
            id = f"{run}-{number}"
            query = api.Query(id, "short", now + 4.0, data_set=number % 12, work=0.05)
            for action in choice.handle(now, [query]):
                if isinstance(action, api.Send):
                    ended = api.AttemptEnded(id, action.engine, 0, api.Outcome.OK, 0.05, True, 0.05)
                    choice.handle(now + 0.005, [ended])
        best = min(best, (time.process_time() - began) / QUERIES)
    return best


def main() -> None:
    """Print the three figures."""
    costs = [cost(engines) for engines in ENGINES]
    for engines, took in zip(ENGINES, costs, strict=True):
        print(f"{engines:4} engines: {took * 1e6:6.0f} us, {took / costs[0]:5.2f} times that of {ENGINES[0]}")


if __name__ == "__main__":
    main()
