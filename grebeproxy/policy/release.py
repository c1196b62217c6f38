"""The order of release: what leaves next, and when."""

from grebeproxy.policy.interface import Overbooked, Send, SetTerms
from grebeproxy.policy.placement import PATIENCE, Placement
from grebeproxy.policy.records import Job, Node

FLOOR, GAP_MARGIN = 1.0, 1.5  # base priority; full-load gap between neighbours, in deadlines of urgency
LOW, HIGH = 0.05, 0.5  # held queries per core of ours at which the gap starts and is full
HUSH = 0.8  # part of its aim for which an attempt may hear nothing of its engine, however short it is
SCAN = 16  # held queries of a class that are looked at for one that may go
GRANT, PAGED_GRANT = 1.15, 1.5  # memory granted over the estimate, and where an engine pages


class Release(Placement):
    """The order of release: what leaves next, and when."""

    def _load(self) -> float:
        """The load factor, 0 to 1, from the depth of held queries; departure: in usual ones' work."""
        held = self.ready()
        usual = sum(u * n for u, n in zip(self.usual, self.seen, strict=True)) / max(1, sum(self.seen))
        depth = max(len(held), sum(job.work for job in held) / usual if usual else 0.0)
        low, high = max(1.0, LOW * self.cores), max(2.0, HIGH * self.cores)
        return min(1.0, max(0.0, (depth - low) / (high - low)))

    def _priority(self, job: Job, load: float) -> float:
        """Floor, plus the gap between classes that load opens, plus urgency; at load 0 near arrival order."""
        waited = self.now - job.began
        if job.rank and job.rank == self.last:  # the lowest class grows urgent after a grace
            waited = max(0.0, waited - load * job.cls.latency_objective / 2)
        behind = self.gap if job.over_quota else 0.0  # past its tenant's share: after what is within
        return FLOOR + self.gap * load * self.weight[job.rank] + waited / self.tight.deadline - behind

    def _release(self) -> None:
        """The highest priority leaves while there is room; a class with no room steps aside."""
        while found := [f for f in map(self._first, range(len(self.held))) if f is not None]:
            load = self._load()
            job, e = max(found, key=lambda f: self._priority(f[0], load))
            self.held[job.rank].remove(job)
            self._send(job, e)

    def _first(self, rank: int) -> tuple[Job, Node] | None:
        """The first held query of a class that may go, and its engine."""
        if not self.held[rank] or self._over_fleet_bound(rank):
            return None
        roomy = [e for e in self.up if self._open(e, rank) and self._has_capacity(e, rank)]
        for job in self.held[rank][:SCAN] if roomy else ():
            # Departure: past our share of an engine's memory it waits here, not in its line and not paging.
            able = [
                e
                for e in roomy
                if self._may_send(job, e)
                and (not (e.memory and e.out) or e.granted * e.sharers + job.memory <= e.memory)
            ]
            if able and (e := self._pick(job, able)) is not None:
                return job, e
        return None

    def _send(self, job: Job, e: Node) -> None:
        cls, s = job.cls, self.s
        job.expected = job.run * max(1.0, e.slow) / self._warmth(e)
        patience = min(PATIENCE * job.expected, 2.2 * (s.progress_period or cls.deadline))
        job.patience = max(HUSH * cls.latency_objective, patience)
        if job.attempts:
            if s.rules.attempt_budget is not None:  # without one nobody would clear them away
                self.extra.add(self.now)
        elif s.priorities or s.memory_granted:
            grant = job.memory * (PAGED_GRANT if s.overbooked is Overbooked.PAGE else GRANT)
            if s.overbooked is Overbooked.SHRINK:  # spare memory is dealt out, as far as estimates scatter
                grant *= max(1.0, min(1.0 + 2 * self.memories[job.rank].spread, 0.8 / max(self.fill, 0.01)))
            barring = cls.locks_data_set and any(c.waits_for_loads for c in self.order)  # sooner over
            self.out.append(
                SetTerms(
                    job.id,
                    0 if job.over_quota else 3 if barring else max(1, 3 - job.rank),
                    grant if s.memory_granted and job.memory else None,
                )
            )
        e.attach(job, self.now, max(2, 2 * len(self.sets) // len(self.nodes)))
        e.trial_at = self.now + e.backoff  # of one that is ejected
        if self._warming_up(e):
            e.cold_sent.add(self.now, self.weights[job.rank])
        self.out.append(Send(job.id, e.entry.id, job.due, self._repeat_end(job)))
