"""The health of engines: which engines are ejected, and what the ends of attempts tell of an engine."""

from grebeproxy.policy.interface import AttemptEnded, Idempotency, Outcome
from grebeproxy.policy.records import EngineRecord, QueryRecord
from grebeproxy.policy.rules import Rules

EJECTION_FAULT_RATE = 0.3  # fraction of failed attempts, above twice the fleet's, that ejects an engine
PROBATION_FAULT_RATE = 0.75 * EJECTION_FAULT_RATE  # fault rate on probation: the next fault ejects again
MAX_BACKOFF_OBJECTIVES = 8  # longest ejection, in latency objectives of the tightest class
BACKOFF_RECOVERY = 0.9  # factor on the backoff of ejections for each successful attempt
COST_RETENTION = 0.98  # weight that earlier reports of cost keep when a new one comes
MAX_COST_RATIO = 8  # upper limit of a reported cost over its estimate
MAX_SLOWDOWN = 10.0  # upper limit of one attempt's latency over its run time
FAULT_OUTCOMES = (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED)


class Health(Rules):
    """The health of engines: which engines are ejected, and what is learned from attempts."""

    def _accepts_queries(self, engine: EngineRecord, rank: int) -> bool:
        """True if the engine gets queries of this rank; an ejected one gets single idempotent trials."""
        if engine.ejected_at is None:
            return self.now >= engine.closed_until
        if self.now < engine.trial_at or engine.in_flight or rank:
            return False
        return self.tightest_class.idempotency is Idempotency.IDEMPOTENT

    def _eject(self, engine: EngineRecord, proven: bool = False) -> None:
        """Stop sending to an engine, and cancel those of its attempts whose retry may end sooner.

        When most engines show unproven faults, these have a common cause, and further ejections would
        overload the engines that are left.
        """
        healthy = sum(other.ejected_at is None for other in self.usable_engines)
        if not proven and engine.ejected_at is None and 2 * healthy <= len(self.usable_engines) + 1:
            return
        longest = MAX_BACKOFF_OBJECTIVES * self.min_objective
        engine.ejection_backoff = min(longest, engine.ejection_backoff * 2) or self.min_objective / 2
        engine.ejected_at = self.now
        engine.trial_at = self.now + engine.ejection_backoff * (0.75 + 0.5 * self.random.random())
        for query in engine.in_flight.values() if self.settings.may_cancel else ():
            if query.cancelled or query.answered or query.cls.idempotency is Idempotency.NON_IDEMPOTENT:
                continue
            if query.attempts < self.settings.max_attempts:
                self.cancel(query)

    def _record_fault(self, engine: EngineRecord, fault: bool) -> None:
        """Add one outcome to the moving averages of faults of the engine and of the fleet."""
        engine.fault_rate += 0.25 * (fault - engine.fault_rate)
        self.fault_rate += 0.02 * (fault - self.fault_rate)

    def _is_outlier(self, engine: EngineRecord) -> bool:
        """True if the engine's rate of faults stands out from the fleet's."""
        return engine.fault_rate > EJECTION_FAULT_RATE + 2 * self.fault_rate

    def _learn(self, engine: EngineRecord, query: QueryRecord, ended: AttemptEnded) -> None:
        """Learn from the end of an attempt: faults, latency, cost and memory."""
        ok = ended.outcome is Outcome.OK
        fault = self._is_fault(engine, query, ended.outcome)
        if ok or ended.outcome in (Outcome.ERROR, Outcome.FULL):
            engine.heard_at, engine.stalled_queries = self.now, 0
        if ended.outcome is Outcome.FULL:
            self._back_off_full(engine)
        fault = self._attribute_error(engine, query, ended.outcome, fault)
        if fault or ok:
            self._record_fault(engine, fault)
        if ended.outcome is Outcome.CONNECT_FAILED:
            engine.unreachable = True
            self._eject(engine, proven=True)
        elif fault and engine.ejected_at is None:
            if self._is_outlier(engine):
                self._eject(engine)
        elif fault and query.sent_at > (engine.ejected_at or 0.0):
            self._eject(engine)  # A trial failed. Attempts sent before the ejection do not prolong it.
        self._learn_latency(engine, query, ended)
        if ok:
            self._record_recovery(engine, query)
            self._learn_cost(engine, query, ended)

    def _is_fault(self, engine: EngineRecord, query: QueryRecord, outcome: Outcome) -> bool:
        """True if the outcome counts as a fault of the engine."""
        if outcome is Outcome.RESET:
            return engine.record_reset(query.sent_at, self.now)
        if outcome is Outcome.TIMEOUT:
            # An engine that has answered another attempt since then is loaded, not faulty.
            return engine.heard_at <= query.sent_at
        return outcome in FAULT_OUTCOMES

    def _back_off_full(self, engine: EngineRecord) -> None:
        """Send nothing for a time that doubles; otherwise an engine that rejects at once would look idle."""
        engine.full_backoff = min(self.min_objective, 2 * engine.full_backoff) or self.sweep_interval
        engine.closed_until = self.now + engine.full_backoff
        engine.full_until = self.now + engine.full_backoff + self.min_objective

    def _attribute_error(
        self, engine: EngineRecord, query: QueryRecord, outcome: Outcome, fault: bool
    ) -> bool:
        """Return whether the attempt counts as a fault; an error counts only once a retry has ended.

        Some queries fail on every engine. So the first error counts as a fault of its engine only when
        another engine answers the query, or at once if there will be no retry.
        """
        first, query.error_engine = query.error_engine, None
        if outcome is Outcome.ERROR and engine.ejected_at is None and not query.answered:
            retried = self._may_retry(query) and query.attempts < self.settings.max_attempts
            if first is None and retried:
                query.error_engine = engine
            return fault and query.error_engine is None and first in (None, engine)
        if outcome is Outcome.OK and first is not None and first is not engine:
            self._record_fault(first, True)
            if self._is_outlier(first):
                self._eject(first)
        return fault

    def _learn_latency(self, engine: EngineRecord, query: QueryRecord, ended: AttemptEnded) -> None:
        """Update the averages of latency over run time of the engine, the class and the fleet."""
        ok = ended.outcome is Outcome.OK
        # The weight grows with run time, as short queries have priority in engines and tell little of load.
        run_time = ended.work / query.cls.threads if ended.work else query.run_time
        weight = min(0.5, max(0.02, run_time / self.min_objective / 4))
        ratio = min(MAX_SLOWDOWN, ended.latency / max(run_time, 1e-4))
        slowdown = ratio * self._warmup_capacity(engine)  # A warming engine is slow without load.
        warming = self._warming_up(engine)
        if ok or slowdown > self.slowdown_by_warming[warming]:  # Errors end early, so they may only raise it.
            self.slowdown_by_warming[warming] += weight * (slowdown - self.slowdown_by_warming[warming])
        if ended.outcome is Outcome.CANCELLED and query.cancelled and not query.answered:
            # The attempt was cancelled for a retry. One query may have a bad plan, but several show overload.
            if not query.cls.waits_for_loads:
                self.lasting_slowdown += weight * max(0.0, slowdown - self.lasting_slowdown)
            return
        if not ok:  # Failed attempts show overload too, when there are few answers.
            engine.slowdown += weight * max(0.0, slowdown - engine.slowdown)
            return
        engine.slowdown += weight * (slowdown - engine.slowdown)
        self.fleet_slowdown += weight * (slowdown - self.fleet_slowdown)
        # This average does not decay with time: its bound lets enough queries through to learn from.
        self.lasting_slowdown += weight * (slowdown - self.lasting_slowdown)
        self.class_slowdown[query.rank] += 0.1 * (ratio - self.class_slowdown[query.rank])
        best = engine.best_slowdown + 0.002 * weight * (engine.slowdown - engine.best_slowdown)
        engine.best_slowdown = max(1.0, min(best, engine.slowdown))

    def _record_recovery(self, engine: EngineRecord, query: QueryRecord) -> None:
        """End the ejection of an engine after a successful trial, and shorten its backoffs."""
        if engine.ejected_at is not None and query.sent_at >= engine.ejected_at:
            engine.record_recovery(self.now, PROBATION_FAULT_RATE, self._warming_up(engine))
        if engine.ejection_backoff:
            engine.ejection_backoff = max(self.min_objective / 2, engine.ejection_backoff * BACKOFF_RECOVERY)
        engine.full_backoff = 0.0

    def _learn_cost(self, engine: EngineRecord, query: QueryRecord, ended: AttemptEnded) -> None:
        """Learn the work and memory of a successful attempt, whose data set is not locked on the engine."""
        if ended.work:
            self.typical_work[query.rank] += 0.03 * (ended.work - self.typical_work[query.rank])
        self.learn_costs(query, ended, COST_RETENTION, MAX_COST_RATIO)
        if query.request.data_set is not None and query.cls.waits_for_loads:
            engine.locked_until.pop(query.request.data_set, None)
