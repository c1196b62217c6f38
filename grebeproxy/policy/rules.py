"""Conditions that every attempt must meet before it is sent, and the limits of warming engines."""

import zlib
from math import exp

from grebeproxy.policy.interface import Idempotency, Scope
from grebeproxy.policy.records import EngineRecord, QueryRecord
from grebeproxy.policy.query_tracking import QueryTracking

# Fraction of the overload rule's budget that routers use for a warming engine. It is below 1 because a time
# window of the rule can overlap two slots, and because the rule's capacity means cores that are 0.85 busy.
WARMING_MARGIN = 0.55
SLOT_FILL = 0.7  # fraction of a slot that gets used, as only complete queries fit into a slot
SLOTS_PER_WINDOW = 2  # slots in the overload rule's time window
HEAVY_QUERIES_PER_UNIT = 1.25  # size of one unit of a slot, in queries of the heaviest class seen
SLOT_ROTATION = 0.6180339887  # golden ratio, which spreads the units evenly over routers from slot to slot
UNSEEN_WORK_FACTOR = 3.0  # factor on the work that the settings imply, for a class without queries yet


class Rules(QueryTracking):
    """Conditions that every attempt must meet before it is sent, and the limits of warming engines."""

    def _may_send(self, query: QueryRecord, engine: EngineRecord) -> bool:
        """True if no rule forbids sending an attempt of the query to the engine now."""
        cls, rules, entry = query.cls, self.settings, engine.entry
        if query.answered or query.engine is not None or self.now >= query.due:
            return False
        if query.attempts >= rules.max_attempts or not self.is_usable(engine):
            return False
        if entry.zone not in (cls.allowed_zones or (entry.zone,)):
            return False
        if entry.kind not in (cls.allowed_kinds or (entry.kind,)):
            return False
        if query.first_ran_on is not None and cls.idempotency is not Idempotency.IDEMPOTENT:
            if not (self._may_retry(query) and self._drops_repeats(query, engine)):
                return False
        if query.key_queue:
            settled_at = self.key_settled_at.get(query.request.key or "", self.now)
            if query.key_queue[0] is not query or (not query.attempts and self.now < settled_at):
                return False
        if query.attempts and not self._retry_budget_left():
            return False
        return not self._warming_up(engine) or self._warmup_slot_allows(query, engine)

    def _drops_repeats(self, query: QueryRecord, engine: EngineRecord) -> bool:
        """True if the engine shares idempotency keys with the engine that may have run the query."""
        if query.first_ran_on is None or query.cls.scope is Scope.ALL:
            return True
        first = query.first_ran_on
        zonal = query.cls.scope is Scope.ZONE
        return first.zone == engine.entry.zone if zonal else first.cell == engine.entry.cell

    def _warmup_slot_allows(self, query: QueryRecord, engine: EngineRecord) -> bool:
        """True if this router's part of the warming engine's current slot has capacity for the query.

        Slots are counted from the engine's start, so that all routers agree on them without messages.
        """
        slot = int((self.now - (engine.warming_since or 0.0)) / self.warmup_slot_time)
        start = (engine.warming_since or 0.0) + slot * self.warmup_slot_time
        if start <= self.started_at or engine.share_index < 0:
            # This router may have used the slot before its own restart, or the units belong to other routers.
            return False
        budget = WARMING_MARGIN * self.settings.rules.overload_factor * self.warmup_slot_time
        units_per_core = budget / self.warming_unit
        if self.many_routers:
            has_unit = 1.0 - exp(-SLOT_FILL * units_per_core * self.warming_capacity)
            if query.random_draw * has_unit >= self.warming_fraction:
                return False
        turn = (zlib.crc32(engine.entry.id.encode()) + slot) * SLOT_ROTATION
        mean_units = units_per_core * engine.cores * self._warmup_capacity(engine) / engine.sharers
        own_units = int(mean_units + (turn + engine.share_index / engine.sharers) % 1.0)
        used = engine.warming_sent.since(start - 1e-6)
        return used + self.warming_weights[query.rank] <= own_units * self.warming_unit

    def _retry_budget_left(self) -> bool:
        """True if the budget of retries allows one more."""
        budget = self.settings.rules.attempt_budget
        if budget is None:
            return True
        since = self.now - budget.window
        retries = self.recent_retries.since(since) + 1
        return retries <= budget.floor + budget.fraction * self.recent_queries.since(since)

    def _may_retry(self, query: QueryRecord) -> bool:
        """True if a retry is harmless: no attempt ran, the query is idempotent, or its key drops repeats."""
        end = self._retry_deadline(query)
        return end is None or self.now + self.settings.tick < end

    def _retry_deadline(self, query: QueryRecord) -> float | None:
        """Clock time from which a retry may do harm; None if there is no such time."""
        if query.first_ran_at is None or query.cls.idempotency is Idempotency.IDEMPOTENT:
            return None
        has_idempotency_key = query.cls.idempotency is Idempotency.IDEMPOTENCY_KEY
        return query.first_ran_at + (query.cls.retry_window if has_idempotency_key else 0.0)
