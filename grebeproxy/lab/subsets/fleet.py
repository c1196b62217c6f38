"""The simulated fleet: engines with random identities, numbered routers, and the zones of both."""

from __future__ import annotations

from dataclasses import dataclass, replace

import numpy as np
from numpy.typing import NDArray

Integers = NDArray[np.int64]
Keys = NDArray[np.uint64]
Floats = NDArray[np.float64]
Mask = NDArray[np.bool_]

MIN_SUBSET_SIZE = 16  # engines; equal to the minimum in ``grebeproxy/policy/subset.py``
ENGINES_PER_ROUTER_FACTOR = 3.0  # minimum ratio of subset size to engines per router, as in the policy
MAX_RELATIVE_TRAFFIC = 8.0  # a router widens its subset up to this multiple of the mean traffic
RACK_SIZE = 40  # engines
SCALING_FRACTION = 0.1  # fraction of the routers that is added or removed at once
GOLDEN_RATIO = 0.6180339887498949


@dataclass(frozen=True, slots=True)
class Engines:
    """Parallel arrays with an entry for each engine; ``key`` holds the hashes of the engines' ids."""

    number: Integers
    key: Keys
    zone: Integers

    def __len__(self) -> int:
        """The number of engines."""
        return len(self.number)

    def where(self, mask: Mask) -> Engines:
        """The engines for which the mask holds."""
        return Engines(self.number[mask], self.key[mask], self.zone[mask])


@dataclass(frozen=True, slots=True)
class Routers:
    """Parallel arrays with an entry for each router.

    Each router assumes that it stands at ``index`` among ``count`` routers in the order of numbers.
    """

    number: Integers
    zone: Integers
    index: Integers
    count: Integers

    def __len__(self) -> int:
        """The number of routers."""
        return len(self.number)

    def where(self, mask: Mask) -> Routers:
        """The routers for which the mask holds, each with its index among all routers."""
        return Routers(self.number[mask], self.zone[mask], self.index[mask], self.count[mask])

    def of_zone(self, zone: int) -> Routers:
        """The routers of a zone, indexed within the zone, as if each router knew the zones of all routers."""
        routers = self.where(self.zone == zone)
        fraction = len(routers) / max(1, len(self))
        count = np.maximum(len(routers), np.rint(routers.count * fraction).astype(np.int64))
        return replace(routers, index=np.arange(len(routers), dtype=np.int64), count=count)


@dataclass(frozen=True, slots=True)
class Fleet:
    """The engines and routers at one time; ``universe`` is the number of engines that ever existed."""

    engines: Engines
    routers: Routers
    zones: int
    universe: int

    def without(self, lost: Mask) -> Fleet:
        """The fleet without the engines for which the mask holds."""
        return replace(self, engines=self.engines.where(~lost))

    def subset_sizes(self, relative_traffic: Floats | None = None) -> Integers:
        """The subset sizes of routers; ``relative_traffic`` is their traffic over the mean (1 by default)."""
        engines_per_router = len(self.engines) / len(self.routers)
        base = max(MIN_SUBSET_SIZE, round(ENGINES_PER_ROUTER_FACTOR * engines_per_router))
        if relative_traffic is None:
            factors = np.ones(len(self.routers))
        else:
            factors = np.clip(relative_traffic, 1.0, MAX_RELATIVE_TRAFFIC)
        return np.minimum(np.rint(base * factors).astype(np.int64), len(self.engines))

    def base_subset_size(self) -> int:
        """The subset size of a router with mean traffic."""
        return int(self.subset_sizes().max())


def make_fleet(routers: int, engines: int, zones: int, rng: np.random.Generator) -> Fleet:
    """Makes engines with random identities, and routers; both are spread over the zones evenly."""
    keys = rng.integers(0, 2**64, engines, dtype=np.uint64)
    engine_zones = rng.permutation(np.arange(engines, dtype=np.int64) % zones)
    numbers = np.arange(routers, dtype=np.int64)
    return Fleet(
        Engines(np.arange(engines, dtype=np.int64), keys, engine_zones),
        Routers(
            numbers, _zones_in_blocks(routers, zones, rng), numbers, np.full(routers, routers, dtype=np.int64)
        ),
        zones,
        engines,
    )


def with_routers(fleet: Fleet, count: int) -> Fleet:
    """The fleet with only its first ``count`` routers, all of which know that count."""
    routers = fleet.routers.where(fleet.routers.number < count)
    return replace(fleet, routers=replace(routers, count=np.full(len(routers), count, dtype=np.int64)))


def _zones_in_blocks(routers: int, zones: int, rng: np.random.Generator) -> Integers:
    """Zones of routers such that each block of ``zones`` consecutive routers has one router of each zone."""
    blocks = [rng.permutation(zones) for _ in range(-(-routers // zones))]
    return np.concatenate(blocks)[:routers].astype(np.int64)


def mix(values: Keys) -> Keys:
    """Hashes 64-bit values by the finalizer of splitmix64, which stands in for the product's blake2b."""
    with np.errstate(over="ignore"):
        values = (values ^ (values >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
        values = (values ^ (values >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
    return values ^ (values >> np.uint64(31))


def positions(keys: Keys) -> Floats:
    """Positions of hashes on a circle of circumference 1, from 0 to below 1."""
    return (keys >> np.uint64(11)).astype(np.float64) / float(2**53)


def router_positions(numbers: Integers) -> Floats:
    """Positions of routers on the circle, which spread blocks and strides of router numbers evenly."""
    return (numbers * GOLDEN_RATIO % 1.0).astype(np.float64)
