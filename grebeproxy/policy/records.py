"""Records of a query and of an engine. They hold state, and make no decisions."""

from __future__ import annotations

from typing import NamedTuple

from grebeproxy.policy.estimators import SlidingSum
from grebeproxy.policy.interface import Engine, Query, QueryClass

MIN_PROGRESS = 0.01  # lower limit of the fraction done when the end of an attempt is extrapolated


class Estimate(NamedTuple):
    """What a query is expected to need: work in core-seconds and memory in MB, corrected by past errors."""

    work: float
    memory: float


class HomeEngines(NamedTuple):
    """The engines that all routers prefer for the loads of a data set."""

    needed: float  # number of these engines that the loads need
    places: dict[str, int]  # place of each healthy engine in the agreed order, by id


class QueryRecord:
    """A query from its acceptance until its client has an answer and no attempt is in flight."""

    def __init__(
        self, request: Query, cls: QueryClass, rank: int, arrived_at: float, estimate: Estimate
    ) -> None:
        self.request = request
        self.id = request.id
        self.due = request.due
        self.cls = cls
        self.rank = rank
        self.arrived_at = arrived_at  # clock time of the client's first attempt
        self.work = estimate.work
        self.memory = estimate.memory
        self.run_time = estimate.work / cls.threads
        self.over_quota = False
        # If the class is ordered: all queries of the same key in order, this one included.
        self.key_queue: list[QueryRecord] = []
        self.attempts = 0
        self.random_draw = 0.0  # random number from 0 to 1, drawn anew for each attempt
        self.engine: EngineRecord | None = None  # engine of the attempt in flight
        self.sent_at = 0.0
        self.sent_to: Engine | None = None  # engine of the latest attempt, as it was listed when it was sent
        self.expected_latency = 0.0
        self.silence_limit = 0.0  # seconds without news from the engine after which it is suspect
        self.predicted_end = 0.0  # clock time at which the attempt in flight ends, by its progress notes
        self.cancelled = False  # True once the attempt in flight is cancelled
        self.answered = False
        self.first_ran_at: float | None = None  # clock time when the first attempt that may have run was sent
        self.first_ran_on: Engine | None = None  # engine of that attempt, as it was listed then
        self.last_engine: EngineRecord | None = None
        self.error_engine: EngineRecord | None = None  # engine of the last attempt, if that ended in an error
        self.health_checked_at: float | None = None  # clock time of the last health checks for this query
        self.health_checked: list[EngineRecord] = []  # engines that were checked then

    def record_progress(self, now: float, attempt: int, fraction: float) -> None:
        """Extrapolate the end of the attempt in flight from the fraction done; older attempts are ignored."""
        if attempt == self.attempts - 1:
            self.predicted_end = now + (now - self.sent_at) * (1.0 / max(MIN_PROGRESS, fraction) - 1.0)

    def objective_at(self, stretch: float = 1.0) -> float:
        """Clock time when the latency objective is missed; the part for the work is scaled by ``stretch``."""
        work_time = stretch * self.cls.objective_stretch * self.run_time
        return self.arrived_at + self.cls.latency_objective + work_time


class EngineRecord:
    """What one router knows of one engine."""

    def __init__(self, entry: Engine, cores: float, memory: float) -> None:
        self.entry = entry
        self.cores = cores
        self.memory = memory
        self.in_subset = True  # True if this router works with the engine
        self.sharers = 1  # number of routers that work with this engine
        self.share_index = 0  # index of this router among the sharers; negative if unknown
        self.in_flight: dict[str, QueryRecord] = {}  # by query id
        self.threads = 0  # threads of the attempts in flight
        self.long_threads = 0  # threads of the long classes' attempts in flight
        self.granted_memory = 0.0  # MB of the attempts in flight
        self.reported_fill = 0.0  # granted fraction of the memory by the last load report, decaying with time
        self.cached_data_sets: dict[int, None] = {}  # data sets of queries sent to it, the latest last
        self.locked_until: dict[int, float] = {}  # clock time until which a data set is assumed to be locked
        self.stalled_queries = 0  # number of stalled queries since the engine was last heard
        self.slowdown = 1.0  # recent average of latency over run time
        self.best_slowdown = 1.0
        self.pending_slowdown = 0.0  # slowdown estimated from the attempts in flight
        self.heard_at = 0.0  # clock time of the last answer or progress note
        self.full_until = 0.0  # clock time until which it counts as under pressure after a FULL answer
        self.full_backoff = 0.0
        self.closed_until = 0.0  # clock time until which it gets no attempts after a FULL answer
        self.fault_rate = 0.0
        self.last_reset_at = -1.0  # clock time when a broken connection was last counted as a fault
        self.ejected_at: float | None = None
        self.trial_at = 0.0  # clock time from which an ejected engine may get a trial
        self.ejection_backoff = 0.0
        self.unreachable = False  # True if it was ejected because connecting failed
        self.health_checked_at = 0.0  # clock time when a health check last ended
        self.health_check_latency = 0.0
        self.warming_since: float | None = None
        self.warming_sent = SlidingSum()  # weights of the queries sent while warming up

    def record_send(self, query: QueryRecord, now: float, max_cached: int) -> None:
        """Record that an attempt is sent; at most ``max_cached`` data sets are assumed to be cached."""
        query.engine = self
        query.sent_at = now
        query.sent_to = self.entry
        query.cancelled = False
        query.attempts += 1
        query.predicted_end = 0.0
        self.in_flight[query.id] = query
        self.adjust_totals(query, 1)
        data_set = query.request.data_set
        if data_set is not None:
            self.cached_data_sets.pop(data_set, None)
            self.cached_data_sets[data_set] = None
            while len(self.cached_data_sets) > max_cached:
                del self.cached_data_sets[next(iter(self.cached_data_sets))]

    def record_end(self, query: QueryRecord) -> None:
        """Record the end of the attempt in flight."""
        del self.in_flight[query.id]
        query.engine = None
        self.adjust_totals(query, -1)

    def record_restart(self, since: float, now: float) -> None:
        """Record that the engine has a new process, which warms up and may get a trial at once."""
        self.warming_since = since
        self.trial_at = now
        self.cached_data_sets.clear()

    def record_return(self, now: float, slowdown: float) -> None:
        """Forget the engine's faults and silence, because operators have restarted and enabled it again."""
        self.record_restart(now, now)
        self.ejected_at = None
        self.fault_rate = 0.0
        self.ejection_backoff = 0.0
        self.unreachable = False
        self.stalled_queries = 0
        self.heard_at = now
        self.slowdown = slowdown

    def record_reset(self, sent_at: float, now: float) -> bool:
        """Record that an attempt's connection broke; return False if a break was recorded since it was sent.

        A broken connection ends all attempts on it. It counts as one fault, not as one for each attempt.
        """
        if sent_at <= self.last_reset_at:
            return False
        self.last_reset_at = now
        return True

    def record_recovery(self, now: float, fault_rate: float, warming_up: bool) -> None:
        """End the ejection after a successful trial; an unreachable engine has restarted and warms up."""
        self.ejected_at = None
        self.fault_rate = fault_rate
        if self.unreachable and not warming_up:
            self.warming_since = now
        self.unreachable = False

    def record_health_check(self, now: float, latency: float, quick: bool) -> None:
        """Record the end of a health check; only a quick answer shows that the engine works."""
        self.health_checked_at = now
        self.health_check_latency = latency
        if quick:
            self.heard_at = max(self.heard_at, now)

    def lock_data_set(self, data_set: int, now: float, until: float) -> None:
        """Assume that a load locks the data set on this engine.

        Ended locks are dropped, because they would accumulate otherwise.
        """
        self.locked_until = {locked: end for locked, end in self.locked_until.items() if end > now}
        self.locked_until[data_set] = until

    def loads_in_flight(self, data_set: int) -> int:
        """Number of this router's loads in flight here that lock the data set or wait for its lock."""
        return sum(q.request.data_set == data_set and q.cls.locks_data_set for q in self.in_flight.values())

    def is_locked(self, now: float, data_set: int) -> bool:
        """True if a load of this router, or one that is assumed after a stall, locks the data set here."""
        return self.locked_until.get(data_set, 0.0) > now or self.loads_in_flight(data_set) > 0

    def decay(self, now: float, fleet_slowdown: float, retained: float) -> None:
        """Decay the slowdown towards the fleet's, and measure how late the attempts in flight are."""
        self.slowdown = fleet_slowdown + (self.slowdown - fleet_slowdown) * retained
        self.reported_fill *= retained
        if not self.in_flight:
            self.pending_slowdown = 0.0
            return
        in_flight = self.in_flight.values()
        late = sum(max(0.0, now - query.sent_at - query.expected_latency) for query in in_flight)
        if not late:
            self.pending_slowdown = 0.0
            return
        expected = sum(query.expected_latency for query in in_flight)
        self.pending_slowdown = self.best_slowdown * (1.0 + late / expected)

    def adjust_totals(self, query: QueryRecord, sign: int) -> None:
        """Add an attempt's threads and memory to the totals in flight, or subtract them."""
        self.threads += sign * query.cls.threads
        self.long_threads += sign * query.cls.threads if query.rank else 0
        self.granted_memory += sign * query.memory
