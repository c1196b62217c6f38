"""Measures after the loss of engines: the usable part of windows, and the load of the remaining engines."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from grebeproxy.lab.subsets.fleet import RACK_SIZE, Fleet, Floats, Mask
from grebeproxy.lab.subsets.pairs import Pairs, all_windows
from grebeproxy.lab.subsets.schemes import Scheme
from grebeproxy.lab.subsets.traffic import Values, engine_loads, peak_over_mean, traffic_splits
from grebeproxy.lab.subsets.windows import NO_ENGINE

MAX_WIDENING = 8  # a subset without enough usable engines widens up to this multiple of its size


class WeightedPairs(NamedTuple):
    """Pairs; the weight of a pair is 1 divided by the number of routers that share its engine."""

    pairs: Pairs
    weight: Floats


def losses(fleet: Fleet, rng: np.random.Generator) -> dict[str, Mask]:
    """Masks of engines that are lost at once: one engine, a rack of one zone, a zone (if several)."""
    zone = int(rng.integers(fleet.zones))
    in_zone = np.flatnonzero(fleet.engines.zone == zone)
    lost = {"engine": in_zone[:1], "rack": in_zone[: min(RACK_SIZE, len(in_zone) // 2)], "zone": in_zone}
    if fleet.zones == 1:
        del lost["zone"]
    masks: dict[str, Mask] = {}
    for name, engines in lost.items():
        masks[name] = np.zeros(len(fleet.engines), dtype=np.bool_)
        masks[name][engines] = True
    return masks


def usable_after_loss(scheme: Scheme, fleet: Fleet, rng: np.random.Generator) -> Values:
    """Usable engines in a window while lost engines are still listed, and the size that the window needs.

    ``widest`` is the largest window that a router needs to have half of its subset size in usable engines.
    """
    result: Values = {}
    sizes = fleet.subset_sizes()
    rows = scheme.windows(fleet.engines, fleet.routers, np.minimum(sizes * MAX_WIDENING, len(fleet.engines)))
    for name, mask in losses(fleet, rng).items():
        if name == "engine":
            continue
        lost = np.zeros(fleet.universe, dtype=np.bool_)
        lost[fleet.engines.number[mask]] = True
        usable = (rows != NO_ENGINE) & ~lost[rows]
        in_window = usable & (np.arange(rows.shape[1]) < sizes[:, None])
        left = in_window.sum(axis=1)
        needed = (np.cumsum(usable, axis=1) < sizes[:, None] // 2).sum(axis=1) + 1
        result |= {
            f"left.{name}_mean": float(left.mean()),
            f"left.{name}_min": float(left.min()),
            f"left.{name}_widest": float(np.maximum(needed, sizes).max()),
        }
    return result


def loads_after_zone_loss(scheme: Scheme, fleet: Fleet, rng: np.random.Generator) -> Values:
    """Load of the most loaded engine over the mean of the remaining engines, right after the loss of a zone.

    Routers use the window of their own zone. Routers of the lost zone use the remaining engines of their
    window over all engines, or are lost with the zone (``without_routers``). With ``listed``, the lost
    engines are still on the engine list, so that windows that hold them have fewer usable engines. With
    ``gone``, the lost engines are no longer on the list.
    """
    if fleet.zones == 1:
        return {}
    mask = losses(fleet, rng)["zone"]
    zone = int(fleet.engines.zone[mask][0])
    left = fleet.engines.number[~mask]
    cases = {"": fleet.routers.zone >= 0, "_without_routers": fleet.routers.zone != zone}
    result: Values = {}
    for name, listed in (("listed", fleet), ("gone", fleet.without(mask))):
        pairs, weight = _pairs_without_zone(scheme, listed, zone)
        for case, running in cases.items():
            used = running[pairs.router]
            used_pairs = pairs.where(used)
            traffic = running.astype(np.float64)
            splits = traffic_splits(used_pairs, {"weighted": weight[used]}, traffic)
            for kind, pair_traffic in splits.items():
                load = engine_loads(used_pairs, pair_traffic)[left]
                result[f"zone_lost.{name}{case}_{kind}"] = peak_over_mean(load)
    return result


def _pairs_without_zone(scheme: Scheme, fleet: Fleet, zone: int) -> WeightedPairs:
    """The pairs that routers use while the engines of a zone are unusable."""
    windows = all_windows(scheme, fleet, fleet.subset_sizes())
    in_lost_zone = fleet.routers.zone == zone
    fleet_sharers = Pairs.of(fleet, windows.fleet).sharers()
    zone_sharers = Pairs.of(fleet, windows.zone).sharers()
    width = windows.zone.shape[1]
    pairs = Pairs.of(fleet, np.where(in_lost_zone[:, None], windows.fleet[:, :width], windows.zone))
    pairs = pairs.where(np.isin(pairs.engine, fleet.engines.number[fleet.engines.zone != zone]))
    count = np.where(in_lost_zone[pairs.router], fleet_sharers[pairs.engine], zone_sharers[pairs.engine])
    return WeightedPairs(pairs, 1.0 / np.maximum(count, 1))
