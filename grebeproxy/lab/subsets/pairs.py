"""Pairs of a router and an engine that the router may use, from the windows of a scheme."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

import numpy as np

from grebeproxy.lab.subsets.fleet import Fleet, Floats, Integers, Mask
from grebeproxy.lab.subsets.schemes import Scheme
from grebeproxy.lab.subsets.windows import NO_ENGINE


def zone_windows(scheme: Scheme, fleet: Fleet, sizes: Integers) -> Integers:
    """The window of each router among the engines of its own zone."""
    rows = np.full((len(fleet.routers), int(sizes.max(initial=0))), NO_ENGINE, dtype=np.int64)
    for zone in range(fleet.zones):
        engines = fleet.engines.where(fleet.engines.zone == zone)
        members = np.flatnonzero(fleet.routers.zone == zone)
        if len(engines) and len(members):
            of_zone = np.minimum(sizes[members], len(engines))
            window = scheme.windows(engines, fleet.routers.of_zone(zone), of_zone)
            rows[members, : window.shape[1]] = window
    return rows


class Windows(NamedTuple):
    """Windows over all engines, and windows over the engines of each router's zone (empty with one zone)."""

    fleet: Integers
    zone: Integers


def all_windows(scheme: Scheme, fleet: Fleet, sizes: Integers) -> Windows:
    """The windows of each router over all engines and over the engines of its zone."""
    of_fleet = scheme.windows(fleet.engines, fleet.routers, sizes)
    of_zone = zone_windows(scheme, fleet, sizes) if fleet.zones > 1 else of_fleet[:, :0]
    return Windows(of_fleet, of_zone)


@dataclass(frozen=True, slots=True)
class Pairs:
    """The engines that routers may use, as parallel arrays: ``router[i]`` may use ``engine[i]``."""

    router: Integers
    engine: Integers
    universe: int

    @classmethod
    def of(cls, fleet: Fleet, *windows: Integers) -> Pairs:
        """The distinct pairs of one or more arrays of windows."""
        codes = [
            (fleet.routers.number[:, None] * fleet.universe + rows)[rows != NO_ENGINE]
            for rows in windows
            if rows.size
        ]
        distinct = np.unique(np.concatenate(codes))
        return cls(distinct // fleet.universe, distinct % fleet.universe, fleet.universe)

    def codes(self) -> Integers:
        """A unique number for each pair, in ascending order."""
        return self.router * self.universe + self.engine

    def where(self, mask: Mask) -> Pairs:
        """The pairs for which the mask holds."""
        return Pairs(self.router[mask], self.engine[mask], self.universe)

    def sharers(self) -> Integers:
        """The number of routers that share each engine."""
        return np.bincount(self.engine, minlength=self.universe)


def subset_pairs(scheme: Scheme, fleet: Fleet, relative_traffic: Floats | None = None) -> Pairs:
    """The pairs of the windows over all engines and of those over the engines of the router's zone."""
    return Pairs.of(fleet, *all_windows(scheme, fleet, fleet.subset_sizes(relative_traffic)))


def zone_pairs(scheme: Scheme, fleet: Fleet, relative_traffic: Floats | None = None) -> Pairs:
    """The pairs of only the windows over the engines of the router's zone."""
    if fleet.zones == 1:
        return fleet_pairs(scheme, fleet, relative_traffic)
    return Pairs.of(fleet, zone_windows(scheme, fleet, fleet.subset_sizes(relative_traffic)))


def fleet_pairs(scheme: Scheme, fleet: Fleet, relative_traffic: Floats | None = None) -> Pairs:
    """The pairs of only the windows over all engines."""
    sizes = fleet.subset_sizes(relative_traffic)
    return Pairs.of(fleet, scheme.windows(fleet.engines, fleet.routers, sizes))


def changed_fraction(before: Pairs, after: Pairs) -> float:
    """The number of pairs that were added or removed, over the number of pairs before."""
    changed = np.setxor1d(before.codes(), after.codes(), assume_unique=True)
    return float(len(changed) / len(before.router))
