"""The rules that every send keeps, and what is known of engines that have just started."""

import zlib
from math import exp

from grebeproxy.policy.books import Books
from grebeproxy.policy.interface import Idempotency, Scope
from grebeproxy.policy.records import Job, Node

WARMING_MARGIN, PACKED = 0.55, 0.7  # of the budget: slots meet, cores are 0.85 busy; of a slot, whole queries
SLOTS, PART, TURN = 2, 1.25, 0.6180339887  # slots of its window, heavy queries in one, turns between them
WARY = 3.0  # times its work by the settings: a query of each class beside those that were seen


class Rules(Books):
    """The rules that every send keeps, and what is known of engines that have just started."""

    def _may_send(self, job: Job, e: Node) -> bool:
        """Every send passes here: answers, drains, placement, repeats, order, attempts, cold engines."""
        cls, s, entry = job.cls, self.s, e.entry
        if job.answered or job.node is not None or job.attempts >= s.max_attempts or self.now >= job.due:
            return False
        if (
            not self.usable(e)
            or entry.zone not in (cls.allowed_zones or (entry.zone,))
            or (entry.kind not in (cls.allowed_kinds or (entry.kind,)))
        ):
            return False
        if job.ran_on is not None and cls.idempotency is not Idempotency.IDEMPOTENT:
            first = job.ran_on.entry
            if (
                not self._repeatable(job)
                or (cls.scope is Scope.ZONE and first.zone != entry.zone)
                or (cls.scope is Scope.CELL and first.cell != entry.cell)
            ):
                return False
        if job.turn and (
            job.turn[0] is not job
            or (not job.attempts and self.now < self.rest.get(job.query.key or "", self.now))
        ):
            return False
        if job.attempts and not self._extra_left():
            return False
        return not self._warming_up(e) or self._in_slot(job, e)

    def _in_slot(self, job: Job, e: Node) -> bool:
        """A cold engine's budget is dealt in slots from its start on, seen alike by all, restarted or not."""
        slot = int((self.now - (e.cold_since or 0.0)) / self.slot)
        start = (e.cold_since or 0.0) + slot * self.slot
        if start <= self.began or e.number < 0:
            return False  # a former self may have had this slot, or others are dealt this engine
        each = WARMING_MARGIN * self.s.rules.overload_factor * self.slot / self.heavy
        if self.many and job.draw * (1.0 - exp(-PACKED * each * self.cold_able)) >= self.cold_part:
            return False
        turn = (zlib.crc32(e.entry.id.encode()) + slot) * TURN
        parts = int(each * e.cores * self._warmth(e) / e.sharers + (turn + e.number / e.sharers) % 1.0)
        return e.cold_sent.since(start - 1e-6) + self.weights[job.rank] <= parts * self.heavy

    def _extra_left(self) -> bool:
        """The budget of attempts beyond the first has room for one."""
        budget = self.s.rules.attempt_budget
        if budget is None:
            return True
        since = self.now - budget.window
        return self.extra.since(since) + 1 <= budget.floor + budget.share * self.taken.since(since)

    def _repeatable(self, job: Job) -> bool:
        """Another attempt is harmless: it never ran, or repeats are safe or dropped."""
        end = self._repeat_end(job)
        return end is None or self.now + self.s.tick < end

    def _repeat_end(self, job: Job) -> float | None:
        """Clock time from which on another attempt may do harm, if there is one."""
        if job.ran_at is None or job.cls.idempotency is Idempotency.IDEMPOTENT:
            return None
        return job.ran_at + (
            job.cls.retry_window if job.cls.idempotency is Idempotency.IDEMPOTENCY_KEY else 0.0
        )

    def _warming_up(self, e: Node) -> bool:
        return e.cold_since is not None and self.now < e.cold_since + self.s.rules.slow_start_time

    def _warmth(self, e: Node) -> float:
        """Part of its capacity that a starting engine is taken to have, for the choice only."""
        low, age = self.s.rules.slow_start_fraction, self.now - (e.cold_since or 0.0)
        return (
            max(0.05, low + (1 - low) * max(0.0, age) / self.s.rules.slow_start_time)
            if self._warming_up(e)
            else 1.0
        )
