"""CPU time of one router in plain Python: to compute its subset, to update it, and to count sharers."""

from __future__ import annotations

import time
from collections.abc import Callable
from statistics import median

from grebeproxy.lab.subsets.router_subsets import BUILDERS, CircleRouter
from grebeproxy.net.engine_id import engine_id_from_number

HASH_MULTIPLIER = 2654435761  # spreads consecutive numbers over 32 bits (multiplicative hashing)
HASH_MODULUS = 2**32
TIMED_RUNS = 7
SUBSETS_PER_RUN = 1  # calls in each timed run
CHANGES_PER_RUN = 5  # calls in each timed run
SHARERS_PER_RUN = 20  # calls in each timed run
CHANGES_PER_CALL = 2  # each call removes an engine and adds it again
NANOSECONDS_PER_MICROSECOND = 1000.0


def cost(name: str, routers: int, engines: int, size: int) -> dict[str, float]:
    """CPU microseconds to compute one router's subset, to apply one change, and to count sharers."""
    build = BUILDERS[name]
    names = [engine_id_from_number(number * HASH_MULTIPLIER % HASH_MODULUS) for number in range(engines)]
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
        "cpu_us.one_change": _cpu_us(change, CHANGES_PER_RUN) / CHANGES_PER_CALL,
    }
    if type(state) is CircleRouter:
        values["cpu_us.sharers"] = _sharers_cpu_us(state)
    return values


def _sharers_cpu_us(state: CircleRouter) -> float:
    return _cpu_us(lambda: [state.sharers(engine) for engine in state.subset()], SHARERS_PER_RUN)


def _cpu_us(call: Callable[[], object], times: int) -> float:
    """The median CPU microseconds of a call over ``TIMED_RUNS`` runs, each of which makes ``times`` calls."""
    microseconds = []
    for _ in range(TIMED_RUNS):
        before = time.process_time_ns()
        for _ in range(times):
            call()
        elapsed_ns = time.process_time_ns() - before
        microseconds.append(elapsed_ns / times / NANOSECONDS_PER_MICROSECOND)
    return median(microseconds)
