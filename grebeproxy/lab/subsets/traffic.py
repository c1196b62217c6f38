"""Traffic of routers, how each router splits its traffic over its engines, and the resulting loads."""

from __future__ import annotations

import numpy as np

from grebeproxy.lab.subsets.fleet import Floats
from grebeproxy.lab.subsets.pairs import Pairs

LOGNORMAL_SIGMA = 1.0
HEAVY_FRACTION = 0.05  # fraction of the routers that are heavy
HEAVY_FACTOR = 5.0  # traffic of a heavy router over that of another
FEW_ROUNDS = 5  # rounds of rebalancing
MANY_ROUNDS = 50  # rounds of rebalancing
REBALANCE_EXPONENT = 0.5  # exponent of the factor by which a round corrects an engine's load
MIN_LOAD = 1e-9  # lower limit of a load that is used as a divisor

Values = dict[str, float]


def traffic_patterns(routers: int, rng: np.random.Generator) -> dict[str, Floats]:
    """The traffic of each router over the mean, by traffic pattern."""
    lognormal = rng.lognormal(0.0, LOGNORMAL_SIGMA, routers)
    heavy = np.ones(routers)
    heavy[rng.permutation(routers)[: round(HEAVY_FRACTION * routers)]] = HEAVY_FACTOR
    return {
        "equal": np.ones(routers),
        "lognormal": lognormal / lognormal.mean(),
        "heavy": heavy / heavy.mean(),
    }


def split_traffic(pairs: Pairs, weight: Floats, traffic: Floats) -> Floats:
    """The traffic of each pair, where a router splits its traffic by the weights of its pairs."""
    total = np.bincount(pairs.router, weights=weight, minlength=len(traffic))
    result: Floats = traffic[pairs.router] * weight / total[pairs.router]
    return result


def engine_loads(pairs: Pairs, pair_traffic: Floats) -> Floats:
    """The traffic of each engine."""
    return np.bincount(pairs.engine, weights=pair_traffic, minlength=pairs.universe).astype(np.float64)


def rebalanced(pairs: Pairs, pair_traffic: Floats, traffic: Floats, rounds: int) -> Floats:
    """The traffic of each pair after rounds in which routers move traffic to their less loaded engines."""
    for _ in range(rounds):
        load = engine_loads(pairs, pair_traffic)
        relative = load.mean() / np.maximum(load[pairs.engine], MIN_LOAD)
        wanted = pair_traffic * relative**REBALANCE_EXPONENT
        total = np.bincount(pairs.router, weights=wanted, minlength=len(traffic))
        pair_traffic = wanted * (traffic[pairs.router] / total[pairs.router])
    return pair_traffic


def traffic_splits(pairs: Pairs, weights: dict[str, Floats], traffic: Floats) -> dict[str, Floats]:
    """The traffic of each pair by way of splitting: evenly, by each of the weights, and after rebalancing.

    Rebalancing starts from the split by ``weighted``, or from the even split where there is no such weight.
    """
    splits = {"even": split_traffic(pairs, np.ones(len(pairs.router)), traffic)}
    splits |= {kind: split_traffic(pairs, weight, traffic) for kind, weight in weights.items()}
    first = splits.get("weighted", splits["even"])
    splits["shift_few"] = rebalanced(pairs, first, traffic, FEW_ROUNDS)
    splits["shift_many"] = rebalanced(pairs, first, traffic, MANY_ROUNDS)
    return splits


def peak_over_mean(loads: Floats) -> float:
    """The load of the most loaded engine over the mean."""
    return float(loads.max() / loads.mean())
