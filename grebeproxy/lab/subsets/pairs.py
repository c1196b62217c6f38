"""Pairs of a router and an engine that it may use, from the windows of a scheme."""

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
    """Windows over all engines, and over those of each router's zone (empty with one zone)."""

    fleet: Integers
    zone: Integers


def all_windows(scheme: Scheme, fleet: Fleet, sizes: Integers) -> Windows:
    """Both kinds of windows, as routers use them."""
    of_fleet = scheme.windows(fleet.engines, fleet.routers, sizes)
    of_zone = zone_windows(scheme, fleet, sizes) if fleet.zones > 1 else of_fleet[:, :0]
    return Windows(of_fleet, of_zone)


@dataclass(frozen=True, slots=True)
class Pairs:
    """Which router may use which engine, flat: ``router[i]`` has ``engine[i]``."""

    router: Integers
    engine: Integers
    universe: int

    @classmethod
    def of(cls, fleet: Fleet, *windows: Integers) -> Pairs:
        """The pairs of one or more windows, each once."""
        codes = [
            (fleet.routers.number[:, None] * fleet.universe + rows)[rows != NO_ENGINE]
            for rows in windows
            if rows.size
        ]
        distinct = np.unique(np.concatenate(codes))
        return cls(distinct // fleet.universe, distinct % fleet.universe, fleet.universe)

    def codes(self) -> Integers:
        """One sorted number for each pair."""
        return self.router * self.universe + self.engine

    def where(self, mask: Mask) -> Pairs:
        """The pairs for which the mask holds."""
        return Pairs(self.router[mask], self.engine[mask], self.universe)

    def sharers(self) -> Integers:
        """Routers by engine."""
        return np.bincount(self.engine, minlength=self.universe)


def subset_pairs(scheme: Scheme, fleet: Fleet, relative_traffic: Floats | None = None) -> Pairs:
    """The pairs of the windows over all engines and over those of the zone."""
    return Pairs.of(fleet, *all_windows(scheme, fleet, fleet.subset_sizes(relative_traffic)))


def zone_pairs(scheme: Scheme, fleet: Fleet, relative_traffic: Floats | None = None) -> Pairs:
    """The pairs of the windows over the engines of the zone alone."""
    if fleet.zones == 1:
        return fleet_pairs(scheme, fleet, relative_traffic)
    return Pairs.of(fleet, zone_windows(scheme, fleet, fleet.subset_sizes(relative_traffic)))


def fleet_pairs(scheme: Scheme, fleet: Fleet, relative_traffic: Floats | None = None) -> Pairs:
    """The pairs of the windows over all engines alone."""
    sizes = fleet.subset_sizes(relative_traffic)
    return Pairs.of(fleet, scheme.windows(fleet.engines, fleet.routers, sizes))


def changed_fraction(before: Pairs, after: Pairs) -> float:
    """Pairs that are in only one of the two, over those before."""
    changed = np.setxor1d(before.codes(), after.codes(), assume_unique=True)
    return float(len(changed) / len(before.router))
