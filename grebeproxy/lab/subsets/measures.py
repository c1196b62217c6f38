"""All measures of a scheme: balance, movement, losses and the warm-up budget."""

from __future__ import annotations

import numpy as np

from grebeproxy.lab.subsets.balance import connections, loads, sharer_counts
from grebeproxy.lab.subsets.fleet import Fleet
from grebeproxy.lab.subsets.losses import loads_after_zone_loss, usable_after_loss
from grebeproxy.lab.subsets.movement import movement
from grebeproxy.lab.subsets.schemes import PointCircle, Scheme
from grebeproxy.lab.subsets.traffic import Values
from grebeproxy.lab.subsets.warm_up import warm_up_budget, warm_up_budget_between_lists


def measure(scheme: Scheme, fleet: Fleet, seed: int) -> Values:
    """Takes all measures of a scheme on one fleet; equal seeds give the same losses and traffic."""
    values = sharer_counts(scheme, fleet)
    for part in (connections, loads, movement, usable_after_loss, loads_after_zone_loss):
        values |= part(scheme, fleet, np.random.default_rng([seed, 1]))
    if scheme.counts_sharers:
        values |= warm_up_budget_between_lists(scheme, fleet, np.random.default_rng([seed, 1]))
    if isinstance(scheme, PointCircle):
        values |= warm_up_budget(scheme, fleet, np.random.default_rng([seed, 2]))
    return values
