"""Placement: which engines have capacity for a query, and the cost of running it on each of them."""

import zlib
from math import exp

from grebeproxy.policy.hash_ring import agreed_order
from grebeproxy.policy.interface import HealthCheck
from grebeproxy.policy.records import EngineRecord, HomeEngines, QueryRecord
from grebeproxy.policy.rules import HEAVY_QUERIES_PER_UNIT, UNSEEN_WORK_FACTOR
from grebeproxy.policy.subset import Subset

# The costs below are in threads per core of the engine.
MAX_THREADS_PER_CORE = 2.0  # limit of threads per core on an engine under pressure
LONG_CLASS_FRACTION = 0.75  # fraction of MAX_THREADS_PER_CORE that long classes may use
PRESSURE_RATIO = 1.4  # an engine is under pressure when its latency is this many times its best
MAX_COSTED_SLOWDOWN = 4.0  # upper limit of an engine's slowdown in its cost
UNCACHED_DATA_SET_COST = 0.75  # cost of reading a data set that the engine has not cached
SILENCE_FACTOR = 4.0  # an engine that has been silent for this many expected run times is suspect
LOCKED_DATA_SET_COST = 6.0  # cost, to a query that waits for loads, of a load that locks its data set
OTHER_LOAD_COST = 2.0  # cost, to a load, of each other load of its data set on the engine
HOME_FILL = 0.9  # fraction of the time in which loads lock a data set on each of its home engines
HOME_PREFERENCE_COST = 1.5  # range of costs that make routers prefer different home engines
BEYOND_HOME_COST = 7.0  # cost, to a load, of each place beyond the home engines in the agreed order
MEMORY_COST = 4.0  # cost of granting all of an engine's memory a second time
MEMORY_FILL_FREE = 0.9  # fraction of an engine's memory that may be granted at no cost
HEALTH_CHECKS_PER_LONG_QUERY = 3  # engines to check before a long query goes to one of them
INDEPENDENT_CHOICE_SIMILARITY = 0.5  # below this similarity, routers choose mostly independently


class Placement(Subset):
    """Placement: which engines have capacity for a query, and the cost of running it on each of them."""

    def _under_pressure(self, engine: EngineRecord) -> bool:
        """True after a FULL answer, or if latency (attempts in flight included) is well above the best."""
        slowdown = max(engine.slowdown, engine.pending_slowdown)
        return self.now < engine.full_until or slowdown > PRESSURE_RATIO * engine.best_slowdown

    def _has_capacity(self, engine: EngineRecord, rank: int) -> bool:
        """True if the engine can take one more query; only pressure limits it, long classes earlier."""
        if not self._under_pressure(engine):
            return True
        capacity = MAX_THREADS_PER_CORE * engine.cores * self._warmup_capacity(engine)
        threads = self.classes[rank].threads
        share, fraction = capacity / engine.sharers, LONG_CLASS_FRACTION if rank else 1.0
        if share * fraction < threads:
            # A share of less than one query would round to none, so routers share complete queries instead.
            return len(engine.in_flight) < self._share_in_queries(engine, capacity * fraction / threads)
        return engine.threads < share and (not rank or engine.long_threads < LONG_CLASS_FRACTION * share)

    def _over_fleet_bound(self, rank: int) -> bool:
        """True if this router's threads on all engines exceed its share of the engines plus one query.

        `_has_capacity` alone does not bound the threads if the share of each engine is less than a query.
        """
        threads, engines = self.classes[rank].threads, self.healthy_engines
        most = MAX_THREADS_PER_CORE * self.cores * (LONG_CLASS_FRACTION if rank else 1.0)
        if most >= threads * len(engines):
            return False
        slow = self.lasting_slowdown > PRESSURE_RATIO
        if rank:
            # The bound holds on average, as a share below one query would round to none or one everywhere.
            in_flight = sum(engine.long_threads for engine in engines)
            full = in_flight + threads / 2 > max(most, threads) or self.mean_long_threads > most
            return (slow and full) or sum(engine.granted_memory for engine in engines) > self.memory > 0.0
        # Without this minimum, one long query would block all short ones.
        most = max(most, threads + self.max_class_threads)
        return slow and sum(engine.threads for engine in engines) + threads / 2 > most

    def _share_in_queries(self, engine: EngineRecord, total: float) -> int:
        """This router's share, in an agreed order, of the complete queries that all routers may run there."""
        place = (engine.share_index + zlib.crc32(engine.entry.id.encode())) % engine.sharers
        return int(total) // engine.sharers + (place < int(total) % engine.sharers)

    def _cost(self, query: QueryRecord, engine: EngineRecord) -> tuple[float, float]:
        """Return the cost of running the query on the engine, and a value that decides between equal costs.

        The cost is in threads per core. Other routers' attempts are assumed to be like this router's own to
        the degree that routers choose alike, and like the mean otherwise.
        """
        routers, alike = self.settings.balancers, self.peer_similarity
        # The mean is proportional to size. Otherwise the largest engine would attract all routers.
        mean = (1.0 - alike) * engine.cores / (routers * self.cores)
        slowdown = max(engine.slowdown, engine.pending_slowdown) / engine.best_slowdown
        slowdown = max(1.0, min(MAX_COSTED_SLOWDOWN, slowdown))
        other_zone = engine.entry.zone != self.settings.zone
        cost = self.settings.prices.cross_zone * other_zone + (engine is query.last_engine)
        if engine.memory:
            granted = engine.granted_memory + (engine.sharers - 1) * alike * engine.granted_memory
            granted = granted + (routers - 1) * mean * self.granted
            fill = max(engine.reported_fill, granted / engine.memory)
            cost += MEMORY_COST * max(0.0, fill + query.memory / engine.memory - MEMORY_FILL_FREE)
        if self.many_routers:
            # The choice between equal costs is random, as a common order would overload the same engines with
            # popular data sets. A warming engine is preferred, as the rules limit what it gets.
            cost += (engine.threads / engine.cores + 1.0) * slowdown - self._warming_up(engine)
            outside = engine.entry.id not in self.window_engines
            return round(cost + outside, 1), self.random.expovariate(1.0 / engine.sharers)
        others = alike * engine.threads + mean * self.threads
        threads = engine.threads + (routers - 1) * others + alike * query.cls.threads
        cost += threads / engine.cores * slowdown / self._warmup_capacity(engine)
        data_set = query.request.data_set
        if data_set is not None:
            cost = self._add_data_set_cost(cost, query, engine, data_set)
        return cost, zlib.crc32(f"0/{data_set}/{engine.entry.id}".encode())

    def _add_data_set_cost(
        self, cost: float, query: QueryRecord, engine: EngineRecord, data_set: int
    ) -> float:
        """Add the costs of reading the data set and of the loads that lock it on the engine."""
        cost += UNCACHED_DATA_SET_COST * self.peer_similarity * (data_set not in engine.cached_data_sets)
        homes, places = self._home_engines(data_set)
        place, unseen = places.get(engine.entry.id, len(places)), 1.0 - 1.0 / self.settings.balancers
        if query.cls.waits_for_loads:
            # Routers do not tell each other about loads, so loads of others are assumed by their likelihood.
            at_home = min(1.0, max(0.0, homes - place))
            locked = engine.is_locked(self.now, data_set)
            cost += LOCKED_DATA_SET_COST * (1.0 if locked else unseen * HOME_FILL * at_home)
        if query.cls.locks_data_set:  # The load would wait until the other loads of its data set end.
            beyond = BEYOND_HOME_COST * unseen * max(0.0, place + 1.0 - homes)
            cost += OTHER_LOAD_COST * engine.loads_in_flight(data_set) + beyond
            if place < homes:  # Each router starts at another home engine, where it knows most loads.
                start = self.settings.index / self.settings.balancers
                cost += HOME_PREFERENCE_COST * ((place / homes - start) % 1.0)
        return cost

    def _home_engines(self, data_set: int) -> HomeEngines:
        """Return how many engines all routers' loads need, and the engines' places in an agreed order."""
        if data_set not in self.home_engines:
            rates = self.data_set_rates
            data_set_rate = rates[data_set].rate(self.now) if data_set in rates else 0.0
            fraction = data_set_rate / (self.query_rate.rate(self.now) or 1.0)
            needed = fraction * self.load_run_rate.rate(self.now) * self.settings.balancers / HOME_FILL
            order = agreed_order((engine.entry.id for engine in self.healthy_engines), f"{data_set}/")
            places = {id: place for place, id in enumerate(order)}
            # At least one engine is left to queries that wait for loads.
            self.home_engines[data_set] = HomeEngines(min(needed, max(0.0, len(places) - 1.0)), places)
        return self.home_engines[data_set]

    def _refresh_engines(self) -> None:
        """Choose the subset anew if needed, and update all values that derive from its engines."""
        self._choose_subset()
        self.update_engines()
        self.home_engines.clear()
        self.update_warming_weights(UNSEEN_WORK_FACTOR, HEAVY_QUERIES_PER_UNIT)
        # An engine's slowdown decays to the fleet's, and the fleet's decays to none. Without attempts nothing
        # else would end the rejections that a slowdown causes.
        retained = exp((self.refreshed_at - self.now) / (SILENCE_FACTOR * self.min_objective))
        self.decay(self.now, retained, sum(engine.long_threads for engine in self.sum_in_flight()))

    def _choose_engine(self, query: QueryRecord, able: list[EngineRecord]) -> EngineRecord | None:
        """Return the engine of least cost, or None while the answers to health checks are awaited.

        For a long query it is the first of the cheapest engines to answer a health check.
        """
        may_check = query.rank and self.settings.may_health_check and len(able) > 1
        if not (may_check and self.peer_similarity < INDEPENDENT_CHOICE_SIMILARITY):
            return min(able, key=lambda engine: self._cost(query, engine))
        checked_at = query.health_checked_at
        if checked_at is None or self.now > checked_at + 4 * self.sweep_interval:
            checked_at = query.health_checked_at = self.now
            self._check_health(query, able)
        answered = [
            engine
            for engine in query.health_checked
            if engine in able
            and engine.health_checked_at > checked_at
            and engine.health_check_latency < self.sweep_interval
        ]
        if answered:
            return min(answered, key=lambda engine: engine.health_check_latency)
        if self.now < checked_at + self.sweep_interval:
            return None
        rest = [engine for engine in able if engine not in query.health_checked] or able
        return min(rest, key=lambda engine: self._cost(query, engine))

    def _check_health(self, query: QueryRecord, able: list[EngineRecord]) -> None:
        """Check the cheapest engines for a query, and one ejected engine whose trial is due."""
        cheapest = sorted(able, key=lambda engine: self._cost(query, engine))
        query.health_checked = cheapest[:HEALTH_CHECKS_PER_LONG_QUERY]
        ejected = [engine for engine in self.usable_engines if engine.ejected_at is not None]
        due_for_trial = [engine for engine in ejected if self.now >= engine.trial_at][:1]
        for engine in due_for_trial:
            engine.trial_at = self.now + engine.ejection_backoff
        self.actions.extend(HealthCheck(engine.entry.id) for engine in query.health_checked + due_for_trial)
