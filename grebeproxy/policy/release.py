"""Release: the order in which queued queries are sent, and when each of them may be sent."""

from itertools import islice

from grebeproxy.policy.interface import OvercommitBehavior, Send, SetTerms
from grebeproxy.policy.placement import SILENCE_FACTOR, Placement
from grebeproxy.policy.records import EngineRecord, QueryRecord

BASE_PRIORITY = 1.0
PRIORITY_GAP_MARGIN = 1.5  # gap between neighbouring classes at full load, in deadlines of the tightest class
LOAD_START_DEPTH = 0.05  # queued queries per core of this router's share where the load factor leaves 0
FULL_LOAD_DEPTH = 0.5  # queued queries per core of this router's share at which the load factor is 1
MIN_SILENCE_FRACTION = 0.8  # fraction of its latency objective for which even a short attempt may be silent
PROGRESS_PERIODS = 2.2  # periods of progress notes for which an attempt may be silent
MAX_QUERIES_SCANNED = 16  # queued queries of a class to scan for one that an engine can take
GRANT_FACTOR = 1.15  # factor on the estimated memory to grant
PAGING_GRANT_FACTOR = 1.5  # factor on the estimated memory where an overcommitted engine pages
HIGHEST_PRIORITY = 3  # highest priority in an engine; the lowest is 0


class Release(Placement):
    """Release: the order in which queued queries are sent, and when each of them may be sent."""

    def _load_factor(self) -> float:
        """The load from 0 to 1, by the depth of the queues in queries, or in the work of typical queries."""
        low, high = max(1.0, LOAD_START_DEPTH * self.cores), max(2.0, FULL_LOAD_DEPTH * self.cores)
        if self.fewest_releasable() >= high:
            return 1.0
        return min(1.0, max(0.0, (self.queue_depth() - low) / (high - low)))

    def _priority(self, query: QueryRecord, load: float) -> float:
        """Priority by class, scaled by load, and by waiting time; without load, close to arrival order."""
        waited = self.now - query.arrived_at
        if query.rank and query.rank == self.lowest_rank:  # The lowest class gains only after a while.
            waited = max(0.0, waited - load * query.cls.latency_objective / 2)
        by_class = BASE_PRIORITY + self.priority_gap * load * self.rank_weight[query.rank]
        penalty = self.priority_gap if query.over_quota else 0.0
        return by_class + waited / self.tightest_class.deadline - penalty

    def _release(self) -> None:
        """Send queued queries by priority while there is capacity; skip classes without capacity."""
        ranks = range(len(self.queues))
        while found := [pair for pair in map(self._first_releasable, ranks) if pair is not None]:
            load = self._load_factor()
            query, engine = max(found, key=lambda pair: self._priority(pair[0], load))
            self.queues[query.rank].remove(query)
            self._send(query, engine)

    def _first_releasable(self, rank: int) -> tuple[QueryRecord, EngineRecord] | None:
        """Return the first queued query of a class that can be sent, and its engine."""
        if not self.queues[rank] or self._over_fleet_bound(rank):
            return None
        open_engines = [
            engine
            for engine in self.usable_engines
            if self._accepts_queries(engine, rank) and self._has_capacity(engine, rank)
        ]
        for query in islice(self.iterate_releasable(rank), MAX_QUERIES_SCANNED) if open_engines else ():
            # A query that exceeds this router's share of an engine's memory waits here, not in the engine.
            memory = query.memory
            able = [
                e
                for e in open_engines
                if self._may_send(query, e)
                and (not (e.memory and e.in_flight) or e.granted_memory * e.sharers + memory <= e.memory)
            ]
            if able and (chosen := self._choose_engine(query, able)) is not None:
                return query, chosen
        return None

    def _send(self, query: QueryRecord, engine: EngineRecord) -> None:
        """Send an attempt, and record its expected latency and its limit of silence."""
        cls, settings = query.cls, self.settings
        query.expected_latency = query.run_time * max(1.0, engine.slowdown) / self._warmup_capacity(engine)
        longest = PROGRESS_PERIODS * (settings.progress_period or cls.deadline)
        silence = min(SILENCE_FACTOR * query.expected_latency, longest)
        query.silence_limit = max(MIN_SILENCE_FRACTION * cls.latency_objective, silence)
        if query.attempts:
            if settings.rules.attempt_budget is not None:  # Without a budget nothing prunes the entries.
                self.recent_retries.add(self.now)
        elif settings.priorities or settings.memory_granted:
            self.actions.append(self._terms(query))
        cached = max(2, 2 * len(self.data_set_rates) // len(self.engines))
        engine.record_send(query, self.now, cached)
        engine.trial_at = self.now + engine.ejection_backoff  # earliest next trial of an ejected engine
        if self._warming_up(engine):
            engine.warming_sent.add(self.now, self.warming_weights[query.rank])
        self.actions.append(Send(query.id, engine.entry.id, query.due, self._retry_deadline(query)))

    def _terms(self, query: QueryRecord) -> SetTerms:
        """Return the priority of a query in the engine, and its memory grant."""
        behavior = self.settings.overcommit_behavior
        grant = query.memory * (PAGING_GRANT_FACTOR if behavior is OvercommitBehavior.PAGE else GRANT_FACTOR)
        if behavior is OvercommitBehavior.SHRINK:  # Free memory is granted too, as far as estimates vary.
            scatter = 1.0 + 2 * self.memory_corrections[query.rank].spread
            grant *= max(1.0, min(scatter, 0.8 / max(self.memory_fill, 0.01)))
        if query.over_quota:
            priority = 0
        elif query.cls.locks_data_set and any(cls.waits_for_loads for cls in self.classes):
            priority = HIGHEST_PRIORITY  # The sooner a load ends, the sooner others stop waiting.
        else:
            priority = max(1, HIGHEST_PRIORITY - query.rank)
        return SetTerms(query.id, priority, grant if self.settings.memory_granted and query.memory else None)
