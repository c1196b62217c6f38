"""The engines that a router knows: the list, manual overrides, its subset of engines, and their averages.

This module holds state, and makes no decisions.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from grebeproxy.policy.hash_ring import HashRing, RouterPositions
from grebeproxy.policy.interface import Engine, EngineKind, EngineList, EngineState, ListKind
from grebeproxy.policy.records import EngineRecord
from grebeproxy.policy.state import RouterState

MIN_WARMUP_CAPACITY = 0.05  # lower limit of the fraction of capacity that a warming engine counts with


class EngineTracking(RouterState):
    """The engines that a router knows from the list, from operators and from its own attempts."""

    def __init__(self, now: float) -> None:
        super().__init__(now)
        self.refreshed_at = now
        self.engine_list: dict[str, Engine] = {}  # all listed engines, whether in the subset or not
        self.overridden: frozenset[str] = frozenset()  # engines that operators have disabled
        self.engines: dict[str, EngineRecord] = {}  # engines in the subset or with attempts in flight
        self.usable_engines: list[EngineRecord] = []  # engines in the subset, listed as up and not overridden
        self.healthy_engines: list[EngineRecord] = []  # usable engines that are not ejected
        # The subset of engines that this router works with.
        self.rings: list[HashRing] = []  # rings of the engines listed as up: all, then by zones and kinds
        self.positions = RouterPositions(1, 0)
        self.subset_stale = True  # True if the subset must be chosen anew
        self.window_engines: set[str] = set()  # engines of the subset's window on the ring of all engines
        self.window_size = 0
        self.window_extension = 0  # number of engines beyond the window, while few are reliable
        self.extension_engines: list[str] = []
        # This router's share of the healthy engines, and its attempts in flight on them.
        self.cores = 1.0
        self.memory = 0.0  # MB of the share
        self.threads = 0.0  # threads of the attempts in flight
        self.granted = 0.0  # MB granted to the attempts in flight
        self.memory_fill = 0.0  # granted fraction of the memory, averaged over time
        self.mean_long_threads = 0.0  # threads of long classes, averaged over time
        self.traffic_ratio = 1.0  # this router's traffic over that of the mean router
        self.peer_similarity = 1.0  # how well its attempts predict those of other routers, 0 to 1
        # Health of the fleet.
        self.fault_rate = 0.0  # moving average of faults over all attempts
        self.fleet_slowdown = 1.0  # average of latency over run time of all answers, decaying with time
        self.lasting_slowdown = 1.0  # like fleet_slowdown, but without decay over time
        self.slowdown_by_warming = [1.0, 1.0]  # slowdown of warm engines, and of warming ones
        # Engines that are warming up.
        self.warming_capacity = 0.0  # cores of this router's share of warming engines, scaled by warm-up
        self.warming_fraction = 0.0  # fraction of warming engines in the capacity of all healthy ones
        # Core-seconds that a query counts on a warming engine, by rank.
        self.warming_weights: list[float] = []
        self.warming_unit = 1.0  # core-seconds in one unit of a warming engine's slot

    def is_usable(self, engine: EngineRecord) -> bool:
        """True if the engine is in the subset, listed as up, and not disabled by operators."""
        entry = engine.entry
        return engine.in_subset and entry.state is EngineState.UP and entry.id not in self.overridden

    def apply_engine_list(self, event: EngineList) -> None:
        """Apply a list or changes to it; an engine that has restarted warms up and may get a trial now."""
        entries = {entry.id: entry for entry in event.engines}
        if event.list_kind is not ListKind.CHANGES:
            for missing in [id for id in self.engine_list if id not in entries]:
                entries[missing] = replace(self.engine_list[missing], state=EngineState.GONE, started=None)
        for entry in entries.values():
            engine = self.engines.get(entry.id)
            if engine is not None:
                if (entry.started or 0.0) > (engine.warming_since or 0.0):
                    engine.record_restart(entry.started or 0.0, self.now)
                engine.entry = entry
            if entry.state is EngineState.GONE:
                self.engine_list.pop(entry.id, None)
            else:
                self.engine_list[entry.id] = entry
            for ring in self.rings:
                ring.update(entry)
        self.subset_stale = True

    def apply_overrides(self, overridden: frozenset[str]) -> None:
        """Apply the set of disabled engines; engines that operators enable again have restarted meanwhile."""
        for id in self.overridden - overridden & self.engine_list.keys():
            self.engine_list[id] = replace(self.engine_list[id], started=self.now)
            engine = self.engines.get(id)
            if engine is not None:
                engine.record_return(self.now, self.fleet_slowdown)
        self.overridden = overridden
        self.subset_stale = True

    def set_positions(self, filters: Iterable[tuple[frozenset[str] | None, frozenset[str] | None]]) -> None:
        """Place the routers on the ring; keep a ring of all engines and one for each filter.

        A filter is a pair of allowed zones and allowed kinds; None allows all.
        """
        self.positions = RouterPositions(self.settings.balancers, self.settings.index)
        self.rings = [HashRing(*pair) for pair in dict.fromkeys([(None, None), *filters])]
        for ring in self.rings:
            ring.fill(self.engine_list.values())
        self.subset_stale = True

    def set_kinds(self, kinds: tuple[EngineKind, ...]) -> None:
        """Give the known engines the sizes of their kinds; engines of unknown kinds keep their sizes."""
        kind_of = {kind.name: kind for kind in kinds}
        for engine in self.engines.values():
            kind = kind_of.get(engine.entry.kind)
            if kind is not None:
                engine.cores, engine.memory = kind.cores, kind.memory_mb

    def use_all_engines(self) -> None:
        """Make all listed engines the subset, as all routers do when there are few routers."""
        self.window_engines, self.extension_engines = set(self.engine_list), []
        self._use_engines(self.engine_list)
        for engine in self.engines.values():
            engine.sharers, engine.share_index = self.settings.balancers, self.settings.index

    def use_window(self, base: int) -> None:
        """Make the subset of the engines of each ring that follow this router's position.

        Each router uses at least the first ``base`` engines from its position on the ring of all engines, so
        for these engines it is known exactly which routers share them. For the other engines ``sharers`` is
        the mean, and ``share_index`` is negative.
        """
        ring, position = self.rings[0], self.positions.own
        window = ring.window(position, 0, self.window_size)
        filtered = [id for other in self.rings[1:] for id in other.window(position, 0, self.window_size)]
        self.window_engines = set(window)
        self.extension_engines = ring.window(position, self.window_size, self.window_extension)
        self._use_engines([*window, *filtered, *self.extension_engines])
        mean = max(1, round(self.settings.balancers * min(1.0, base / max(1, len(ring)))))
        for engine in self.engines.values():
            engine.sharers, engine.share_index = mean, -1
        for id in window[:base]:
            engine = self.engines[id]
            engine.sharers, engine.share_index = self.positions.sharers(ring.rank(id), base, len(ring))

    def _use_engines(self, ids: Iterable[str]) -> None:
        """Make these engines the subset; records of other engines stay while they have attempts in flight."""
        for engine in self.engines.values():
            engine.in_subset = False
        for id in ids:
            if id not in self.engines:
                self.engines[id] = self._new_engine(self.engine_list[id])
            self.engines[id].in_subset = True
        if self.many_routers:
            self.prune_engines()
        self.subset_stale = False

    def _new_engine(self, entry: Engine) -> EngineRecord:
        """Make the record of a new engine; an engine of unknown kind gets the sizes of the first kind."""
        kinds = self.settings.kinds
        kind = next((kind for kind in kinds if kind.name == entry.kind), kinds[0])
        engine = EngineRecord(entry, kind.cores, kind.memory_mb)
        engine.slowdown, engine.heard_at = self.fleet_slowdown, self.now
        if entry.started is not None:
            engine.record_restart(entry.started, self.now)
        return engine

    def prune_engines(self) -> None:
        """Drop records that are no longer needed.

        Without this step records would accumulate, because new engines keep coming under new names.
        """
        retained = self.engines.items()
        self.engines = {id: engine for id, engine in retained if engine.in_subset or engine.in_flight}

    def _warming_up(self, engine: EngineRecord) -> bool:
        since = engine.warming_since
        return since is not None and self.now < since + self.settings.rules.slow_start_time

    def _warmup_capacity(self, engine: EngineRecord) -> float:
        """Fraction of its full capacity that the engine is assumed to have; it grows linearly up to 1."""
        if not self._warming_up(engine):
            return 1.0
        first, age = self.settings.rules.slow_start_fraction, self.now - (engine.warming_since or 0.0)
        grown = first + (1 - first) * max(0.0, age) / self.settings.rules.slow_start_time
        return max(MIN_WARMUP_CAPACITY, grown)

    def update_engines(self) -> None:
        """Update the lists of usable and healthy engines, and all sums over them."""
        self.usable_engines = [engine for engine in self.engines.values() if self.is_usable(engine)]
        healthy = self.healthy_engines = [e for e in self.usable_engines if e.ejected_at is None]
        self._sum_warming(healthy)
        routers = self.settings.balancers
        # The number of all listed engines over that of the engines that this router works with.
        scale = len(self.rings[0]) / max(1, len(self.usable_engines)) if self.many_routers else 1.0
        cores = sum(engine.cores * self._warmup_capacity(engine) for engine in healthy)
        self.cores = cores * self.traffic_ratio / routers * scale or 1.0
        self.memory = sum(engine.memory for engine in healthy) * self.traffic_ratio / routers * scale
        mean = sum(len(engine.in_flight) for engine in healthy) / max(1, len(healthy))
        # The more attempts this router has in flight, the better they predict those of the other routers.
        self.peer_similarity = max(1.0 / routers, mean / (1.0 + mean))

    def _sum_warming(self, healthy: list[EngineRecord]) -> None:
        """Sum up the capacity of warming engines whose slots this router shares, in cores and as fraction."""
        shared = [engine for engine in healthy if engine.share_index >= 0]
        warming = [engine for engine in shared if self._warming_up(engine)]
        self.warming_capacity = sum(e.cores * self._warmup_capacity(e) / e.sharers for e in warming)
        warming_cores = sum(e.cores * self._warmup_capacity(e) for e in warming) / self.slowdown_by_warming[1]
        warm_cores = sum(e.cores for e in shared if not self._warming_up(e)) / self.slowdown_by_warming[0]
        self.warming_fraction = warming_cores / (warming_cores + warm_cores or 1.0)

    def sum_in_flight(self) -> list[EngineRecord]:
        """Sum up this router's attempts in flight; return the healthy engines that have any."""
        busy = [engine for engine in self.healthy_engines if engine.in_flight]
        self.threads = sum(engine.threads for engine in busy)
        self.granted = sum(engine.granted_memory for engine in busy)
        return busy

    def decay(self, now: float, retained: float, long_threads: int) -> None:
        """Decay learned slowdowns to the fraction ``retained``, and average what is in flight."""
        fill = self.granted / self.memory if self.memory else 0.0
        self.memory_fill += (1.0 - retained**0.25) * (fill - self.memory_fill)
        self.mean_long_threads += (1.0 - retained) * (long_threads - self.mean_long_threads)
        self.refreshed_at = now
        self.fleet_slowdown = 1.0 + (self.fleet_slowdown - 1.0) * retained
        for engine in self.healthy_engines:
            engine.decay(now, self.fleet_slowdown, retained)
