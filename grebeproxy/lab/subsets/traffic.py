"""Traffic of routers, how a router splits its own over its engines, and the load that results."""

from __future__ import annotations

import numpy as np

from grebeproxy.lab.subsets.fleet import Floats
from grebeproxy.lab.subsets.pairs import Pairs

LOGNORMAL_SIGMA = 1.0
HEAVY_FRACTION = 0.05  # of the routers
HEAVY_FACTOR = 5.0  # times the mean traffic
FEW_ROUNDS = 5  # of rebalancing
MANY_ROUNDS = 50
REBALANCE_EXPONENT = 0.5  # exponent by which a round reacts to an engine's load
MIN_LOAD = 1e-9  # stands for no load where a load is divided by

Values = dict[str, float]


def traffic_patterns(routers: int, rng: np.random.Generator) -> dict[str, Floats]:
    """For each pattern the traffic of each router, over the mean."""
    lognormal = rng.lognormal(0.0, LOGNORMAL_SIGMA, routers)
    heavy = np.ones(routers)
    heavy[rng.permutation(routers)[: round(HEAVY_FRACTION * routers)]] = HEAVY_FACTOR
    return {
        "equal": np.ones(routers),
        "lognormal": lognormal / lognormal.mean(),
        "heavy": heavy / heavy.mean(),
    }


def split_traffic(pairs: Pairs, weight: Floats, traffic: Floats) -> Floats:
    """Traffic of each pair, where a router splits its own by the weights of its pairs."""
    total = np.bincount(pairs.router, weights=weight, minlength=len(traffic))
    result: Floats = traffic[pairs.router] * weight / total[pairs.router]
    return result


def engine_loads(pairs: Pairs, pair_traffic: Floats) -> Floats:
    """Traffic of each engine."""
    return np.bincount(pairs.engine, weights=pair_traffic, minlength=pairs.universe).astype(np.float64)


def rebalanced(pairs: Pairs, pair_traffic: Floats, traffic: Floats, rounds: int) -> Floats:
    """Traffic of each pair after rounds in which each router moves some to its less loaded engines."""
    for _ in range(rounds):
        load = engine_loads(pairs, pair_traffic)
        relative = load.mean() / np.maximum(load[pairs.engine], MIN_LOAD)
        wanted = pair_traffic * relative**REBALANCE_EXPONENT
        total = np.bincount(pairs.router, weights=wanted, minlength=len(traffic))
        pair_traffic = wanted * (traffic[pairs.router] / total[pairs.router])
    return pair_traffic


def traffic_splits(pairs: Pairs, weights: dict[str, Floats], traffic: Floats) -> dict[str, Floats]:
    """Traffic of each pair: split evenly, by each of the weights, and after rebalancing the best of these."""
    splits = {"even": split_traffic(pairs, np.ones(len(pairs.router)), traffic)}
    splits |= {kind: split_traffic(pairs, weight, traffic) for kind, weight in weights.items()}
    first = splits.get("weighted", splits["even"])
    splits["shift_few"] = rebalanced(pairs, first, traffic, FEW_ROUNDS)
    splits["shift_many"] = rebalanced(pairs, first, traffic, MANY_ROUNDS)
    return splits


def peak_over_mean(loads: Floats) -> float:
    """The load of the most loaded engine over the mean."""
    return float(loads.max() / loads.mean())
