"""The health of engines: which are left out, and what outcomes tell."""

from grebeproxy.policy.interface import AttemptEnded, Idempotency, Outcome
from grebeproxy.policy.records import Job, Node
from grebeproxy.policy.rules import Rules

FAULTY = 0.3  # share of failing attempts, above twice the fleet's own, that ejects an engine
PROBATION = 0.75 * FAULTY  # left to an engine that serves again: its next fault ejects it
KEEP, MOST_BILL = 0.98, 8  # weight kept by earlier bills at each new one, and its most over the estimate
BAD = (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED)


class Health(Rules):
    """The health of engines: which are left out, and what outcomes tell."""

    def _open(self, e: Node, rank: int) -> bool:
        """Ejected engines get single trials, of what may be repeated and is short."""
        return (
            self.now >= e.shut_until
            if e.ejected_at is None
            else (
                self.now >= e.trial_at
                and not e.out
                and not rank
                and self.tight.idempotency is Idempotency.IDEMPOTENT
            )
        )

    def _eject(self, e: Node, proven: bool = False) -> None:
        """Stop sending to an engine; a trouble common to most ejects nobody, so that the rest don't drown."""
        able = sum(n.ejected_at is None for n in self.up)
        if not proven and e.ejected_at is None and 2 * able <= len(self.up) + 1:
            return
        e.backoff = min(8 * self.tight.latency_objective, e.backoff * 2) or self.tight.latency_objective / 2
        e.ejected_at, e.trial_at = self.now, self.now + e.backoff * (0.75 + 0.5 * self.rng.random())
        for job in e.out.values() if self.s.may_cancel else ():
            if not (job.cancelled or job.answered or job.cls.idempotency is Idempotency.NON_IDEMPOTENT) and (
                job.attempts < self.s.max_attempts
            ):
                self.cancel(job)

    def _count(self, e: Node, bad: bool) -> None:
        """Take one outcome into the share of faults, the engine's and the fleet's."""
        e.faults += 0.25 * (bad - e.faults)
        self.faults += 0.02 * (bad - self.faults)

    def _faulty(self, e: Node) -> bool:
        """Its share of faults stands out from the fleet's."""
        return e.faults > FAULTY + 2 * self.faults

    def _judge(self, e: Node, job: Job, ev: AttemptEnded) -> None:
        """Learn from an outcome: faults, speed, cost and memory."""
        ok = ev.outcome is Outcome.OK
        # A time-out at an engine that has answered others since is load, not a fault of the engine.
        bad = ev.outcome in BAD and (ev.outcome is not Outcome.TIMEOUT or e.heard <= job.sent)
        if ev.outcome is Outcome.RESET:
            # One connection that ends takes all that was out on it: one fault, not as many as were out.
            bad = job.sent > e.broke_at
            e.broke_at = self.now if bad else e.broke_at
        if ok or ev.outcome in (Outcome.ERROR, Outcome.FULL):
            e.heard, e.still = self.now, 0
        if ev.outcome is Outcome.FULL:
            # One that refuses at once would look idle: nothing goes there for a doubling while.
            e.shut = min(self.tight.latency_objective, 2 * e.shut) or self.pause
            e.shut_until, e.full_until = self.now + e.shut, self.now + e.shut + self.tight.latency_objective
        # Guards against queries that none can use: an error counts once another has answered, or none is to.
        first, job.erred = job.erred, None
        if ev.outcome is Outcome.ERROR and e.ejected_at is None and not job.answered:
            if first is None and self._repeatable(job) and job.attempts < self.s.max_attempts:
                job.erred = e
            bad = bad and job.erred is None and first in (None, e)
        elif ok and first is not None and first is not e:
            self._count(first, True)
            if self._faulty(first):
                self._eject(first)
        if bad or ok:
            self._count(e, bad)
        if ev.outcome is Outcome.CONNECT_FAILED:
            e.unreachable = True
            self._eject(e, proven=True)
        elif bad and (self._faulty(e) if e.ejected_at is None else job.sent > e.ejected_at):
            self._eject(e)  # again only for a trial that failed, not for what was out before
        # Weighted by run time: short queries have priority in the engine and tell little of its crowding.
        run = ev.work / job.cls.threads if ev.work else job.run
        weight, took = (
            min(0.5, max(0.02, run / self.tight.latency_objective / 4)),
            min(10.0, ev.latency / max(run, 1e-4)),
        )
        slow = took * self._warmth(e)  # a cold one is slow without being crowded
        if ok or slow > self.paces[self._warming_up(e)]:  # an error comes soon
            self.paces[self._warming_up(e)] += weight * (slow - self.paces[self._warming_up(e)])
        if ev.outcome is Outcome.CANCELLED and job.cancelled and not job.answered:
            if not job.cls.waits_for_loads:  # one may be badly planned, several tell of a jam
                self.crowd += weight * max(0.0, slow - self.crowd)
            return  # called off for a fresh attempt: that says nothing of the engine
        if not ok:  # what was given up tells of a jam too, where answers are few
            e.slow += weight * max(0.0, slow - e.slow)
            return
        if e.ejected_at is not None and job.sent >= e.ejected_at:
            e.ejected_at, e.faults = None, PROBATION  # on probation: the next fault ejects it again
            if e.unreachable and not self._warming_up(e):
                e.cold_since = self.now  # it was down: take it for cold, whatever the list says
            e.unreachable = False
        e.backoff, e.shut = max(self.tight.latency_objective / 2, e.backoff * 0.9) if e.backoff else 0.0, 0.0
        if ev.work:
            self.usual[job.rank] += 0.03 * (ev.work - self.usual[job.rank])
        self.billed(job, ev.work, ev.memory_mb, KEEP, MOST_BILL)
        if job.query.data_set is not None and job.cls.waits_for_loads:
            e.held_until.pop(job.query.data_set, None)
        e.slow += weight * (slow - e.slow)
        self.pool += weight * (slow - self.pool)
        self.crowd += weight * (slow - self.crowd)  # not fading: its bound leaves work to learn from
        self.pools[job.rank] += 0.1 * (took - self.pools[job.rank])
        e.best = max(1.0, min(e.best + 0.002 * weight * (e.slow - e.best), e.slow))
