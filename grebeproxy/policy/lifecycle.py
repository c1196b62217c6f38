"""The life of a query: taken, given up, called off, ended."""

from grebeproxy.policy.interface import AttemptEnded, Idempotency, Fail, Outcome, Query, Reject, Scope
from grebeproxy.policy.placement import MOSTLY_OWN_CHOICE, PATIENCE
from grebeproxy.policy.records import Job, Node
from grebeproxy.policy.release import Release

FEWEST_ENGINES_TO_CHOOSE = 2  # with fewer engines able there is no other one for a fresh attempt
STILLS = 4  # queries in a row that stood still at an engine, and nothing heard of it, make it suspect
MUTE = 2.0  # and the silence, in aims of the tightest class: loads can hold all that is asked of an engine
STILL = 0.3  # part of its aim after which a query is taken to stand still, or to be badly planned
OVER = 3.0  # and so many expected run times: where engines are slow a fresh attempt would be as well


class Lifecycle(Release):
    """The life of a query: taken, given up, called off, ended."""

    def _take(self, q: Query) -> None:
        if q.cls not in self.rank or q.id in self.jobs:
            return
        cls, rank, began = self.order[self.rank[q.cls]], self.rank[q.cls], self.now
        if self.s.rules.attempt_budget is not None:
            self.taken.add(self.now)
        if not self.first_left.agrees((q.due - self.now) / cls.deadline, 0.005) or q.is_client_retry:
            began = min(began, q.due - cls.deadline)  # a repeat: its aim began with the client's first try
        self.seen[rank] += 1
        if q.work and not self.costs[rank].estimated:  # until answers bill, the mean estimate stands
            # Bounded: one estimate of an hour must not change what is thought of all others.
            self.usual[rank] += (min(q.work, 8 * self.usual[rank]) - self.usual[rank]) / self.seen[rank]
        work = self.costs[rank].correct(q.work) if q.work else self.usual[rank]
        memory = self.memories[rank].correct(q.memory_mb) if q.memory_mb else 0.0
        self.counted(q, cls, min(work, 8 * self.usual[rank]))
        job = self.jobs[q.id] = Job(q, cls, rank, began, max(work, 1e-4), memory, self.draw())
        if q.tenant in self.shares:  # a repeat spends nothing: its first try did, or was past the share
            spent = (began == self.now and not q.is_client_retry) / self.part
            job.over_quota = not self.shares[q.tenant].take(self.now, spent)
        if cls.ordered_by_key and q.key is not None:
            job.turn = self.turns[q.key]
            job.turn.append(job)
        crowded = self._load() > 0
        self.held[rank].append(job)
        if not self._priority_weight(job) or (job.over_quota and crowded):
            self._give_up(job)  # traffic past a tenant's share goes first when others would wait

    def _give_up(self, job: Job) -> None:
        """The final answer, at once: a refusal where that may be promised to be harmless."""
        cls, most = job.cls, self.s.max_retry_after
        if job.node is not None and self.s.may_cancel and not job.cancelled:
            self.cancel(job)
        if (
            cls.idempotency is Idempotency.IDEMPOTENT
            or (job.ran_at is None and job.node is None)
            or (cls.idempotency is Idempotency.IDEMPOTENCY_KEY and cls.scope is Scope.ALL)
        ):
            wait = None if most is None else min(most, self.backlog() + self.tight.latency_objective)
            self.out.append(Reject(job.id, wait))
        else:
            self.out.append(Fail(job.id))
        self.close(job)

    def _priority_weight(self, job: Job) -> float:
        """What the query still earns for a core-second if it is sent now."""
        ahead = sum(o.run for o in job.turn[: job.turn.index(job)]) if job.turn else 0.0
        finish = self.now + (job.run + ahead) * self.pools[job.rank]
        if max(finish, self.now + 6 * self.pause) > job.due:  # the sweep must still come round in time
            return 0.0
        late = 1.0 if finish <= job.objective_at() else job.cls.late_weight_factor
        return (
            late * job.cls.priority_weight * (self.s.over_quota_weight if job.over_quota else 1.0) / job.work
        )

    def _sweep(self) -> None:
        """On the timer: silent engines, what has lost its worth, and what is too much to hold."""
        for e in [e for e in self.nodes.values() if e.out or e.still]:
            # What may stand still behind a load tells nothing by itself, several of it in a row do.
            silent = (
                self.now - max(e.heard, j.sent) > j.patience
                for j in e.out.values()
                if not j.cls.waits_for_loads
            )
            if e.ejected_at is None and (
                any(silent)
                or (e.still >= STILLS and self.now - e.heard > MUTE * self.tight.latency_objective)
            ):
                self._eject(e)
            for job in list(e.out.values()) if self.s.may_cancel else ():
                if not job.answered and not job.cls.late_weight_factor and self.now > job.objective_at(2.0):
                    self._give_up(job)  # nobody is served by it any more
                elif not (job.answered or job.cancelled) and self._stuck(job, e):
                    self.cancel(job)
        for job in [job for queue in self.held for job in queue]:
            if not self._priority_weight(job):
                self._give_up(job)
        self.forget()
        if self._load() > 0:  # too much is held: what earns least for its work goes first
            for job in sorted(self.ready(), key=self._priority_weight):
                if self.backlog() <= self.patience:
                    break
                self._give_up(job)

    def _stuck(self, job: Job, e: Node) -> bool:
        """A fresh attempt is to end sooner: guards against bad plans, answers lost and engines stuck."""
        if (
            not (job.ran_at is None or self._repeatable(job))
            or job.cls.idempotency is Idempotency.NON_IDEMPOTENT
            or (
                job.attempts >= self.s.max_attempts
                or not self._priority_weight(job)
                or not self._extra_left()
            )
        ):
            return False
        if self.s.progress_period:  # its own notes tell; a jam slows a fresh one too
            return job.ends_at - self.now > PATIENCE * job.run * max(1.0, self.pools[job.rank], e.slow)
        if (
            job.cls.locks_data_set or len(self.able) < FEWEST_ENGINES_TO_CHOOSE
        ):  # it may wait for another load
            return self.alike < MOSTLY_OWN_CHOICE and self.now - job.sent > PATIENCE * job.expected
        # Guards against standing still behind a load, whosever, and against bad plans, drawn anew each time.
        expected = job.run * max(1.0, e.slow, self.pool) / self._warmth(e)
        if self.now - job.sent <= max(STILL * (job.objective_at() - job.began), OVER * expected):
            return False
        e.still += 1
        if job.cls.waits_for_loads and job.query.data_set is not None:
            e.hold(job.query.data_set, self.now, self.now + self.hold)  # what follows keeps away a while
        return True

    def _ended(self, ev: AttemptEnded) -> None:
        job, e = self.jobs.get(ev.id), self.nodes.get(ev.engine)
        if job is None or e is None or job.node is not e or ev.attempt != job.attempts - 1:
            return
        e.detach(job)
        e.reported = (ev.report or {}).get("memory_granted", e.reported)
        self._judge(e, job, ev)
        if not ev.outcome.never_ran and job.ran_at is None:
            job.ran_at, job.ran_on = job.sent, e
        if ev.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED) and job.query.key is not None:
            self.rest[job.query.key] = self.now + self.s.rules.key_settle_time
        job.avoid = e
        if ev.settled or job.answered:
            self.close(job)
        elif (
            not self._repeatable(job) or job.attempts >= self.s.max_attempts or not self._priority_weight(job)
        ):
            self._give_up(job)
        else:
            job.draw = self.draw()
            self.held[job.rank].insert(0, job)
