"""Measures of movement: pairs that change when engines or routers are added or removed."""

from __future__ import annotations

from dataclasses import replace

import numpy as np

from grebeproxy.lab.subsets.fleet import SCALING_FRACTION, Fleet, with_routers
from grebeproxy.lab.subsets.losses import losses
from grebeproxy.lab.subsets.pairs import Pairs, all_windows, changed_fraction, subset_pairs
from grebeproxy.lab.subsets.schemes import Scheme
from grebeproxy.lab.subsets.traffic import Values


def movement(scheme: Scheme, fleet: Fleet, rng: np.random.Generator) -> Values:
    """Changed pairs over all pairs, and over the least possible number, for each change of the fleet."""
    result: Values = {}
    before = subset_pairs(scheme, fleet)
    for name, mask in losses(fleet, rng).items():
        after = subset_pairs(scheme, fleet.without(mask))
        removed = np.isin(before.engine, fleet.engines.number[mask]).sum()
        added = max(0, len(after.router) - len(before.router) + removed)
        least = float(removed + added) / len(before.router)
        changed = changed_fraction(before, after)
        result |= {f"moved.{name}": changed, f"moved.{name}_over_least": changed / least if least else 1.0}
    result["moved.restart"] = changed_fraction(before, subset_pairs(scheme, fleet))
    routers = len(fleet.routers)
    for name, count in (("one_router", routers - 1), ("tenth", count_after_scaling(fleet))):
        after = subset_pairs(scheme, with_routers(fleet, count))
        remaining = before.where(before.router < count)  # none of these pairs has to change
        result[f"moved.{name}"] = changed_fraction(remaining, after)
    result["moved.counts_differ"] = _changed_while_counts_differ(scheme, fleet)
    return result


def count_after_scaling(fleet: Fleet) -> int:
    """The number of routers after a tenth of them, at least one, has been removed."""
    routers = len(fleet.routers)
    return routers - max(1, round(SCALING_FRACTION * routers))


def _changed_while_counts_differ(scheme: Scheme, fleet: Fleet) -> float:
    """The fraction of pairs that change while every second router uses an old, smaller router count."""
    old_count = count_after_scaling(fleet)
    is_stale = (fleet.routers.number % 2 == 0) & (fleet.routers.number < old_count)
    stale = replace(fleet.routers, count=np.where(is_stale, old_count, len(fleet.routers)))
    windows = all_windows(scheme, replace(fleet, routers=stale), fleet.subset_sizes())
    return changed_fraction(subset_pairs(scheme, fleet), Pairs.of(fleet, *windows))
