"""Measures of balance: routers that share an engine, connections, and load of the most loaded engine."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from grebeproxy.lab.subsets.fleet import MAX_RELATIVE_TRAFFIC, Engines, Fleet, Integers, Routers
from grebeproxy.lab.subsets.pairs import Pairs, fleet_pairs, subset_pairs, zone_pairs
from grebeproxy.lab.subsets.schemes import Scheme
from grebeproxy.lab.subsets.traffic import (
    Values,
    engine_loads,
    peak_over_mean,
    traffic_patterns,
    traffic_splits,
)
from grebeproxy.lab.subsets.windows import NO_ENGINE

SharersBySize = Integers  # one row per subset size, from 0 on: number of sharers by engine


class Connections(NamedTuple):
    """Numbers of connections by engine of the list and by router, with one connection for each pair."""

    per_engine: Integers
    per_router: Integers

    @classmethod
    def of(cls, pairs: Pairs, fleet: Fleet) -> Connections:
        """Counts the connections of the given pairs."""
        per_engine = pairs.sharers()[fleet.engines.number]
        return cls(per_engine, np.bincount(pairs.router, minlength=len(fleet.routers)))


def sharer_counts(scheme: Scheme, fleet: Fleet) -> Values:
    """Counts the routers that share an engine, and each router's connections.

    ``blind`` counts only the windows over all engines, ``both`` also the windows over the engines of the
    router's zone.
    """
    result: Values = {}
    for name, pairs in (("blind", fleet_pairs(scheme, fleet)), ("both", subset_pairs(scheme, fleet))):
        sharers, per_router = Connections.of(pairs, fleet)
        result |= {
            f"{name}.sharers_mean": float(sharers.mean()),
            f"{name}.sharers_max": float(sharers.max()),
            f"{name}.sharers_min": float(sharers.min()),
            f"{name}.sharers_max_over_mean": float(sharers.max() / sharers.mean()),
            f"{name}.sharers_min_over_mean": float(sharers.min() / sharers.mean()),
            f"{name}.engines_without_router": float((sharers == 0).sum()),
            f"{name}.router_connections_mean": float(per_router.mean()),
            f"{name}.router_connections_max": float(per_router.max()),
        }
    return result


def connections(scheme: Scheme, fleet: Fleet, rng: np.random.Generator) -> Values:
    """Counts connections at engines and at routers where busier routers have larger subsets."""
    result: Values = {}
    for name, traffic in traffic_patterns(len(fleet.routers), rng).items():
        pairs = subset_pairs(scheme, fleet, traffic)
        per_engine, per_router = Connections.of(pairs, fleet)
        result |= {
            f"connections.{name}_engine_mean": float(per_engine.mean()),
            f"connections.{name}_engine_max": float(per_engine.max()),
            f"connections.{name}_router_max": float(per_router.max()),
        }
    return result


def loads(scheme: Scheme, fleet: Fleet, rng: np.random.Generator) -> Values:
    """Load of the most loaded engine over the mean load, by traffic pattern and by how routers split traffic.

    With ``weighted``, a router weights an engine by one over the number of routers that share the engine. The
    router counts the sharers as if all routers had subsets of its own size. In the windows of a zone,
    ``weighted_by_all`` counts the routers of all zones, as a router does that does not know the zones of the
    other routers.
    """
    sharers_of = {"blind": _fleet_sharers(scheme, fleet)}
    pairs_of = {"blind": fleet_pairs}
    if fleet.zones > 1:
        sharers_of["zone"] = _zone_sharers(scheme, fleet)
        pairs_of["zone"] = zone_pairs
    result: Values = {}
    for name, traffic in traffic_patterns(len(fleet.routers), rng).items():
        sizes = fleet.subset_sizes(traffic)
        for layout, sharers in sharers_of.items():
            pairs = pairs_of[layout](scheme, fleet, traffic)
            weights = {
                kind: 1.0 / np.maximum(by_size[sizes[pairs.router], pairs.engine], 1)
                for kind, by_size in sharers.items()
            }
            for kind, pair_traffic in traffic_splits(pairs, weights, traffic).items():
                load = engine_loads(pairs, pair_traffic)[fleet.engines.number]
                result[f"{layout}.load_{name}_{kind}"] = peak_over_mean(load)
    return result


def _max_subset_size(fleet: Fleet) -> int:
    return int(MAX_RELATIVE_TRAFFIC * fleet.base_subset_size())


def _fleet_sharers(scheme: Scheme, fleet: Fleet) -> dict[str, SharersBySize]:
    if not scheme.counts_sharers:
        return {}
    by_size = _sharers_by_size(scheme, fleet, fleet.engines, fleet.routers)
    return {"weighted": by_size}


def _zone_sharers(scheme: Scheme, fleet: Fleet) -> dict[str, SharersBySize]:
    if not scheme.counts_sharers:
        return {}
    shape = (_max_subset_size(fleet) + 1, fleet.universe)
    of_zone = np.zeros(shape, dtype=np.int64)
    of_all = np.zeros(shape, dtype=np.int64)
    for zone in range(fleet.zones):
        engines = fleet.engines.where(fleet.engines.zone == zone)
        of_zone += _sharers_by_size(scheme, fleet, engines, fleet.routers.of_zone(zone))
        of_all += _sharers_by_size(scheme, fleet, engines, fleet.routers)
    return {"weighted": of_zone, "weighted_by_all": of_all}


def _sharers_by_size(scheme: Scheme, fleet: Fleet, engines: Engines, routers: Routers) -> SharersBySize:
    """For each subset size from 0 on, the routers that would share each engine if all used that size."""
    max_size = _max_subset_size(fleet)
    sizes = np.full(len(routers), min(max_size, len(engines) - 1), dtype=np.int64)
    rows = scheme.windows(engines, routers, sizes)
    result: Integers = np.zeros((max_size + 1, fleet.universe), dtype=np.int64)
    for column in range(min(max_size, rows.shape[1])):
        engine = rows[:, column]
        result[column + 1] = np.bincount(engine[engine != NO_ENGINE], minlength=fleet.universe)
    result = np.cumsum(result, axis=0)
    result[len(engines) :, engines.number] = len(routers)  # subsets of at least this size hold all engines
    return result
