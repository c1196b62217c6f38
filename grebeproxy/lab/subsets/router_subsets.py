"""Computes one router's subset in plain Python, as the product would without numpy.

Each scheme has a class that builds a router's state from the full list, applies added and removed engines,
and computes the subset.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable
from hashlib import blake2b
from heapq import nlargest
from typing import Protocol

from grebeproxy.lab.subsets.fleet import GOLDEN_RATIO
from grebeproxy.lab.subsets.schemes import LOAD_BOUND

FULL_CIRCLE = 2**64
HASH_BYTES = 8

# The position or score of an engine, and its name. It is a plain tuple, since the measured CPU time includes
# the time to build it.
Point = tuple[int, str]


class RouterSubset(Protocol):
    """The state from which one router computes its subset."""

    def add(self, engine: str) -> None:
        """Adds an engine that was added to the list."""

    def remove(self, engine: str) -> None:
        """Removes an engine that was removed from the list."""

    def subset(self) -> list[str]:
        """The engines that the router uses, in a fixed order."""


def _hashes(text: str, count: int = 1) -> list[int]:
    digest = blake2b(text.encode(), digest_size=HASH_BYTES * count).digest()
    return [
        int.from_bytes(digest[start : start + HASH_BYTES], "big")
        for start in range(0, HASH_BYTES * count, HASH_BYTES)
    ]


def _position(router: int) -> int:
    return int(router * GOLDEN_RATIO % 1.0 * FULL_CIRCLE)


class RendezvousRouter:
    """Stores the scores of all engines, sorted."""

    def __init__(self, engines: list[str], router: int, routers: int, size: int) -> None:
        self.router = router
        self.size = size
        self.scores = sorted(self._score(engine) for engine in engines)

    def _score(self, engine: str) -> Point:
        return _hashes(f"{self.router}/{engine}")[0], engine

    def add(self, engine: str) -> None:
        """Adds an engine that was added to the list."""
        insort(self.scores, self._score(engine))

    def remove(self, engine: str) -> None:
        """Removes an engine that was removed from the list."""
        del self.scores[bisect_left(self.scores, self._score(engine))]

    def subset(self) -> list[str]:
        """The engines that the router uses, in a fixed order."""
        return [engine for _, engine in nlargest(self.size, self.scores[-self.size :])]


class CircleRouter:
    """Stores the circle of all points, and the positions of all routers."""

    def __init__(self, engines: list[str], router: int, routers: int, size: int, points: int = 1) -> None:
        self.router = router
        self.size = size
        self.points = points
        self.router_positions = sorted(_position(number) for number in range(routers))
        self.circle = sorted(point for engine in engines for point in self._points_of(engine))

    def _points_of(self, engine: str) -> list[Point]:
        return [(position, engine) for position in _hashes(engine, self.points)]

    def add(self, engine: str) -> None:
        """Adds an engine that was added to the list."""
        for point in self._points_of(engine):
            insort(self.circle, point)

    def remove(self, engine: str) -> None:
        """Removes an engine that was removed from the list."""
        for point in self._points_of(engine):
            del self.circle[bisect_left(self.circle, point)]

    def subset(self) -> list[str]:
        """The engines that the router uses, in a fixed order."""
        start = bisect_left(self.circle, (_position(self.router), ""))
        points = len(self.circle)
        window = range(start, start + self.size)
        return list(dict.fromkeys(self.circle[index % points][1] for index in window))

    def sharers(self, engine: str) -> int:
        """The number of routers that share an engine.

        A router whose window has two points of the engine counts twice.
        """
        return sum(self._routers_of(point) for point in self._points_of(engine))

    def _routers_of(self, point: Point) -> int:
        predecessor = self.circle[bisect_left(self.circle, point) - self.size]
        end = bisect_right(self.router_positions, point[0])
        start = bisect_right(self.router_positions, predecessor[0])
        return (end - start) % len(self.router_positions)


class RankRouter(CircleRouter):
    """Stores the order of all engines; the window starts at the router's fraction of the list."""

    def __init__(self, engines: list[str], router: int, routers: int, size: int) -> None:
        super().__init__(engines, router, routers, size)
        self.routers = routers

    def subset(self) -> list[str]:
        """The engines that the router uses, in a fixed order."""
        start = self.router * len(self.circle) // self.routers
        points = len(self.circle)
        return [self.circle[index % points][1] for index in range(start, start + self.size)]


class RoundsRouter:
    """Stores the order of engines in the router's round; a change of the number of slices rebuilds it."""

    def __init__(self, engines: list[str], router: int, routers: int, size: int) -> None:
        self.router = router
        self.size = size
        self.engines = dict.fromkeys(engines)
        self._build()

    def _build(self) -> None:
        self.slices = max(1, len(self.engines) // self.size)
        self.order = sorted(self._point(engine) for engine in self.engines)

    def _point(self, engine: str) -> Point:
        return _hashes(f"{self.router // self.slices}/{engine}")[0], engine

    def add(self, engine: str) -> None:
        """Adds an engine that was added to the list."""
        self.engines[engine] = None
        if len(self.engines) // self.size != self.slices:
            self._build()
        else:
            insort(self.order, self._point(engine))

    def remove(self, engine: str) -> None:
        """Removes an engine that was removed from the list."""
        del self.engines[engine]
        if len(self.engines) // self.size != self.slices:
            self._build()
        else:
            del self.order[bisect_left(self.order, self._point(engine))]

    def subset(self) -> list[str]:
        """The engines that the router uses, in a fixed order."""
        start = self.router % self.slices * len(self.order) // self.slices
        return [engine for _, engine in self.order[start : start + self.size]]


class BoundedRouter(CircleRouter):
    """Stores the order of all engines; its subset depends on the subsets of all routers before it."""

    def __init__(self, engines: list[str], router: int, routers: int, size: int) -> None:
        super().__init__(engines, router, routers, size)
        self.routers = routers

    def subset(self) -> list[str]:
        """The engines that the router uses, in a fixed order."""
        engines = len(self.circle)
        max_routers = -int(-LOAD_BOUND * self.routers * self.size // engines)
        assigned = [0] * engines
        chosen: list[int] = []
        for router in range(self.router + 1):
            chosen = []
            step = bisect_left(self.circle, (_position(router), ""))
            while len(chosen) < self.size:
                candidate = step % engines
                if assigned[candidate] < max_routers:
                    assigned[candidate] += 1
                    chosen.append(candidate)
                step += 1
        return [self.circle[index][1] for index in chosen]


Builder = Callable[[list[str], int, int, int], RouterSubset]  # engines, router, count of routers, size


def _circle_of(points: int) -> Builder:
    def build(engines: list[str], router: int, routers: int, size: int) -> RouterSubset:
        return CircleRouter(engines, router, routers, size, points)

    return build


BUILDERS: dict[str, Builder] = {
    "rendezvous": RendezvousRouter,
    "bounded": BoundedRouter,
    "rounds": RoundsRouter,
    "rank": RankRouter,
    "circle": _circle_of(1),
    "circle-4": _circle_of(4),
    "circle-8": _circle_of(8),
}
