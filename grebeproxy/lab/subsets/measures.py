"""What is measured of a scheme: balance, connections, movement, few usable engines, and the cold budget."""

from __future__ import annotations

from dataclasses import dataclass, replace

import numpy as np

from grebeproxy.lab.subsets.fleet import (
    GROWTH,
    LARGEST_PART,
    RACK,
    Engines,
    Fleet,
    Floats,
    Integers,
    Mask,
    Routers,
    with_routers,
)
from grebeproxy.lab.subsets.schemes import NONE, PointCircle, Scheme, Sharers, all_windows, zone_windows

LOGNORMAL_SIGMA = 1.0
HEAVY_SHARE, HEAVY_TRAFFIC = 0.05, 5.0  # of the routers, and times the mean
FEW_ROUNDS, MANY_ROUNDS = 5, 50  # of shifting load to the less loaded engines of the same subset
COLD_PARTS = (1, 3, 7, 20, 60)  # whole parts of a cold engine's budget in a slot
SHIFT = 0.5  # exponent by which a round answers to an engine's load

Values = dict[str, float]


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
            (fleet.routers.number[:, None] * fleet.universe + rows)[rows != NONE]
            for rows in windows
            if rows.size
        ]
        together = np.unique(np.concatenate(codes))
        return cls(together // fleet.universe, together % fleet.universe, fleet.universe)

    def codes(self) -> Integers:
        """One sorted number for each pair."""
        return self.router * self.universe + self.engine

    def where(self, mask: Mask) -> Pairs:
        """The pairs for which the mask holds."""
        return Pairs(self.router[mask], self.engine[mask], self.universe)

    def sharers(self) -> Integers:
        """Routers by engine."""
        return np.bincount(self.engine, minlength=self.universe)


def subset_pairs(scheme: Scheme, fleet: Fleet, part: Floats | None = None) -> Pairs:
    """The pairs of the windows over all engines and over those of the zone."""
    return Pairs.of(fleet, *all_windows(scheme, fleet, fleet.own(part)))


def zone_pairs(scheme: Scheme, fleet: Fleet, part: Floats | None = None) -> Pairs:
    """The pairs of the windows over the engines of the zone alone."""
    own = fleet.own(part)
    return Pairs.of(
        fleet, zone_windows(scheme, fleet, own) if fleet.zones > 1 else all_windows(scheme, fleet, own)[0]
    )


def fleet_pairs(scheme: Scheme, fleet: Fleet, part: Floats | None = None) -> Pairs:
    """The pairs of the windows over all engines alone."""
    return Pairs.of(fleet, scheme.windows(fleet.engines, fleet.routers, fleet.own(part)))


# --- balance


def counts(scheme: Scheme, fleet: Fleet) -> Values:
    """Routers given to an engine, and connections, of the windows as they are used."""
    result: Values = {}
    for name, pairs in (("blind", fleet_pairs(scheme, fleet)), ("both", subset_pairs(scheme, fleet))):
        given = pairs.sharers()[fleet.engines.number]
        per_router = np.bincount(pairs.router, minlength=len(fleet.routers))
        result |= {
            f"{name}.sharers_mean": float(given.mean()),
            f"{name}.sharers_max": float(given.max()),
            f"{name}.sharers_min": float(given.min()),
            f"{name}.sharers_max_over_mean": float(given.max() / given.mean()),
            f"{name}.sharers_min_over_mean": float(given.min() / given.mean()),
            f"{name}.engines_without_router": float((given == 0).sum()),
            f"{name}.router_connections_mean": float(per_router.mean()),
            f"{name}.router_connections_max": float(per_router.max()),
        }
    return result


def connections(scheme: Scheme, fleet: Fleet, rng: np.random.Generator) -> Values:
    """Connections at engines and at routers when busier routers have wider windows."""
    result: Values = {}
    for name, traffic in traffics(len(fleet.routers), rng).items():
        pairs = subset_pairs(scheme, fleet, traffic)
        at_engine = pairs.sharers()[fleet.engines.number]
        at_router = np.bincount(pairs.router, minlength=len(fleet.routers))
        result |= {
            f"connections.{name}_engine_mean": float(at_engine.mean()),
            f"connections.{name}_engine_max": float(at_engine.max()),
            f"connections.{name}_router_max": float(at_router.max()),
        }
    return result


def traffics(routers: int, rng: np.random.Generator) -> dict[str, Floats]:
    """Traffic of each router over the mean."""
    lognormal = rng.lognormal(0.0, LOGNORMAL_SIGMA, routers)
    heavy = np.ones(routers)
    heavy[rng.permutation(routers)[: round(HEAVY_SHARE * routers)]] = HEAVY_TRAFFIC
    return {
        "equal": np.ones(routers),
        "lognormal": lognormal / lognormal.mean(),
        "heavy": heavy / heavy.mean(),
    }


def shares(pairs: Pairs, weight: Floats, traffic: Floats) -> Floats:
    """Traffic of each pair, where a router parts its own by the pairs' weights."""
    whole = np.bincount(pairs.router, weights=weight, minlength=len(traffic))
    result: Floats = traffic[pairs.router] * weight / whole[pairs.router]
    return result


def load_of(pairs: Pairs, share: Floats) -> Floats:
    """Traffic of each engine."""
    return np.bincount(pairs.engine, weights=share, minlength=pairs.universe).astype(np.float64)


def shifted(pairs: Pairs, share: Floats, traffic: Floats, rounds: int) -> Floats:
    """Shares after rounds in which each router moves traffic toward the less loaded of its subset."""
    for _ in range(rounds):
        load = load_of(pairs, share)
        wanted = share * (load.mean() / np.maximum(load[pairs.engine], 1e-9)) ** SHIFT
        whole = np.bincount(pairs.router, weights=wanted, minlength=len(traffic))
        share = wanted * (traffic[pairs.router] / whole[pairs.router])
    return share


def sharers_by_width(
    scheme: Scheme, engines: Engines, routers: Routers, widest: int, universe: int
) -> Integers:
    """Routers that share an engine if all had windows of a width: a row for each width from 0 on."""
    wide = np.full(len(routers), min(widest, len(engines) - 1), dtype=np.int64)
    rows = scheme.windows(engines, routers, wide)
    result: Integers = np.zeros((widest + 1, universe), dtype=np.int64)
    for column in range(min(widest, rows.shape[1])):
        engine = rows[:, column]
        result[column + 1] = np.bincount(engine[engine != NONE], minlength=universe)
    result = np.cumsum(result, axis=0)
    result[len(engines) :, engines.number] = len(routers)  # a window that wide has all
    return result


def loads(scheme: Scheme, fleet: Fleet, rng: np.random.Generator) -> Values:
    """Load of the most loaded engine over the mean, by kind of traffic and by how routers part theirs.

    ``weighted`` weighs an engine by one over the routers that share it, as a router of that width counts
    them; in a zone's windows ``weighted_by_all`` counts the routers of all zones, as if none were known.
    """
    weighings = {"blind": _weighings_everywhere(scheme, fleet)}
    pairs_of = {"blind": fleet_pairs}
    if fleet.zones > 1:
        weighings["zone"], pairs_of["zone"] = _weighings_in_zones(scheme, fleet), zone_pairs
    result: Values = {}
    for name, traffic in traffics(len(fleet.routers), rng).items():
        own = fleet.own(traffic)
        for layout, sharers in weighings.items():
            pairs = pairs_of[layout](scheme, fleet, traffic)
            weights = {
                kind: 1.0 / np.maximum(by[own[pairs.router], pairs.engine], 1) for kind, by in sharers.items()
            }
            for kind, share in _partings(pairs, weights, traffic).items():
                load = load_of(pairs, share)[fleet.engines.number]
                result[f"{layout}.load_{name}_{kind}"] = float(load.max() / load.mean())
    return result


def _widest(fleet: Fleet) -> int:
    return int(LARGEST_PART * fleet.own().max())


def _weighings_everywhere(scheme: Scheme, fleet: Fleet) -> dict[str, Integers]:
    if not scheme.counts_sharers:
        return {}
    by_width = sharers_by_width(scheme, fleet.engines, fleet.routers, _widest(fleet), fleet.universe)
    return {"weighted": by_width}


def _weighings_in_zones(scheme: Scheme, fleet: Fleet) -> dict[str, Integers]:
    if not scheme.counts_sharers:
        return {}
    shape = (_widest(fleet) + 1, fleet.universe)
    known, of_all = np.zeros(shape, dtype=np.int64), np.zeros(shape, dtype=np.int64)
    for zone in range(fleet.zones):
        engines = fleet.engines.where(fleet.engines.zone == zone)
        of_zone = fleet.routers.of_zone(zone)
        known += sharers_by_width(scheme, engines, of_zone, _widest(fleet), fleet.universe)
        of_all += sharers_by_width(scheme, engines, fleet.routers, _widest(fleet), fleet.universe)
    return {"weighted": known, "weighted_by_all": of_all}


def _partings(pairs: Pairs, weights: dict[str, Floats], traffic: Floats) -> dict[str, Floats]:
    """Shares of traffic, evenly or by weights, and after shifting load from the best of these on."""
    parted = {"even": shares(pairs, np.ones(len(pairs.router)), traffic)}
    parted |= {kind: shares(pairs, weight, traffic) for kind, weight in weights.items()}
    first = parted.get("weighted", parted["even"])
    parted["shift_few"] = shifted(pairs, first, traffic, FEW_ROUNDS)
    parted["shift_many"] = shifted(pairs, first, traffic, MANY_ROUNDS)
    return parted


# --- movement


def moved(before: Pairs, after: Pairs) -> float:
    """Pairs that come or go, over those before."""
    return float(len(np.setxor1d(before.codes(), after.codes(), assume_unique=True)) / len(before.router))


def losses(fleet: Fleet, rng: np.random.Generator) -> dict[str, Mask]:
    """Engines that go together: one, a rack of one zone, a zone."""
    zone = int(rng.integers(fleet.zones))
    in_zone = np.flatnonzero(fleet.engines.zone == zone)
    lost = {"engine": in_zone[:1], "rack": in_zone[: min(RACK, len(in_zone) // 2)], "zone": in_zone}
    if fleet.zones == 1:
        del lost["zone"]
    masks: dict[str, Mask] = {}
    for name, engines in lost.items():
        masks[name] = np.zeros(len(fleet.engines), dtype=np.bool_)
        masks[name][engines] = True
    return masks


def movement(scheme: Scheme, fleet: Fleet, rng: np.random.Generator) -> Values:
    """Pairs that change, over all pairs and over the least possible, for each change of the fleet."""
    result: Values = {}
    before = subset_pairs(scheme, fleet)
    for name, mask in losses(fleet, rng).items():
        after = subset_pairs(scheme, fleet.without(mask))
        gone = np.isin(before.engine, fleet.engines.number[mask]).sum()
        least = float(gone + max(0, len(after.router) - len(before.router) + gone)) / len(before.router)
        share = moved(before, after)
        result |= {f"moved.{name}": share, f"moved.{name}_over_least": share / least if least else 1.0}
    result["moved.restart"] = moved(before, subset_pairs(scheme, fleet))
    n = len(fleet.routers)
    for name, count in (("one_router", n - 1), ("tenth", n - max(1, round(GROWTH * n)))):
        fewer = with_routers(fleet, count)
        after = subset_pairs(scheme, fewer)
        kept = before.where(before.router < count)
        result[f"moved.{name}"] = moved(kept, after)  # of those who stay, who need not move at all
    result["moved.counts_differ"] = _moved_while_counts_differ(scheme, fleet)
    return result


def _moved_while_counts_differ(scheme: Scheme, fleet: Fleet) -> float:
    """Pairs that differ from those by the true count, where every second router goes by a tenth fewer."""
    n = len(fleet.routers)
    old = n - max(1, round(GROWTH * n))
    stale = replace(
        fleet.routers, count=np.where((fleet.routers.number % 2 == 0) & (fleet.routers.number < old), old, n)
    )
    own = fleet.own()
    mixed = replace(fleet, routers=stale)
    after = Pairs.of(fleet, *all_windows(scheme, mixed, own))
    return moved(subset_pairs(scheme, fleet), after)


# --- few usable engines


def usable_after(scheme: Scheme, fleet: Fleet, rng: np.random.Generator) -> Values:
    """Engines that stay usable in a window when some are cut off but still listed, and how far it widens."""
    result: Values = {}
    own = fleet.own()
    wide = np.minimum(own * 8, len(fleet.engines))
    rows = scheme.windows(fleet.engines, fleet.routers, wide)
    for name, mask in losses(fleet, rng).items():
        if name == "engine":
            continue
        lost = np.zeros(fleet.universe, dtype=np.bool_)
        lost[fleet.engines.number[mask]] = True
        works = (rows != NONE) & ~lost[rows]
        in_window = works & (np.arange(rows.shape[1]) < own[:, None])
        left = in_window.sum(axis=1)
        needed = (np.cumsum(works, axis=1) < own[:, None] // 2).sum(axis=1) + 1
        result |= {
            f"left.{name}_mean": float(left.mean()),
            f"left.{name}_min": float(left.min()),
            f"left.{name}_widest": float(np.maximum(needed, own).max()),
        }
    return result


def zone_lost(scheme: Scheme, fleet: Fleet, rng: np.random.Generator) -> Values:
    """Load of the most loaded engine, over the mean of those left, right after a zone's engines are lost.

    Routers use the window of their own zone; those of the lost zone use what is left of their window over all
    engines, or are lost as well (``without_routers``). ``listed``: the lost engines are still on the list,
    and windows hold what is left of them; ``gone``: the list lacks them.
    """
    if fleet.zones == 1:
        return {}
    mask = losses(fleet, rng)["zone"]
    zone = int(fleet.engines.zone[mask][0])
    left = fleet.engines.number[~mask]
    result: Values = {}
    for name, listed in (("listed", fleet), ("gone", fleet.without(mask))):
        pairs, weight = _pairs_without_zone(scheme, listed, zone)
        for case, routers in (
            ("", fleet.routers.zone >= 0),
            ("_without_routers", fleet.routers.zone != zone),
        ):
            kept = routers[pairs.router]
            traffic = routers.astype(np.float64)
            for kind, share in _partings(pairs.where(kept), {"weighted": weight[kept]}, traffic).items():
                load = load_of(pairs.where(kept), share)[left]
                result[f"zone_lost.{name}{case}_{kind}"] = float(load.max() / load.mean())
    return result


def _pairs_without_zone(scheme: Scheme, fleet: Fleet, zone: int) -> tuple[Pairs, Floats]:
    """The pairs in use when a zone's engines are not usable, and one over the sharers of each's engine."""
    everywhere, of_zone = all_windows(scheme, fleet, fleet.own())
    homeless = fleet.routers.zone == zone
    sharers = {True: Pairs.of(fleet, everywhere).sharers(), False: Pairs.of(fleet, of_zone).sharers()}
    pairs = Pairs.of(fleet, np.where(homeless[:, None], everywhere[:, : of_zone.shape[1]], of_zone))
    pairs = pairs.where(np.isin(pairs.engine, fleet.engines.number[fleet.engines.zone != zone]))
    count = np.where(homeless[pairs.router], sharers[True][pairs.engine], sharers[False][pairs.engine])
    return pairs, 1.0 / np.maximum(count, 1)


# --- cold engines


def cold_budget(scheme: PointCircle, fleet: Fleet, rng: np.random.Generator) -> Values:
    """How much of a cold engine's budget its sharers have together, over the whole; 1 is what is meant.

    ``base``: dealt by the base window alone, in the worst slot of those tried. ``own``: each router counts
    sharers by the width of its own window. ``counts``: routers go by different counts of routers. ``zone``:
    dealt over the zone's circle to all that have the engine in a window, each counting routers of all zones.
    """
    base = int(fleet.own().max())
    known = scheme.sharers(fleet.engines, fleet.routers, base)
    sums = [
        _parts_over_whole(known, whole, turn)
        for whole in COLD_PARTS
        for turn in rng.integers(1 << 32, size=4)
    ]
    result = {"cold.base_worst": max(float(s.max()) for s in sums), "cold.base_mean": float(sums[-1].mean())}
    for name, traffic in traffics(len(fleet.routers), rng).items():
        if name != "equal":
            given = _budget_by_own_width(scheme, fleet, fleet.own(traffic))
            result |= {
                f"cold.own_{name}_worst": float(given.max()),
                f"cold.own_{name}_mean": float(given.mean()),
            }
    n = len(fleet.routers)
    for name, fewer in (("one", 1), ("tenth", max(1, round(GROWTH * n)))):
        given = _budget_by_two_counts(scheme, fleet, base, n - fewer)
        result |= {
            f"cold.counts_{name}_worst": float(given.max()),
            f"cold.counts_{name}_mean": float(given.mean()),
        }
    if fleet.zones > 1:
        given = _budget_by_zone(scheme, fleet, base)
        result |= {"cold.zone_worst": float(given.max()), "cold.zone_mean": float(given.mean())}
    return result


def cold_budget_between_lists(scheme: Scheme, fleet: Fleet, rng: np.random.Generator) -> Values:
    """The same while every second router has not heard yet that engines went; each counts by its own list."""
    result: Values = {}
    for name, mask in losses(fleet, rng).items():
        rest = fleet.without(mask)
        given = np.zeros(fleet.universe)
        for listed, has_heard in ((fleet, 0), (rest, 1)):
            pairs = fleet_pairs(scheme, listed)
            part = 1.0 / np.maximum(pairs.sharers()[pairs.engine], 1)
            given += load_of(pairs, np.where(pairs.router % 2 == has_heard, part, 0.0))
        left = given[rest.engines.number]
        result |= {
            f"cold.lists_{name}_worst": float(left.max()),
            f"cold.lists_{name}_mean": float(left.mean()),
        }
    return result


def _parts_over_whole(sharers: Sharers, whole: int, turn: int) -> Floats:
    parts = sharers.parts(whole, int(turn))
    return np.bincount(sharers.engine, weights=parts, minlength=len(sharers.count)).astype(np.float64) / whole


def _budget_by_own_width(scheme: PointCircle, fleet: Fleet, own: Integers) -> Floats:
    given = np.zeros(len(fleet.engines))
    for width in np.unique(own):
        sharers = scheme.sharers(fleet.engines, fleet.routers, int(width))
        given += _part_of(sharers, own[sharers.router] == width)
    return given


def _budget_by_two_counts(scheme: PointCircle, fleet: Fleet, own: int, old: int) -> Floats:
    """Every second of the first ``old`` routers goes by that count still, all others by the true one."""
    given = np.zeros(len(fleet.engines))
    for routers, stale in ((with_routers(fleet, old).routers, True), (fleet.routers, False)):
        sharers = scheme.sharers(fleet.engines, routers, own)
        goes_by_old = (sharers.router < old) & (sharers.router % 2 == 0)
        given += _part_of(sharers, goes_by_old == stale)
    return given


def _budget_by_zone(scheme: PointCircle, fleet: Fleet, own: int) -> Floats:
    given = np.zeros(len(fleet.engines))
    for zone in range(fleet.zones):
        in_zone = fleet.engines.zone == zone
        engines = fleet.engines.where(in_zone)
        sharers = scheme.sharers(engines, fleet.routers, own)
        reached = np.isin(
            engines.number[sharers.engine] * len(fleet.routers) + sharers.router,
            _codes_everywhere(scheme, fleet, own, in_zone),
        )
        given[in_zone] = _part_of(sharers, (fleet.routers.zone[sharers.router] == zone) | reached)
    return given


def _codes_everywhere(scheme: PointCircle, fleet: Fleet, own: int, engines: Mask) -> Integers:
    sharers = scheme.sharers(fleet.engines, fleet.routers, own)
    kept = engines[sharers.engine]
    return fleet.engines.number[sharers.engine[kept]] * len(fleet.routers) + sharers.router[kept]


def _part_of(sharers: Sharers, mask: Mask) -> Floats:
    """Sum of one over the count of sharers, over the pairs for which the mask holds."""
    part = np.where(mask, 1.0 / np.maximum(sharers.count[sharers.engine], 1), 0.0)
    return np.bincount(sharers.engine, weights=part, minlength=len(sharers.count)).astype(np.float64)


def measure(scheme: Scheme, fleet: Fleet, seed: int) -> Values:
    """All that is measured of a scheme on one fleet; of equal seeds losses and traffic are the same."""
    values = counts(scheme, fleet)
    for part in (connections, loads, movement, usable_after, zone_lost):
        values |= part(scheme, fleet, np.random.default_rng([seed, 1]))
    if scheme.counts_sharers:
        values |= cold_budget_between_lists(scheme, fleet, np.random.default_rng([seed, 1]))
    if isinstance(scheme, PointCircle):
        values |= cold_budget(scheme, fleet, np.random.default_rng([seed, 2]))
    return values
