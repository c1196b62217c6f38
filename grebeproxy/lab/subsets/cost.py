"""CPU of one router's subset in plain Python: from scratch, after a change, and to count sharers."""

from __future__ import annotations

import time
from collections.abc import Callable
from statistics import median

from grebeproxy.lab.subsets.router_subsets import BUILDERS, CircleRouter

HASH_MULTIPLIER = 2654435761  # spreads consecutive numbers over 32 bits (multiplicative hashing)
HASH_MODULUS = 2**32
REPEATS = 7
SUBSETS_PER_RUN = 1  # of each repetition, by what is timed
CHANGES_PER_RUN = 5
SHARERS_PER_RUN = 20
CHANGES_OF_ONE_CALL = 2  # an engine is removed and added again
NANOSECONDS_PER_MICROSECOND = 1000.0


def cost(name: str, routers: int, engines: int, size: int) -> dict[str, float]:
    """Microseconds of CPU for one router's subset, for one change, and for the sharers of its engines."""
    build = BUILDERS[name]
    names = [f"s-{number * HASH_MULTIPLIER % HASH_MODULUS:08x}" for number in range(engines)]
    router = routers // 2
    size = min(size, engines)
    state = build(names, router, routers, size)

    def from_scratch() -> None:
        build(names, router, routers, size).subset()

    def change() -> None:
        state.remove(names[0])
        state.subset()
        state.add(names[0])
        state.subset()

    values = {
        "cpu_us.scratch": _cpu_us(from_scratch, SUBSETS_PER_RUN),
        "cpu_us.one_change": _cpu_us(change, CHANGES_PER_RUN) / CHANGES_OF_ONE_CALL,
    }
    if type(state) is CircleRouter:
        values["cpu_us.sharers"] = _sharers_cpu_us(state)
    return values


def _sharers_cpu_us(state: CircleRouter) -> float:
    return _cpu_us(lambda: [state.sharers(engine) for engine in state.subset()], SHARERS_PER_RUN)


def _cpu_us(call: Callable[[], object], times: int) -> float:
    """The median CPU of a call over several runs, each of which repeats it."""
    microseconds = []
    for _ in range(REPEATS):
        before = time.process_time_ns()
        for _ in range(times):
            call()
        elapsed_ns = time.process_time_ns() - before
        microseconds.append(elapsed_ns / times / NANOSECONDS_PER_MICROSECOND)
    return median(microseconds)
