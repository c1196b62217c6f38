"""The lifecycle of a query: acceptance, retries, cancellation, rejection and the final answer."""

from grebeproxy.policy.interface import AttemptEnded, Fail, Idempotency, Outcome, Query, Reject, Scope
from grebeproxy.policy.query_tracking import MAX_WORK_RATIO
from grebeproxy.policy.placement import INDEPENDENT_CHOICE_SIMILARITY, SILENCE_FACTOR
from grebeproxy.policy.records import EngineRecord, Estimate, QueryRecord
from grebeproxy.policy.release import Release

FEWEST_ENGINES_TO_CHOOSE = 2  # with fewer healthy engines, a retry has no other engine to go to
STALLS_TO_SUSPECT = 4  # stalled queries in a row that make a silent engine suspect
# Silence that ejects a suspect engine, in objectives of the tightest class. Loads can lock all data sets, so
# this silence is not short.
SUSPECT_SILENCE = 2.0
STALL_FRACTION = 0.3  # fraction of its objective after which a query counts as stalled or badly planned
STALL_RUN_TIMES = 3.0  # the same limit in expected run times, because slow engines would slow a retry too
MAX_QUERIES_PER_KEY = 256  # they run one after the other, so the last of more would miss its deadline
MIN_WORK = 1e-4  # lower limit of the estimated work of a query, in core-seconds
SWEEPS_BEFORE_DEADLINE = 6  # sweep intervals before its deadline at which a query is rejected, at the latest
UNSERVED_STRETCH = 2.0  # stretch of the work part of an objective after which an answer is useless
STALLED_OUTCOMES = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)  # the attempt may still be running


class Lifecycle(Release):
    """The lifecycle of a query: acceptance, retries, cancellation, rejection and the final answer."""

    def _accept(self, request: Query) -> None:
        """Queue a new query; reject it at once if its answer would be useless, or over quota under load."""
        if request.cls not in self.class_rank or request.id in self.queries:
            return
        rank = self.class_rank[request.cls]
        cls = self.classes[rank]
        if self.settings.rules.attempt_budget is not None:
            self.recent_queries.add(self.now)
        received_at = self.now if request.received_at is None else request.received_at
        arrived_at = self.arrival_time(request, received_at, cls.deadline)
        work = self.estimate_work(request, rank)
        memory = self.memory_corrections[rank].correct(request.memory_mb) if request.memory_mb else 0.0
        self.count_query(request, cls, min(work, MAX_WORK_RATIO * self.typical_work[rank]))
        query = QueryRecord(request, cls, rank, arrived_at, Estimate(max(work, MIN_WORK), memory))
        query.random_draw = self.draw_if_many()
        self.queries[query.id] = query
        if request.tenant in self.quotas:
            # A client's retry spends no token, because the first attempt spent one or was over quota.
            spent = (arrived_at == received_at and not request.is_client_retry) / self.traffic_ratio
            query.over_quota = not self.quotas[request.tenant].take(self.now, spent)
        key = request.key if cls.ordered_by_key else None
        if key is not None and len(self.key_queues.get(key, ())) >= MAX_QUERIES_PER_KEY:
            self._reject_or_fail(query)
            return
        if key is not None:
            query.key_queue = self.key_queues[key]
            query.key_queue.append(query)
        loaded = self._load_factor() > 0
        self.queues[rank].append(query)
        if not self._priority_weight(query) or (query.over_quota and loaded):
            self._reject_or_fail(query)

    def _reject_or_fail(self, query: QueryRecord) -> None:
        """Give the final answer: a rejection if a client's retry is certainly harmless, else a failure."""
        cls = query.cls
        if query.engine is not None and self.settings.may_cancel and not query.cancelled:
            self.cancel(query)
        never_ran = query.first_ran_at is None and query.engine is None
        has_idempotency_key = cls.idempotency is Idempotency.IDEMPOTENCY_KEY and cls.scope is Scope.ALL
        if never_ran or has_idempotency_key or cls.idempotency is Idempotency.IDEMPOTENT:
            self.actions.append(Reject(query.id, self.retry_after()))
        else:
            self.actions.append(Fail(query.id))
        self.close(query)

    def _priority_weight(self, query: QueryRecord) -> float:
        """Value of the query per core-second if it is sent now; 0 if it would end too late."""
        time_ahead = 0.0
        if query.key_queue:
            queries_ahead = query.key_queue[: query.key_queue.index(query)]
            time_ahead = sum(other.run_time for other in queries_ahead)
        finish = self.now + (query.run_time + time_ahead) * self.class_slowdown[query.rank]
        # One more sweep must run before the deadline to reject the query in time.
        if max(finish, self.now + SWEEPS_BEFORE_DEADLINE * self.sweep_interval) > query.due:
            return 0.0
        late_factor = 1.0 if finish <= query.objective_at() else query.cls.late_weight_factor
        quota_factor = self.settings.over_quota_weight if query.over_quota else 1.0
        return late_factor * query.cls.priority_weight * quota_factor / query.work

    def _sweep(self) -> None:
        """On the timer, eject silent engines, cancel stalled attempts, and reject useless queries."""
        for engine in [e for e in self.engines.values() if e.in_flight or e.stalled_queries]:
            if engine.ejected_at is None and self._is_silent(engine):
                self._eject(engine)
            if self.settings.may_cancel:
                self._sweep_attempts(engine)
        for query in [query for queue in self.queues for query in queue]:
            if not self._priority_weight(query):
                self._reject_or_fail(query)
        self.prune_keys()
        self.prune_engines()
        if self._load_factor() > 0:  # Beyond the allowed backlog, the least valuable are rejected first.
            for query in sorted(self.releasable(), key=self._priority_weight):
                if self.backlog(self.max_backlog) <= self.max_backlog:
                    break
                self._reject_or_fail(query)

    def _is_silent(self, engine: EngineRecord) -> bool:
        """True if the engine has been silent for too long.

        The silence of a single query that waits for loads proves nothing; several stalled in a row do.
        """
        for query in engine.in_flight.values():
            silence = self.now - max(engine.heard_at, query.sent_at)
            if not query.cls.waits_for_loads and silence > query.silence_limit:
                return True
        stalled = engine.stalled_queries >= STALLS_TO_SUSPECT
        return stalled and self.now - engine.heard_at > SUSPECT_SILENCE * self.min_objective

    def _sweep_attempts(self, engine: EngineRecord) -> None:
        """Give up attempts in flight whose answer would be useless by now, and cancel stalled attempts."""
        for query in list(engine.in_flight.values()):
            useless_at = query.objective_at(UNSERVED_STRETCH)
            if not query.answered and not query.cls.late_weight_factor and self.now > useless_at:
                self._reject_or_fail(query)
            elif not (query.answered or query.cancelled) and self._should_restart(query, engine):
                self.cancel(query)

    def _should_restart(self, query: QueryRecord, engine: EngineRecord) -> bool:
        """True if a retry is allowed and likely to end sooner than the stalled or badly planned attempt."""
        if not self._may_restart(query):
            return False
        waited = self.now - query.sent_at
        if self.settings.progress_period:  # The attempt is compared with a retry on engines that are as slow.
            retry_slowdown = max(1.0, self.class_slowdown[query.rank], engine.slowdown)
            return query.predicted_end - self.now > SILENCE_FACTOR * query.run_time * retry_slowdown
        if query.cls.locks_data_set or len(self.healthy_engines) < FEWEST_ENGINES_TO_CHOOSE:
            # A load may be waiting for another load, so only a long wait counts.
            independent_choice = self.peer_similarity < INDEPENDENT_CHOICE_SIMILARITY
            return independent_choice and waited > SILENCE_FACTOR * query.expected_latency
        slowdown = max(1.0, engine.slowdown, self.fleet_slowdown)
        expected = query.run_time * slowdown / self._warmup_capacity(engine)
        objective = query.objective_at() - query.arrived_at
        if waited <= max(STALL_FRACTION * objective, STALL_RUN_TIMES * expected):
            return False
        engine.stalled_queries += 1
        if query.cls.waits_for_loads and query.request.data_set is not None:
            # A load, perhaps of another router, locks the data set, so later queries avoid the engine.
            engine.lock_data_set(query.request.data_set, self.now, self.now + self.load_lock_time)
        return True

    def _may_restart(self, query: QueryRecord) -> bool:
        """True if a retry is harmless, within the limits of attempts, and still useful."""
        if query.cls.idempotency is Idempotency.NON_IDEMPOTENT or not self._may_retry(query):
            return False
        if query.attempts >= self.settings.max_attempts:
            return False
        return bool(self._priority_weight(query)) and self._retry_budget_left()

    def _attempt_ended(self, ended: AttemptEnded) -> None:
        """Learn from the end of an attempt, then retry the query, give its final answer, or drop it."""
        query, engine = self.queries.get(ended.id), self.engines.get(ended.engine)
        if query is None or engine is None or query.engine is not engine:
            return
        if ended.attempt != query.attempts - 1:
            return  # The event is about an earlier attempt, which is already over.
        engine.record_end(query)
        engine.reported_fill = (ended.load_report or {}).get("memory_granted", engine.reported_fill)
        self._learn(engine, query, ended)
        if not ended.outcome.never_ran and query.first_ran_at is None:
            query.first_ran_at, query.first_ran_on = query.sent_at, query.sent_to
        if ended.outcome in STALLED_OUTCOMES and query.request.key is not None:
            self.key_settled_at[query.request.key] = self.now + self.settings.rules.key_settle_time
        query.last_engine = engine
        if ended.settled or query.answered:
            self.close(query)
            return
        retries_left = query.attempts < self.settings.max_attempts
        if self._may_retry(query) and retries_left and self._priority_weight(query):
            query.random_draw = self.draw_if_many()
            self.queues[query.rank].insert(0, query)
        else:
            self._reject_or_fail(query)
