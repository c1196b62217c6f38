"""CPU of one router's subset in plain Python, as a product without numpy would compute it.

Each scheme has a class that builds a router's state from the whole list, takes in that an engine comes or
goes, and reads the subset. Units: microseconds of CPU.
"""

from __future__ import annotations

import time
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable
from hashlib import blake2b
from heapq import nlargest
from statistics import median
from typing import Protocol

from grebeproxy.lab.subsets.fleet import GOLDEN_RATIO
from grebeproxy.lab.subsets.schemes import LOAD_BOUND

FULL_CIRCLE = 2**64
REPEATS = 7

Point = tuple[int, str]


class OneRouter(Protocol):
    """One router's subset."""

    def add(self, engine: str) -> None:
        """An engine came."""

    def remove(self, engine: str) -> None:
        """An engine went."""

    def subset(self) -> list[str]:
        """The engines that it uses, in the agreed order."""


def _hashes(text: str, count: int = 1) -> list[int]:
    digest = blake2b(text.encode(), digest_size=8 * count).digest()
    return [int.from_bytes(digest[8 * at : 8 * at + 8], "big") for at in range(count)]


def _position(router: int) -> int:
    return int(router * GOLDEN_RATIO % 1.0 * FULL_CIRCLE)


class RendezvousRouter:
    """Keeps the scores of all engines, sorted."""

    def __init__(self, engines: list[str], router: int, routers: int, own: int) -> None:
        self.router, self.own = router, own
        self.scores = sorted(self._score(engine) for engine in engines)

    def _score(self, engine: str) -> Point:
        return _hashes(f"{self.router}/{engine}")[0], engine

    def add(self, engine: str) -> None:
        """See ``OneRouter``."""
        insort(self.scores, self._score(engine))

    def remove(self, engine: str) -> None:
        """See ``OneRouter``."""
        del self.scores[bisect_left(self.scores, self._score(engine))]

    def subset(self) -> list[str]:
        """See ``OneRouter``."""
        return [engine for _, engine in nlargest(self.own, self.scores[-self.own :])]


class CircleRouter:
    """Keeps the circle of all points, and where all routers lie."""

    def __init__(self, engines: list[str], router: int, routers: int, own: int, points: int = 1) -> None:
        self.router, self.own, self.points = router, own, points
        self.lying = sorted(_position(number) for number in range(routers))
        self.circle = sorted(point for engine in engines for point in self._points_of(engine))

    def _points_of(self, engine: str) -> list[Point]:
        return [(at, engine) for at in _hashes(engine, self.points)]

    def add(self, engine: str) -> None:
        """See ``OneRouter``."""
        for point in self._points_of(engine):
            insort(self.circle, point)

    def remove(self, engine: str) -> None:
        """See ``OneRouter``."""
        for point in self._points_of(engine):
            del self.circle[bisect_left(self.circle, point)]

    def subset(self) -> list[str]:
        """See ``OneRouter``."""
        start = bisect_left(self.circle, (_position(self.router), ""))
        size = len(self.circle)
        return list(dict.fromkeys(self.circle[at % size][1] for at in range(start, start + self.own)))

    def sharers(self, engine: str) -> int:
        """How many routers share an engine, one by two points counted twice."""
        return sum(self._routers_of(point) for point in self._points_of(engine))

    def _routers_of(self, point: Point) -> int:
        before = self.circle[bisect_left(self.circle, point) - self.own]
        between = bisect_right(self.lying, point[0]) - bisect_right(self.lying, before[0])
        return between % len(self.lying)


class RankRouter(CircleRouter):
    """Keeps the order of all engines; the window starts at the router's part of the list."""

    def __init__(self, engines: list[str], router: int, routers: int, own: int) -> None:
        super().__init__(engines, router, routers, own)
        self.routers = routers

    def subset(self) -> list[str]:
        """See ``OneRouter``."""
        start, size = self.router * len(self.circle) // self.routers, len(self.circle)
        return [self.circle[at % size][1] for at in range(start, start + self.own)]


class RoundsRouter:
    """Keeps the order of its round; where the count of slices changes, all is done anew."""

    def __init__(self, engines: list[str], router: int, routers: int, own: int) -> None:
        self.router, self.own, self.engines = router, own, dict.fromkeys(engines)
        self._build()

    def _build(self) -> None:
        self.slices = max(1, len(self.engines) // self.own)
        self.order = sorted(self._place(engine) for engine in self.engines)

    def _place(self, engine: str) -> Point:
        return _hashes(f"{self.router // self.slices}/{engine}")[0], engine

    def add(self, engine: str) -> None:
        """See ``OneRouter``."""
        self.engines[engine] = None
        if len(self.engines) // self.own != self.slices:
            self._build()
        else:
            insort(self.order, self._place(engine))

    def remove(self, engine: str) -> None:
        """See ``OneRouter``."""
        del self.engines[engine]
        if len(self.engines) // self.own != self.slices:
            self._build()
        else:
            del self.order[bisect_left(self.order, self._place(engine))]

    def subset(self) -> list[str]:
        """See ``OneRouter``."""
        start = self.router % self.slices * len(self.order) // self.slices
        return [engine for _, engine in self.order[start : start + self.own]]


class BoundedRouter(CircleRouter):
    """Keeps the order of all engines; to read its subset it deals out those of all routers before it."""

    def __init__(self, engines: list[str], router: int, routers: int, own: int) -> None:
        super().__init__(engines, router, routers, own)
        self.routers = routers

    def subset(self) -> list[str]:
        """See ``OneRouter``."""
        size = len(self.circle)
        cap = -int(-LOAD_BOUND * self.routers * self.own // size)
        taken = [0] * size
        chosen: list[int] = []
        for router in range(self.router + 1):
            chosen, at = [], bisect_left(self.circle, (_position(router), ""))
            while len(chosen) < self.own:
                if taken[at % size] < cap:
                    taken[at % size] += 1
                    chosen.append(at % size)
                at += 1
        return [self.circle[at][1] for at in chosen]


def _circle_of(points: int) -> Callable[[list[str], int, int, int], OneRouter]:
    def build(engines: list[str], router: int, routers: int, own: int) -> OneRouter:
        return CircleRouter(engines, router, routers, own, points)

    return build


ONE_ROUTER: dict[str, Callable[[list[str], int, int, int], OneRouter]] = {
    "rendezvous": RendezvousRouter,
    "bounded": BoundedRouter,
    "rounds": RoundsRouter,
    "rank": RankRouter,
    "circle": _circle_of(1),
    "circle-4": _circle_of(4),
    "circle-8": _circle_of(8),
}


def cost(name: str, routers: int, engines: int, own: int) -> dict[str, float]:
    """CPU to have a router's subset from the whole list, after one change, and the sharers of its engines."""
    build = ONE_ROUTER[name]
    ids = [f"s-{number * 2654435761 % 2**32:08x}" for number in range(engines)]
    own, middle = min(own, engines), routers // 2
    state = build(ids, middle, routers, own)

    def scratch() -> None:
        build(ids, middle, routers, own).subset()

    def change() -> None:
        state.remove(ids[0])
        state.subset()
        state.add(ids[0])
        state.subset()

    values = {"cpu_us.scratch": _cpu_us(scratch, 1), "cpu_us.one_change": _cpu_us(change, 5) / 2}
    if isinstance(state, CircleRouter) and type(state) is CircleRouter:
        circle = state
        values["cpu_us.sharers"] = _cpu_us(lambda: [circle.sharers(engine) for engine in circle.subset()], 20)
    return values


def _cpu_us(call: Callable[[], object], times: int) -> float:
    taken = []
    for _ in range(REPEATS):
        before = time.process_time_ns()
        for _ in range(times):
            call()
        taken.append((time.process_time_ns() - before) / times / 1000.0)
    return median(taken)
