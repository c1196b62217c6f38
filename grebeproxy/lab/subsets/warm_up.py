"""Measures of a warming engine's budget: the sum of the parts that its sharers take, over the budget."""

from __future__ import annotations

import numpy as np

from grebeproxy.lab.subsets.fleet import Fleet, Floats, Integers, Mask, with_routers
from grebeproxy.lab.subsets.losses import losses
from grebeproxy.lab.subsets.movement import count_after_scaling
from grebeproxy.lab.subsets.pairs import fleet_pairs
from grebeproxy.lab.subsets.schemes import PointCircle, Scheme, Sharers
from grebeproxy.lab.subsets.traffic import Values, engine_loads, traffic_patterns

BUDGET_PARTS = (1, 3, 7, 20, 60)  # numbers of parts into which a slot's budget is divided
ROTATIONS = 4  # random rotations of the ranks for each number of parts
ROTATION_VALUES = 1 << 32


def warm_up_budget(scheme: PointCircle, fleet: Fleet, rng: np.random.Generator) -> Values:
    """The sum of the parts of an engine's warm-up budget that its sharers take, over the budget (ideally 1).

    - ``base``: all routers count sharers by the base subset size; the worst is over the slots tried.
    - ``own``: each router counts sharers by its own subset size.
    - ``counts``: routers use different counts of routers.
    - ``zone``: the budget is divided over the zone's circle among all routers that have the engine in a
      window, and each router counts the routers of all zones.
    """
    size = fleet.base_subset_size()
    sharers = scheme.sharers(fleet.engines, fleet.routers, size)
    fractions = [
        _divided_fraction(sharers, total, int(rotation))
        for total in BUDGET_PARTS
        for rotation in rng.integers(ROTATION_VALUES, size=ROTATIONS)
    ]
    result = {
        "cold.base_worst": max(float(fraction.max()) for fraction in fractions),
        "cold.base_mean": float(fractions[-1].mean()),
    }
    for name, traffic in traffic_patterns(len(fleet.routers), rng).items():
        if name != "equal":
            by_size = _budget_by_own_size(scheme, fleet, fleet.subset_sizes(traffic))
            result |= _worst_and_mean(f"cold.own_{name}", by_size)
    for name, old_count in (("one", len(fleet.routers) - 1), ("tenth", count_after_scaling(fleet))):
        result |= _worst_and_mean(
            f"cold.counts_{name}", _budget_by_two_counts(scheme, fleet, size, old_count)
        )
    if fleet.zones > 1:
        result |= _worst_and_mean("cold.zone", _budget_by_zone(scheme, fleet, size))
    return result


def warm_up_budget_between_lists(scheme: Scheme, fleet: Fleet, rng: np.random.Generator) -> Values:
    """The sum of the parts of an engine's warm-up budget that its sharers take while engine lists differ.

    Every second router still lists engines that are gone; each router counts sharers by its own list.
    """
    result: Values = {}
    for name, mask in losses(fleet, rng).items():
        remaining = fleet.without(mask)
        budget = np.zeros(fleet.universe)
        for listed, is_updated in ((fleet, 0), (remaining, 1)):
            pairs = fleet_pairs(scheme, listed)
            part = 1.0 / np.maximum(pairs.sharers()[pairs.engine], 1)
            budget += engine_loads(pairs, np.where(pairs.router % 2 == is_updated, part, 0.0))
        result |= _worst_and_mean(f"cold.lists_{name}", budget[remaining.engines.number])
    return result


def _worst_and_mean(name: str, budget: Floats) -> Values:
    return {f"{name}_worst": float(budget.max()), f"{name}_mean": float(budget.mean())}


def _divided_fraction(sharers: Sharers, total: int, rotation: int) -> Floats:
    """For each engine, the sum of its sharers' parts over the total."""
    parts = sharers.parts(total, rotation)
    return np.bincount(sharers.engine, weights=parts, minlength=len(sharers.count)).astype(np.float64) / total


def _budget_by_own_size(scheme: PointCircle, fleet: Fleet, sizes: Integers) -> Floats:
    budget = np.zeros(len(fleet.engines))
    for size in np.unique(sizes):
        sharers = scheme.sharers(fleet.engines, fleet.routers, int(size))
        budget += _sum_of_parts(sharers, sizes[sharers.router] == size)
    return budget


def _budget_by_two_counts(scheme: PointCircle, fleet: Fleet, size: int, old_count: int) -> Floats:
    """The budget while routers use two counts.

    Every second of the first ``old_count`` routers uses that count, and all others use the true count.
    """
    budget = np.zeros(len(fleet.engines))
    for routers, is_stale in ((with_routers(fleet, old_count).routers, True), (fleet.routers, False)):
        sharers = scheme.sharers(fleet.engines, routers, size)
        uses_old_count = (sharers.router < old_count) & (sharers.router % 2 == 0)
        budget += _sum_of_parts(sharers, uses_old_count == is_stale)
    return budget


def _budget_by_zone(scheme: PointCircle, fleet: Fleet, size: int) -> Floats:
    budget = np.zeros(len(fleet.engines))
    for zone in range(fleet.zones):
        in_zone = fleet.engines.zone == zone
        engines = fleet.engines.where(in_zone)
        sharers = scheme.sharers(engines, fleet.routers, size)
        in_fleet_window = np.isin(
            engines.number[sharers.engine] * len(fleet.routers) + sharers.router,
            _fleet_window_codes(scheme, fleet, size, in_zone),
        )
        in_zone_window = fleet.routers.zone[sharers.router] == zone
        budget[in_zone] = _sum_of_parts(sharers, in_zone_window | in_fleet_window)
    return budget


def _fleet_window_codes(scheme: PointCircle, fleet: Fleet, size: int, engines: Mask) -> Integers:
    """A unique number for each pair of the windows over all engines, where the mask holds for the engine."""
    sharers = scheme.sharers(fleet.engines, fleet.routers, size)
    selected = engines[sharers.engine]
    return fleet.engines.number[sharers.engine[selected]] * len(fleet.routers) + sharers.router[selected]


def _sum_of_parts(sharers: Sharers, mask: Mask) -> Floats:
    """For each engine, the sum of 1 / (number of its sharers) over the pairs for which the mask holds."""
    part = np.where(mask, 1.0 / np.maximum(sharers.count[sharers.engine], 1), 0.0)
    return np.bincount(sharers.engine, weights=part, minlength=len(sharers.count)).astype(np.float64)
