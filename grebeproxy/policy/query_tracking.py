"""The queries of a router, and what is learned about them by class, tenant and data set.

This module holds state, and makes no decisions.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator

from grebeproxy.policy.engine_tracking import EngineTracking
from grebeproxy.policy.estimators import (
    CostCorrection,
    DecayingRate,
    MajorityVote,
    RecentRates,
    SlidingSum,
    TenantQuota,
)
from grebeproxy.policy.interface import (
    AttemptEnded,
    Cancel,
    EngineKind,
    Progress,
    ProgressKind,
    Query,
    QueryClass,
)
from grebeproxy.policy.records import HomeEngines, QueryRecord

MAX_WORK_RATIO = 8  # upper limit of one estimate of work over the typical work of its class
DEADLINE_TOLERANCE = 0.005  # difference of deadline fractions below which they count as equal


class QueryTracking(EngineTracking):
    """The queries of a router: those queued, those in flight, and counts of all."""

    def __init__(self, now: float, rate_time: float, max_data_sets: int) -> None:
        """Average rates over ``rate_time`` seconds; keep those of at most ``max_data_sets`` data sets."""
        super().__init__(now)
        self.queries: dict[str, QueryRecord] = {}  # queries by id
        # Queries of ordered classes, by order key.
        self.key_queues: defaultdict[str, list[QueryRecord]] = defaultdict(list)
        self.key_settled_at: dict[str, float] = {}  # clock time from which no attempt of a key can still run
        # Lists by rank. The rank of a class is its index in `classes`.
        self.classes: list[QueryClass] = []  # classes by latency objective, the tightest first
        self.class_rank: dict[str, int] = {}
        self.queues: list[list[QueryRecord]] = []
        self.typical_work: list[float] = []  # core-seconds of a typical query
        self.initial_work: list[float] = []  # core-seconds of a typical query that the settings imply
        # Latency over run time, which differs between classes by priority.
        self.class_slowdown: list[float] = []
        self.class_counts: list[int] = []  # number of queries accepted
        self.work_corrections: list[CostCorrection] = []
        self.memory_corrections: list[CostCorrection] = []
        # Traffic.
        self.quotas: dict[str, TenantQuota] = {}  # quotas by tenant
        self.usual_deadline_fraction = MajorityVote()  # fraction of the deadline left at a first attempt
        self.query_rate = DecayingRate(now, rate_time)
        self.load_run_rate = DecayingRate(now, rate_time)  # run time of arriving loads, in seconds per second
        self.data_set_rates = RecentRates(rate_time, max_data_sets)  # queries per second by data set
        self.recent_queries = SlidingSum()
        self.recent_retries = SlidingSum()
        # The number of engines that loads need and the order of engines, by data set, valid for one refresh.
        self.home_engines: dict[int, HomeEngines] = {}

    def set_classes(
        self, classes: list[QueryClass], initial_work: list[float], kinds: tuple[EngineKind, ...]
    ) -> None:
        """Set the classes in order of rank, with the work assumed for a typical query of each.

        Learned values of a class stay with its name, but its typical work is kept only if its objective and
        threads stay the same. Queries keep the class that they arrived with.
        """
        old_ranks = [self.class_rank.get(cls.name) for cls in classes]
        typical_work = []
        for cls, old, initial in zip(classes, old_ranks, initial_work, strict=True):
            same = old is not None and (
                (self.classes[old].latency_objective, self.classes[old].threads)
                == (cls.latency_objective, cls.threads)
            )
            typical_work.append(self.typical_work[old] if same and old is not None else initial)
        self.typical_work, self.initial_work = typical_work, initial_work
        self.class_slowdown = [1.0 if old is None else self.class_slowdown[old] for old in old_ranks]
        self.class_counts = [0 if old is None else self.class_counts[old] for old in old_ranks]
        work, memory = self.work_corrections, self.memory_corrections
        self.work_corrections = [CostCorrection() if old is None else work[old] for old in old_ranks]
        self.memory_corrections = [CostCorrection() if old is None else memory[old] for old in old_ranks]
        self.lowest_rank, self.tightest_class = len(classes) - 1, classes[0]
        self.min_objective = self.tightest_class.latency_objective
        self.classes, self.class_rank = classes, {cls.name: rank for rank, cls in enumerate(classes)}
        run_times = [
            work / cls.threads for work, cls in zip(typical_work, classes, strict=True) if cls.locks_data_set
        ]
        self.load_lock_time = max(run_times, default=0.0)
        self._rank_queries()
        self.set_kinds(kinds)

    def _rank_queries(self) -> None:
        """Give known queries the ranks of their classes, or of the next class if their class is gone."""
        order = [(cls.latency_objective, cls.deadline) for cls in self.classes]
        for query in self.queries.values():
            nearest = bisect_left(order, (query.cls.latency_objective, query.cls.deadline))
            if query.engine is not None:
                query.engine.adjust_totals(query, -1)
            query.rank = self.class_rank.get(query.cls.name, min(self.lowest_rank, nearest))
            if query.engine is not None:
                query.engine.adjust_totals(query, 1)
        queued = [query for queue in self.queues for query in queue]
        ranks = range(len(self.classes))
        self.queues = [[query for query in queued if query.rank == rank] for rank in ranks]

    def set_quotas(self, quotas: dict[str, TenantQuota]) -> None:
        """Set the tenants' quotas; a quota whose rate is unchanged keeps its state."""
        for tenant, old in self.quotas.items():
            if tenant in quotas and quotas[tenant].rate == old.rate:
                quotas[tenant] = old
        self.quotas = quotas

    def count_query(self, request: Query, cls: QueryClass, work: float) -> None:
        """Count a query in the rates of its data set, of all queries, and of the run time of loads."""
        self.data_set_rates.most_recent(request.data_set, self.now).add(self.now, 1.0)
        self.query_rate.add(self.now, 1.0)
        if cls.locks_data_set:
            self.load_run_rate.add(self.now, work / cls.threads)

    def arrival_time(self, request: Query, received_at: float, deadline: float) -> float:
        """Return the clock time at which the client's first attempt arrived.

        If clients do not mark their retries, a retry is recognized by its time: it had less than the usual
        fraction of its deadline left when it was read. The clock time of the decision cannot be used, because
        a first attempt that is decided late has less time left as well.
        """
        is_retry = request.is_client_retry
        if not self.settings.clients_mark_retries:
            left = (request.due - received_at) / deadline
            is_usual = self.usual_deadline_fraction.agrees(left, DEADLINE_TOLERANCE)
            is_retry = is_retry or not is_usual
        return min(received_at, request.due - deadline) if is_retry else received_at

    def learn_costs(
        self, query: QueryRecord, ended: AttemptEnded, retention: float, max_ratio: float
    ) -> None:
        """Correct future estimates by the reported work and memory, at most ``max_ratio`` times estimated."""
        for correction, actual, estimate in (
            (self.work_corrections[query.rank], ended.work, query.request.work),
            (self.memory_corrections[query.rank], ended.memory_mb, query.request.memory_mb),
        ):
            if actual and estimate:
                correction.learn(min(actual, max_ratio * estimate), estimate, retention)

    def update_warming_weights(self, unseen_factor: float, heavy_queries: float) -> None:
        """Set the weight of a query of each class on warming engines, and the unit of their slots.

        The initial work of a class, times ``unseen_factor``, counts like one query in addition to those seen.
        """
        learned = zip(self.initial_work, self.class_counts, self.typical_work, strict=True)
        self.warming_weights = [
            (unseen_factor * initial + count * work) / (1 + count) for initial, count, work in learned
        ]
        weights = zip(self.warming_weights, self.class_counts, strict=True)
        seen = [weight for weight, count in weights if count] or self.warming_weights
        self.warming_unit = heavy_queries * max(seen)

    def estimate_work(self, request: Query, rank: int) -> float:
        """Estimate a query's core-seconds, from its own estimate if it has one; count it in its class."""
        self.class_counts[rank] += 1
        if not request.work:
            return self.typical_work[rank]
        if not self.work_corrections[rank].estimated:
            # Until engines report work, typical work is the mean estimate. One extreme estimate is bounded.
            typical = self.typical_work[rank]
            change = min(request.work, MAX_WORK_RATIO * typical) - typical
            self.typical_work[rank] += change / self.class_counts[rank]
        return self.work_corrections[rank].correct(request.work)

    def releasable(self) -> list[QueryRecord]:
        """Return the queued queries that wait only for an engine, not for another query of their key."""
        return list(self.iterate_releasable())

    def iterate_releasable(self, rank: int | None = None) -> Iterator[QueryRecord]:
        """Yield the queued queries of one rank, or of all, that wait only for an engine.

        The others wait for another query of their key.
        """
        for queue in self.queues if rank is None else self.queues[rank : rank + 1]:
            for query in queue:
                if not query.key_queue or query.key_queue[0] is query:
                    yield query

    def fewest_releasable(self) -> int:
        """Return a lower bound of the number of ``releasable`` queries, without looking at each of them."""
        queued = sum(map(len, self.queues))
        return queued - sum(map(len, self.key_queues.values())) if queued else 0

    def backlog(self, enough: float = float("inf")) -> float:
        """Seconds that this router's share of engines needs for the queued work minus its heaviest query.

        The work is added up only until the result exceeds ``enough``.
        """
        work = heaviest = 0.0
        for query in self.iterate_releasable():
            work += query.work
            heaviest = max(heaviest, query.work)
            if (work - heaviest) / self.cores > enough:
                break
        return (work - heaviest) / self.cores

    def retry_after(self) -> float | None:
        """Seconds that clients are asked to stay away, by the backlog."""
        longest = self.settings.max_retry_after
        if longest is None:
            return None
        return min(longest, self.backlog(longest - self.min_objective) + self.min_objective)

    def queue_depth(self) -> float:
        """The depth of the queues, in queries or in the work of typical queries, whichever is more."""
        queued = self.releasable()
        work = sum(work * count for work, count in zip(self.typical_work, self.class_counts, strict=True))
        typical = work / max(1, sum(self.class_counts))
        return max(len(queued), sum(query.work for query in queued) / typical if typical else 0.0)

    def close(self, query: QueryRecord) -> None:
        """Record that the client has its answer or has left; an attempt in flight is tracked to its end."""
        query.answered = True
        if query in self.queues[query.rank]:
            self.queues[query.rank].remove(query)
        if query.engine is not None:
            return
        del self.queries[query.id]
        if query.key_queue:
            query.key_queue.remove(query)
            if not query.key_queue:  # Empty queues would accumulate, as clients keep creating new keys.
                self.key_queues.pop(query.request.key or "", None)

    def cancel(self, query: QueryRecord) -> None:
        """Cancel the attempt in flight."""
        query.cancelled = True
        self.actions.append(Cancel(query.id, query.attempts - 1))

    def record_progress(self, event: Progress) -> None:
        """Record a progress note of an attempt in flight, which also shows that its engine works."""
        engine = self.engines.get(event.engine)
        if engine is None:
            return
        engine.heard_at = self.now
        query = self.queries.get(event.id)
        if query is not None and event.kind is ProgressKind.FRACTION_DONE:
            query.record_progress(self.now, event.attempt, event.value)

    def decay(self, now: float, retained: float, long_threads: int) -> None:
        """Decay learned slowdowns, those of the classes included, to the fraction ``retained``."""
        self.class_slowdown = [1.0 + (slowdown - 1.0) * retained for slowdown in self.class_slowdown]
        super().decay(now, retained, long_threads)

    def prune_keys(self) -> None:
        """Drop keys that have settled, because clients keep creating new ones."""
        self.key_settled_at = {key: at for key, at in self.key_settled_at.items() if at > self.now}
