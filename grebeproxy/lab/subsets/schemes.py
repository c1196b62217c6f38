"""Ways to choose each router's subset from the list of engines, its number and the count of routers.

Every scheme gives windows: a row of engine numbers for each router in the agreed order, ``NONE`` where a
row is shorter than the longest.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Protocol

import numpy as np

from grebeproxy.lab.subsets.fleet import (
    Engines,
    Fleet,
    Floats,
    Integers,
    Keys,
    Routers,
    mix,
    positions,
    router_positions,
)

NONE = -1
LOAD_BOUND = 1.25  # times the mean of routers that bounded-load hashing gives an engine at most
ODD = np.uint64(0x9E3779B97F4A7C15)


class Scheme(Protocol):
    """One way to choose subsets."""

    @property
    def name(self) -> str:
        """The name of the scheme in tables and records."""

    @property
    def counts_sharers(self) -> bool:
        """A router can tell how many share an engine with it, at any width, and weigh engines by it."""

    def windows(self, engines: Engines, routers: Routers, own: Integers) -> Integers:
        """A row of engines for each router; ``own`` is how many each is to have."""


@dataclass(frozen=True, slots=True)
class Sharers:
    """Who shares engines, flat: ``router[i]`` is the ``rank[i]``-th of those that share ``engine[i]``.

    Engines are places in the list that was asked about. A router that reaches an engine by two of its points
    counts twice and has the first of the two ranks.
    """

    engine: Integers
    router: Integers
    rank: Integers
    count: Integers

    def first_places(self) -> Sharers:
        """Each router once at an engine, with its lowest rank."""
        most = int(self.router.max(initial=0)) + 1
        _, first = np.unique(self.engine * most + self.router, return_index=True)
        return Sharers(self.engine[first], self.router[first], self.rank[first], self.count)

    def parts(self, whole: int, turn: int) -> Integers:
        """Whole parts of a budget of ``whole`` parts that each has in the slot of this turn."""
        count = self.count[self.engine]
        return (whole + (self.rank + turn) % count) // count


def _salted(keys: Keys, salt: int) -> Keys:
    with np.errstate(over="ignore"):
        return mix(keys + ODD * np.uint64(salt + 1))


def _rows(order: Integers, starts: Integers, own: Integers) -> Integers:
    """The next ``own`` entries of a cyclic order from each start on."""
    offsets = np.arange(int(own.max(initial=0)))
    rows = order[(starts[:, None] + offsets) % len(order)]
    return np.where(offsets < own[:, None], rows, NONE)


def _without_repeats(rows: Integers) -> Integers:
    """Rows in which an engine stands once, at its first place."""
    by_engine = np.argsort(rows, axis=1, kind="stable")
    sorted_rows = np.take_along_axis(rows, by_engine, axis=1)
    repeated = np.zeros(rows.shape, dtype=np.bool_)
    repeated[:, 1:] = sorted_rows[:, 1:] == sorted_rows[:, :-1]
    result = np.empty_like(rows)
    np.put_along_axis(result, by_engine, np.where(repeated, NONE, sorted_rows), axis=1)
    return result


def _without_gaps(rows: Integers) -> Integers:
    """Rows with their engines first, in the order that they have."""
    result: Integers = np.take_along_axis(rows, np.argsort(rows == NONE, axis=1, kind="stable"), axis=1)
    return result


@dataclass(frozen=True)
class Rendezvous:
    """Each router takes the engines with the highest hash of both names (highest random weight)."""

    name: str = "rendezvous"
    counts_sharers: bool = False

    def windows(self, engines: Engines, routers: Routers, own: Integers) -> Integers:
        """See ``Scheme``."""
        widest = int(own.max(initial=0))
        rows = np.empty((len(routers), widest), dtype=np.int64)
        for row, number in enumerate(routers.number):
            scores = _salted(engines.key, int(number))
            top = np.argpartition(scores, len(scores) - widest)[len(scores) - widest :]
            rows[row] = engines.number[top[np.argsort(scores[top])[::-1]]]
        return np.where(np.arange(widest) < own[:, None], rows, NONE)


@dataclass(frozen=True)
class BoundedLoad:
    """Consistent hashing with bounded load: by number, routers take the next engines that are not full."""

    name: str = "bounded"
    counts_sharers: bool = False

    def windows(self, engines: Engines, routers: Routers, own: Integers) -> Integers:
        """See ``Scheme``."""
        points = positions(engines.key)
        order = np.argsort(points)
        cap = int(np.ceil(LOAD_BOUND * own.sum() / len(engines)))
        starts = np.searchsorted(points[order], router_positions(routers.number)).tolist()
        taken, size = [0] * len(order), len(order)
        rows = np.full((len(routers), int(own.max(initial=0))), NONE, dtype=np.int64)
        for row, (start, wanted) in enumerate(zip(starts, own.tolist(), strict=True)):
            chosen: list[int] = []
            for step in range(size):
                at = (start + step) % size
                if taken[at] < cap:
                    taken[at] += 1
                    chosen.append(at)
                    if len(chosen) == wanted:
                        break
            rows[row, : len(chosen)] = engines.number[order[chosen]]
        return rows


@dataclass(frozen=True)
class Rounds:
    """Deterministic rounds: as many routers as there are slices take one each of a shuffled order."""

    name: str = "rounds"
    counts_sharers: bool = False
    power_of_two: bool = False  # of slices, so that their count seldom changes

    def windows(self, engines: Engines, routers: Routers, own: Integers) -> Integers:
        """See ``Scheme``."""
        slices = max(1, len(engines) // int(own.min()))
        if self.power_of_two:
            slices = 1 << (slices - 1).bit_length()
        rows = np.full((len(routers), int(own.max(initial=0))), NONE, dtype=np.int64)
        for turn in range(int(routers.place.max(initial=0)) // slices + 1):
            mine = np.flatnonzero(routers.place // slices == turn)
            order = np.argsort(_salted(engines.key, turn))
            starts = (routers.place[mine] % slices) * len(engines) // slices
            window = _rows(engines.number[order], starts, own[mine])
            rows[mine, : window.shape[1]] = window
        return rows


@dataclass(frozen=True)
class RankWindows:
    """Engines in the order of their hash; the window of router i of n starts at i/n of the list.

    ``golden``: it starts at the fraction of i times the golden ratio instead, whatever the count of routers.
    """

    name: str = "rank"
    golden: bool = False
    counts_sharers: bool = True

    def windows(self, engines: Engines, routers: Routers, own: Integers) -> Integers:
        """See ``Scheme``."""
        order = engines.number[np.argsort(engines.key)]
        if self.golden:
            starts = (router_positions(routers.number) * len(engines)).astype(np.int64)
        else:
            starts = routers.place * len(engines) // routers.count
        return _rows(order, starts, own)


@dataclass(frozen=True)
class PointCircle:
    """Engines lie on a circle by hash, routers by number; a router takes the next ``own`` points.

    An engine may have several points; where one stands in a window twice, the window has fewer engines.
    """

    name: str = "circle"
    points: int = 1
    counts_sharers: bool = True

    def windows(self, engines: Engines, routers: Routers, own: Integers) -> Integers:
        """See ``Scheme``."""
        points, owners = self.circle(engines)
        starts = np.searchsorted(points, router_positions(routers.number))
        width = np.where(own >= len(engines), len(points), own)
        rows = _rows(engines.number[owners], starts, width)
        if self.points == 1:
            return rows
        rows = _without_repeats(rows)
        return rows if rows.shape[1] == own.max(initial=0) else _without_gaps(rows)[:, : int(own.max())]

    def circle(self, engines: Engines) -> tuple[Floats, Integers]:
        """The points in order, and the place in ``engines`` of the engine that each belongs to."""
        points = np.concatenate([positions(_salted(engines.key, point)) for point in range(self.points)])
        owners = np.tile(np.arange(len(engines)), self.points)
        order = np.argsort(points)
        return points[order], owners[order]

    def sharers(self, engines: Engines, routers: Routers, own: int) -> Sharers:
        """Who shares each engine, from the list, the routers' numbers and a width that all have.

        The routers of a point are those that lie after its ``own``-th predecessor and not after the point.
        """
        if own >= len(engines) and self.points > 1:
            return replace(self, points=1).sharers(engines, routers, own)  # all have all: once is enough
        points, owners = self.circle(engines)
        lying = router_positions(routers.number)
        router_order = np.argsort(lying)
        upto = np.searchsorted(lying[router_order], points, side="right")
        if own >= len(engines):
            before = upto - len(lying)
        else:
            before = np.concatenate([upto[-own:] - len(lying), upto[:-own]])
        by_engine = np.argsort(owners, kind="stable")
        lengths = (upto - before)[by_engine]
        engine = np.repeat(owners[by_engine], lengths)
        step = np.arange(len(engine)) - np.repeat(np.cumsum(lengths) - lengths, lengths)
        place = (np.repeat(before[by_engine], lengths) + step) % len(lying)
        count = np.bincount(engine, minlength=len(engines))
        rank = np.arange(len(engine)) - (np.cumsum(count) - count)[engine]
        return Sharers(engine, routers.number[router_order][place], rank, count).first_places()


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


def zone_windows(scheme: Scheme, fleet: Fleet, own: Integers) -> Integers:
    """The window of each router among the engines of its own zone."""
    rows = np.full((len(fleet.routers), int(own.max(initial=0))), NONE, dtype=np.int64)
    for zone in range(fleet.zones):
        engines = fleet.engines.where(fleet.engines.zone == zone)
        mine = np.flatnonzero(fleet.routers.zone == zone)
        if len(engines) and len(mine):
            of_zone = np.minimum(own[mine], len(engines))
            window = scheme.windows(engines, fleet.routers.of_zone(zone), of_zone)
            rows[mine, : window.shape[1]] = window
    return rows


def all_windows(scheme: Scheme, fleet: Fleet, own: Integers) -> tuple[Integers, Integers]:
    """The windows over all engines, and those over the engines of each router's zone."""
    everywhere = scheme.windows(fleet.engines, fleet.routers, own)
    return everywhere, (zone_windows(scheme, fleet, own) if fleet.zones > 1 else everywhere[:, :0])
