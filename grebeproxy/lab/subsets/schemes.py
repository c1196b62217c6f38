"""Ways to choose each router's subset from the list of engines, its number and the count of routers.

Every scheme returns windows: for each router a row of engine numbers in a fixed order, filled up with
``NO_ENGINE`` where the row is shorter than the longest.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import NamedTuple, Protocol

import numpy as np

from grebeproxy.lab.subsets.fleet import (
    Engines,
    Floats,
    Integers,
    Routers,
    positions,
    router_positions,
)
from grebeproxy.lab.subsets.windows import NO_ENGINE, salted, window_rows, without_gaps, without_repeats

LOAD_BOUND = 1.25  # bounded-load hashing assigns an engine at most this multiple of the mean of routers


class Scheme(Protocol):
    """One way to choose subsets."""

    @property
    def name(self) -> str:
        """The name of the scheme in tables and records."""

    @property
    def counts_sharers(self) -> bool:
        """Whether a router can compute, for any subset size, how many routers share an engine."""

    def windows(self, engines: Engines, routers: Routers, sizes: Integers) -> Integers:
        """A row of engines for each router; ``sizes`` are the wanted sizes of the routers' subsets."""


@dataclass(frozen=True, slots=True)
class Sharers:
    """Who shares engines, flat: ``router[i]`` is the ``rank[i]``-th of those that share ``engine[i]``.

    ``engine`` holds indices of the given list of engines; ``count`` is the number of sharers by that index. A
    router that reaches an engine by two of its points counts twice and has the first of the two ranks.
    """

    engine: Integers
    router: Integers
    rank: Integers
    count: Integers

    def with_lowest_ranks(self) -> Sharers:
        """Each router once for an engine, with its lowest rank."""
        routers = int(self.router.max(initial=0)) + 1
        _, first = np.unique(self.engine * routers + self.router, return_index=True)
        return Sharers(self.engine[first], self.router[first], self.rank[first], self.count)

    def parts(self, total: int, rotation: int) -> Integers:
        """Parts of an engine's budget of ``total`` parts by sharer; ``rotation`` shifts the ranks."""
        count = self.count[self.engine]
        return (total + (self.rank + rotation) % count) // count


@dataclass(frozen=True)
class Rendezvous:
    """Each router takes the engines with the highest hash of both names (highest random weight)."""

    name: str = "rendezvous"
    counts_sharers: bool = False

    def windows(self, engines: Engines, routers: Routers, sizes: Integers) -> Integers:
        """See ``Scheme``."""
        widest = int(sizes.max(initial=0))
        rows = np.empty((len(routers), widest), dtype=np.int64)
        for row, number in enumerate(routers.number):
            scores = salted(engines.key, int(number))
            top = np.argpartition(scores, len(scores) - widest)[len(scores) - widest :]
            rows[row] = engines.number[top[np.argsort(scores[top])[::-1]]]
        return np.where(np.arange(widest) < sizes[:, None], rows, NO_ENGINE)


@dataclass(frozen=True)
class BoundedLoad:
    """Consistent hashing with bounded load: by number, routers take the next engines below the bound."""

    name: str = "bounded"
    counts_sharers: bool = False

    def windows(self, engines: Engines, routers: Routers, sizes: Integers) -> Integers:
        """See ``Scheme``."""
        points = positions(engines.key)
        order = np.argsort(points)
        max_routers = int(np.ceil(LOAD_BOUND * sizes.sum() / len(engines)))
        starts = np.searchsorted(points[order], router_positions(routers.number)).tolist()
        size = len(order)
        assigned = [0] * size  # routers of each engine, in ring order
        rows = np.full((len(routers), int(sizes.max(initial=0))), NO_ENGINE, dtype=np.int64)
        for row, (start, wanted) in enumerate(zip(starts, sizes.tolist(), strict=True)):
            chosen: list[int] = []
            for step in range(size):
                candidate = (start + step) % size
                if assigned[candidate] < max_routers:
                    assigned[candidate] += 1
                    chosen.append(candidate)
                    if len(chosen) == wanted:
                        break
            rows[row, : len(chosen)] = engines.number[order[chosen]]
        return rows


@dataclass(frozen=True)
class Rounds:
    """Deterministic rounds: as many routers as there are slices take one each of a shuffled order."""

    name: str = "rounds"
    counts_sharers: bool = False
    power_of_two: bool = False  # round the number of slices up, so that it seldom changes

    def windows(self, engines: Engines, routers: Routers, sizes: Integers) -> Integers:
        """See ``Scheme``."""
        slices = max(1, len(engines) // int(sizes.min()))
        if self.power_of_two:
            slices = 1 << (slices - 1).bit_length()
        rows = np.full((len(routers), int(sizes.max(initial=0))), NO_ENGINE, dtype=np.int64)
        for round_number in range(int(routers.index.max(initial=0)) // slices + 1):
            members = np.flatnonzero(routers.index // slices == round_number)
            order = np.argsort(salted(engines.key, round_number))
            starts = (routers.index[members] % slices) * len(engines) // slices
            window = window_rows(engines.number[order], starts, sizes[members])
            rows[members, : window.shape[1]] = window
        return rows


@dataclass(frozen=True)
class RankWindows:
    """Engines in the order of their hash; the window of router i of n starts at i/n of the list.

    With ``golden`` it starts at the fractional part of i times the golden ratio, for any count of routers.
    """

    name: str = "rank"
    golden: bool = False
    counts_sharers: bool = True

    def windows(self, engines: Engines, routers: Routers, sizes: Integers) -> Integers:
        """See ``Scheme``."""
        order = engines.number[np.argsort(engines.key)]
        if self.golden:
            starts = (router_positions(routers.number) * len(engines)).astype(np.int64)
        else:
            starts = routers.index * len(engines) // routers.count
        return window_rows(order, starts, sizes)


class Circle(NamedTuple):
    """Positions of points in ascending order, and the index of the engine that each belongs to."""

    points: Floats
    owners: Integers


@dataclass(frozen=True)
class PointCircle:
    """Engines are points on a circle by hash, routers by number; a router takes the points after its own.

    An engine may have several points; where it occurs twice in a window, the window has fewer engines.
    """

    name: str = "circle"
    points: int = 1
    counts_sharers: bool = True

    def windows(self, engines: Engines, routers: Routers, sizes: Integers) -> Integers:
        """See ``Scheme``."""
        points, owners = self.circle(engines)
        starts = np.searchsorted(points, router_positions(routers.number))
        width = np.where(sizes >= len(engines), len(points), sizes)
        rows = window_rows(engines.number[owners], starts, width)
        if self.points == 1:
            return rows
        rows = without_repeats(rows)
        return rows if rows.shape[1] == sizes.max(initial=0) else without_gaps(rows)[:, : int(sizes.max())]

    def circle(self, engines: Engines) -> Circle:
        """The points in order, and the index of each point's engine."""
        points = np.concatenate([positions(salted(engines.key, point)) for point in range(self.points)])
        owners = np.tile(np.arange(len(engines)), self.points)
        order = np.argsort(points)
        return Circle(points[order], owners[order])

    def sharers(self, engines: Engines, routers: Routers, size: int) -> Sharers:
        """Who shares each engine, from the list, the routers' numbers and a subset size that all have.

        The routers of a point are those located after its ``size``-th predecessor and not after the point.
        """
        if size >= len(engines) and self.points > 1:
            # All routers have all engines, so one point of each is enough.
            return replace(self, points=1).sharers(engines, routers, size)
        points, owners = self.circle(engines)
        located = router_positions(routers.number)
        router_order = np.argsort(located)
        end = np.searchsorted(located[router_order], points, side="right")
        if size >= len(engines):
            start = end - len(located)
        else:
            start = np.concatenate([end[-size:] - len(located), end[:-size]])
        by_engine = np.argsort(owners, kind="stable")
        lengths = (end - start)[by_engine]
        engine = np.repeat(owners[by_engine], lengths)
        step = np.arange(len(engine)) - np.repeat(np.cumsum(lengths) - lengths, lengths)
        index = (np.repeat(start[by_engine], lengths) + step) % len(located)
        count = np.bincount(engine, minlength=len(engines))
        rank = np.arange(len(engine)) - (np.cumsum(count) - count)[engine]
        return Sharers(engine, routers.number[router_order][index], rank, count).with_lowest_ranks()


SCHEMES: tuple[Scheme, ...] = (
    Rendezvous(),
    BoundedLoad(),
    Rounds(),
    Rounds("rounds-2k", power_of_two=True),
    RankWindows(),
    RankWindows("rank-golden", golden=True),
    PointCircle(),
    PointCircle("circle-4", points=4),
    PointCircle("circle-8", points=8),
)
