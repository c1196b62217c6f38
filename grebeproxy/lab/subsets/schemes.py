"""Schemes that choose a router's subset from the engine list, the router's number and the count of routers.

Every scheme returns windows: a row of engine numbers for each router, in a fixed order. Rows that are shorter
than the longest are padded with ``NO_ENGINE``.
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

LOAD_BOUND = 1.25  # an engine's maximum number of routers over the mean, in bounded-load hashing


class Scheme(Protocol):
    """A scheme that chooses the subsets of all routers."""

    @property
    def name(self) -> str:
        """The name of the scheme in tables and records."""

    @property
    def counts_sharers(self) -> bool:
        """Whether a router can compute, for any subset size, how many routers share an engine."""

    def windows(self, engines: Engines, routers: Routers, sizes: Integers) -> Integers:
        """The window of each router; ``sizes`` are the intended sizes of the routers' subsets."""


@dataclass(frozen=True, slots=True)
class Sharers:
    """Sharers of engines as parallel arrays: ``router[i]`` has ``rank[i]`` among those of ``engine[i]``.

    ``engine`` holds indices into the given engines; ``count`` is the number of sharers by that index. A
    router whose window has two points of an engine counts twice and has the lower of its two ranks.
    """

    engine: Integers
    router: Integers
    rank: Integers
    count: Integers

    def with_lowest_ranks(self) -> Sharers:
        """The sharers with each router listed once for an engine, with its lowest rank."""
        routers = int(self.router.max(initial=0)) + 1
        _, first = np.unique(self.engine * routers + self.router, return_index=True)
        return Sharers(self.engine[first], self.router[first], self.rank[first], self.count)

    def parts(self, total: int, rotation: int) -> Integers:
        """Each sharer's number of ``total`` parts of an engine's budget; ``rotation`` shifts the ranks."""
        count = self.count[self.engine]
        return (total + (self.rank + rotation) % count) // count


@dataclass(frozen=True)
class Rendezvous:
    """Each router takes the engines with the highest hash of both names (highest random weight)."""

    name: str = "rendezvous"
    counts_sharers: bool = False

    def windows(self, engines: Engines, routers: Routers, sizes: Integers) -> Integers:
        """The window of each router; ``sizes`` are the intended sizes of the routers' subsets."""
        widest = int(sizes.max(initial=0))
        rows = np.empty((len(routers), widest), dtype=np.int64)
        for row, number in enumerate(routers.number):
            scores = salted(engines.key, int(number))
            top = np.argpartition(scores, len(scores) - widest)[len(scores) - widest :]
            rows[row] = engines.number[top[np.argsort(scores[top])[::-1]]]
        return np.where(np.arange(widest) < sizes[:, None], rows, NO_ENGINE)


@dataclass(frozen=True)
class BoundedLoad:
    """Consistent hashing with bounded loads.

    In the order of their numbers, routers take the next engines on the circle that are below the bound.
    """

    name: str = "bounded"
    counts_sharers: bool = False

    def windows(self, engines: Engines, routers: Routers, sizes: Integers) -> Integers:
        """The window of each router; ``sizes`` are the intended sizes of the routers' subsets."""
        points = positions(engines.key)
        order = np.argsort(points)
        max_routers = int(np.ceil(LOAD_BOUND * sizes.sum() / len(engines)))
        starts = np.searchsorted(points[order], router_positions(routers.number)).tolist()
        size = len(order)
        assigned = [0] * size  # number of routers by engine, in the order of the circle
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
    """Deterministic subsetting in rounds.

    Each round shuffles the engines and cuts them into slices; each router of the round takes one slice.
    """

    name: str = "rounds"
    counts_sharers: bool = False
    power_of_two: bool = False  # rounds the number of slices up, so that it seldom changes

    def windows(self, engines: Engines, routers: Routers, sizes: Integers) -> Integers:
        """The window of each router; ``sizes`` are the intended sizes of the routers' subsets."""
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
    """Engines are in the order of their hashes; the window of router i of n starts at i/n of the list.

    With ``golden``, the window starts at the fractional part of i times the golden ratio, whatever n is.
    """

    name: str = "rank"
    golden: bool = False
    counts_sharers: bool = True

    def windows(self, engines: Engines, routers: Routers, sizes: Integers) -> Integers:
        """The window of each router; ``sizes`` are the intended sizes of the routers' subsets."""
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
    """Consistent hashing: a router takes the engines whose points follow its own point on a circle.

    An engine's points follow from its hash, a router's point from its number. An engine may have several
    points; a window that has two points of one engine has fewer engines.
    """

    name: str = "circle"
    points: int = 1
    counts_sharers: bool = True

    def windows(self, engines: Engines, routers: Routers, sizes: Integers) -> Integers:
        """The window of each router; ``sizes`` are the intended sizes of the routers' subsets."""
        points, owners = self.circle(engines)
        starts = np.searchsorted(points, router_positions(routers.number))
        width = np.where(sizes >= len(engines), len(points), sizes)
        rows = window_rows(engines.number[owners], starts, width)
        if self.points == 1:
            return rows
        rows = without_repeats(rows)
        return rows if rows.shape[1] == sizes.max(initial=0) else without_gaps(rows)[:, : int(sizes.max())]

    def circle(self, engines: Engines) -> Circle:
        """Places the points of all engines on the circle."""
        points = np.concatenate([positions(salted(engines.key, point)) for point in range(self.points)])
        owners = np.tile(np.arange(len(engines)), self.points)
        order = np.argsort(points)
        return Circle(points[order], owners[order])

    def sharers(self, engines: Engines, routers: Routers, size: int) -> Sharers:
        """The sharers of each engine where all subsets have one size, from the list and the routers' numbers.

        The routers that share a point lie after the ``size``-th predecessor of the point and not after the
        point itself.
        """
        if size >= len(engines) and self.points > 1:
            # All routers have all engines, so one point of each engine is enough.
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
