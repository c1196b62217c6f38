"""All decisions of one gateway. Its types, events and actions are in ``grebeproxy/interface.py``.

Queries are held; the one with the highest ``_priority`` leaves when ``_room`` opens on an engine, ``_cost``
picks the engine. Every send passes ``_may_send``, which keeps the rules.
"""

from __future__ import annotations

import zlib
from functools import partial
from math import exp
from random import Random

from grebeproxy.interface import (
    Action, AttemptEnded, ByHand, Cancel, Effect, EngineList, EngineState, Event, Fail, Gone, ListKind,
    Outcome, Overbooked, Probe, Probed, Progress, ProgressKind, Query, Refuse, Retuned, Scope, Send, SetTerms,
    Settings, SetTimer, TimerFired, Watch)
from grebeproxy.state import Books, Flow, Flows, Job, Node, Share, agreed, dealt, laid, stretch

FLOOR, GAP_MARGIN = 1.0, 1.5  # base priority; full-load gap between neighbours, in deadlines of urgency
LOW, HIGH = 0.05, 0.5  # held queries per core of ours at which the gap starts and is full
BOUND, LONG = 2.0, 0.75  # threads per core under pressure; part of them at which long classes stop
PRESSURE = 1.4  # an engine shows pressure when its latency is this many times its best
COLD_SET = 0.75  # threads per core that a data set read afresh is worth in the choice of engine
COLD_MARGIN = 0.75  # part of the cold budget that is used: what others send and true sizes are unknown
HUSH = 0.8  # part of its aim for which an attempt may hear nothing of its engine, however short it is
PATIENCE = 4.0  # an engine that has been silent for this many expected run times is suspect
FAULTY = 0.3  # share of failing attempts, above twice the fleet's own, that ejects an engine
KEEP = 0.98  # weight kept by earlier bills at each new one
BARRED = 6.0  # threads per core that a load which holds the data set is worth to what waits for loads
HOME_FILL = 0.9  # part of the time that loads hold a data set at each of its home engines
HOMES_OVER = 15.0  # seconds over which the loads of a data set are counted
OWN = 1.5  # threads per core over which a gateway's preference among home engines goes
AWAY = 7.0  # threads per core that each place beyond the home engines is worth to a load
STILLS = 4  # queries in a row that stood still at an engine, and nothing heard of it, make it suspect
MUTE = 2.0  # and the silence, in aims of the tightest class: loads can hold all that is asked of an engine
STILL = 0.3  # part of its aim after which a query is taken to stand still, or to be badly planned
OVER = 3.0  # and so many expected run times: where engines are slow a fresh attempt would be as well
PROBES = 3  # engines probed before a long query goes to one of them
MOST_SETS = 1024  # data sets of which it is known that they are asked for
NEAR, ROOMY = 16, 3.0  # engines that one of many keeps to, or so many times its part: connections cost
MOST_PART = 8.0  # times the mean traffic that a gateway takes itself to have
SCAN = 16  # held queries of a class that are looked at for one that may go
GRANT, PAGED_GRANT = 1.15, 1.5  # memory granted over the estimate, and where an engine pages
BAD = (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED)


class Choice(Books):
    """The decisions of one gateway; ``handle`` takes what happened and gives what to do."""

    def __init__(self, settings: Settings, now: float, seed: int) -> None:
        super().__init__(now, Flows(HOMES_OVER, MOST_SETS))
        self.asked, self.loads = Flow(now, HOMES_OVER), Flow(now, HOMES_OVER)  # queries, and runs of loads
        self.sent = Flow(now, settings.rules.overload_time or 1.0)  # work
        self._retune(settings)
        self.rng = Random(seed + self.many * settings.index)  # told one seed, many would choose alike
        self.watch_at = now if settings.asks_for_list else float("inf")

    def _retune(self, settings: Settings) -> None:
        """Go by these settings from now on; what was learned stays as far as it means the same."""
        self.s, self.widest = settings, max(c.threads for c in settings.classes)
        # Many: one's share of an engine is less than a query, and tells little of what others do there.
        self.many = settings.balancers * self.widest > BOUND * min(kind.cores for kind in settings.kinds)
        order = sorted(settings.classes, key=lambda c: (c.aim, c.deadline))  # tightest first
        self.last, self.tight = len(order) - 1, order[0]
        self.weight = [(self.last - i) / max(1, self.last) for i in range(len(order))]
        self.gap = GAP_MARGIN * max(1, self.last)  # urgency grows by 1 in the tightest class's deadline
        self.patience = sum(c.aim for c in order) / len(order) / 2  # backlog that is held at full load
        # This gateway's part of each tenant's allowance; a second deep, and what chance arrivals add to that.
        parts = {t.name: t.allowance / settings.balancers for t in settings.tenants}
        fresh = {name: Share(a, 1.0 + a + 2.0 * a ** 0.5, self.now, HOMES_OVER) for name, a in parts.items()}
        self.shares = fresh | {name: s for name, s in self.shares.items() if parts.get(name) == s.part}
        self.ranked(order, [c.aim * c.threads / (2 + c.aim_stretch) for c in order], settings.kinds)
        runs = (u / c.threads for u, c in zip(self.usual, order, strict=True) if c.holds_data_set)
        self.hold = max(runs, default=0.0)  # so long what stood still behind one keeps others away
        self.pause, self.sharing = max(settings.tick, self.tight.aim / 16), float(settings.balancers)

    def draw(self) -> float:
        """0 to 1 where gateways are many, else nothing."""
        return self.rng.random() if self.many else 0.0

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Take the events of one moment, in order, and decide."""
        self.now, self.out = now, []
        if any(self.held) or any(isinstance(event, Query) for event in events):
            self._survey()
        for event in events:
            if isinstance(event, Query):
                self._take(event)
            elif isinstance(event, AttemptEnded):
                self._ended(event)
            elif isinstance(event, EngineList):
                self._list(event)
            elif isinstance(event, ByHand):
                self.handed(event.engines)
                self._survey()
            elif isinstance(event, Retuned):
                self._retune(event.settings)
                self._survey()
            elif isinstance(event, Progress) and event.engine in self.nodes:
                self.nodes[event.engine].heard = now
                job = self.jobs.get(event.id)
                if job and event.attempt == job.attempts - 1 and event.kind is ProgressKind.SHARE_DONE:
                    job.ends_at = now + (now - job.sent) * (1.0 / max(0.01, event.value) - 1.0)
            elif isinstance(event, Probed) and event.engine in self.nodes:
                e = self.nodes[event.engine]
                e.probed(now, event.latency if event.outcome is Outcome.OK else float("inf"), self.pause)
                if e.probe < self.pause and e.ejected_at is not None and not e.unreachable:
                    e.ejected_at, e.faults, e.slow = None, 0.75 * FAULTY, self.pool
            elif isinstance(event, Gone) and event.id in self.jobs:
                self._close(self.jobs[event.id])
        if now >= self.watch_at:
            self.watch_at = float("inf")
            self.out.append(Watch(True))
        if any(isinstance(event, TimerFired) for event in events):
            self.armed = False
            self._sweep()
        self._release()
        if not self.armed and (self.jobs or self.watch_at < float("inf")):
            self.armed = True
            self.out.append(SetTimer("sweep", self.pause if any(self.held) else 4 * self.pause))
        return self.out

    # --- the ordinary path: what leaves, when, and where to

    def _load(self) -> float:
        """The load factor, 0 to 1, from the depth of held queries; departure: in usual ones' work."""
        held = self._ready()
        usual = sum(u * n for u, n in zip(self.usual, self.seen, strict=True)) / max(1, sum(self.seen))
        depth = max(len(held), sum(job.work for job in held) / usual if usual else 0.0)
        low, high = max(1.0, LOW * self.cores), max(2.0, HIGH * self.cores)
        return min(1.0, max(0.0, (depth - low) / (high - low)))

    def _ready(self) -> list[Job]:
        """What is held but for its engine: a query behind another of its key is no sign of crowding."""
        return [job for queue in self.held for job in queue if not job.turn or job.turn[0] is job]

    def _priority(self, job: Job, load: float) -> float:
        """Floor, plus the gap between classes that load opens, plus urgency; at load 0 near arrival order."""
        waited = self.now - job.began
        if job.rank and job.rank == self.last:  # the lowest class grows urgent after a grace
            waited = max(0.0, waited - load * job.cls.aim / 2)
        behind = self.gap if job.over_share else 0.0  # past its tenant's share: after what is within
        return FLOOR + self.gap * load * self.weight[job.rank] + waited / self.tight.deadline - behind

    def _pressure(self, e: Node) -> bool:
        """Latency well above the engine's best, of what ended or what is still out, or a full refusal."""
        return self.now < e.full_until or max(e.slow, e.lag) > PRESSURE * e.best

    def _room(self, e: Node, rank: int) -> bool:
        """One bound on our threads for all classes, under pressure only; long classes stop earlier."""
        if not self._pressure(e):
            return True
        whole, threads = BOUND * e.cores * self._warmth(e), self.order[rank].threads
        share, part = whole / self.s.balancers, LONG if rank else 1.0
        if share * part < threads:  # departure: a share below one query is dealt in whole ones
            return len(e.out) < self._dealt(e, whole * part / threads)
        return e.threads < share and (not rank or e.long_threads < LONG * share)

    def _brim(self, rank: int) -> bool:
        """Departure, where our share is below one query: all engines' shares, and one, bound all of ours."""
        threads, most = self.order[rank].threads, BOUND * self.cores * (LONG if rank else 1.0)
        if most >= threads * len(self.able):
            return False
        if rank:  # kept on average, as a part below one query would round to none or to one for every gateway
            ours = sum(e.long_threads for e in self.able)
            full = ours + threads / 2 > max(most, threads) or self.long_lately > most
            return (self.crowd > PRESSURE and full) or sum(e.granted for e in self.able) > self.memory > 0.0
        most = max(most, threads + self.widest)  # or one long query would bar all short ones
        return self.crowd > PRESSURE and sum(e.threads for e in self.able) + threads / 2 > most

    def _dealt(self, e: Node, whole: float) -> int:
        """Our part of so many queries of all gateways at an engine: whole ones, by turns all agree on."""
        turn = self.s.index + zlib.crc32(f"{e.entry.id}/{e.entry.started}".encode())
        return dealt(int(whole), self.s.balancers, turn)

    def _cost(self, job: Job, e: Node) -> tuple[float, float]:
        """Threads per core, and what reading a data set afresh or overfilling the memory adds to them."""
        # Others are taken to do as we do as far as ours are many enough to tell, else to do the mean.
        n, alike, data_set = self.s.balancers, self.alike, job.query.data_set
        mean = (1.0 - alike) * e.cores / (n * self.cores)  # by size, or the largest would draw all gateways
        slow = max(1.0, min(4.0, max(e.slow, e.lag) / e.best))
        cost = self.s.prices.cross_zone * (e.entry.zone != self.s.zone) + (e is job.avoid)
        if e.memory:
            granted = e.granted + (n - 1) * (alike * e.granted + mean * self.granted)
            cost += 4.0 * max(0.0, max(e.reported, granted / e.memory) + job.memory / e.memory - 0.9)
        if self.many:
            # Guards the fleet against an order that all share: popular data sets would jam the same engines.
            cost += (e.threads / e.cores + 1.0) * slow - self._cold(e)  # a cold one gets what is dealt
            return round(cost + (e.entry.id not in self.near), 1), self.rng.random()
        threads = e.threads + (n - 1) * (alike * e.threads + mean * self.threads) + alike * job.cls.threads
        cost += threads / e.cores * slow / self._warmth(e)
        if data_set is not None:
            cost += COLD_SET * alike * (data_set not in e.warm)
            homes, places = self._homes(data_set)
            place, unseen = places.get(e.entry.id, len(places)), 1.0 - 1.0 / n
            if job.cls.waits_for_loads:
                # What others' loads hold is not told: it is taken for held as likely as they are there.
                home = min(1.0, max(0.0, homes - place))
                cost += BARRED * (1.0 if e.barred(self.now, data_set) else unseen * HOME_FILL * home)
            if job.cls.holds_data_set:  # it would stand still until the other loads end
                cost += 2.0 * e.loading(data_set) + AWAY * unseen * max(0.0, place + 1.0 - homes)
                if place < homes:  # each gateway begins at another one: there it knows most of what is held
                    cost += OWN * ((place / homes - self.s.index / n) % 1.0)
        return cost, zlib.crc32(f"0/{data_set}/{e.entry.id}".encode())

    def _homes(self, data_set: int) -> tuple[float, dict[str, int]]:
        """How many engines the loads of a data set need, over all gateways, and the engines' places for it.

        Departure: loads of a data set keep to the engines that come first in an order all gateways agree on,
        and what would stand still behind them goes to the others. Nobody is told of others' loads.
        """
        if data_set not in self.homes:
            # By all queries, as those of one key, and so most loads of a data set, come to one gateway.
            asked = self.sets[data_set].rate(self.now) if data_set in self.sets else 0.0
            part = asked / (self.asked.rate(self.now) or 1.0)
            need = part * self.loads.rate(self.now) * self.s.balancers / HOME_FILL
            places = {id: n for n, id in enumerate(agreed((e.entry.id for e in self.able), f"{data_set}/"))}
            self.homes[data_set] = min(need, max(0.0, len(places) - 1.0)), places  # one for what waits
        return self.homes[data_set]

    def _survey(self) -> None:
        n, now = self.s.balancers, self.now
        self.up = [e for e in self.nodes.values() if self.usable(e)]
        able = self.able = [e for e in self.up if e.ejected_at is None]
        self.homes.clear()
        if self.many:  # busier than the mean as far as with every tenant: one may have a burst
            self.part = min(MOST_PART, max(1.0, min([s.busier(now) for s in self.shares.values()] or [1.0])))
            own = max(NEAR, ROOMY * len(self.up) / n)
            self.near = stretch(self.ring, self.s.index / n, round(own * self.part))
            self.sharing = n * len(self.near) / max(1, len(self.up))
            self.deal = laid({e.entry.id: e.cores * self._warmth(e) / self.paces[self._cold(e)]
                              for e in able if e.entry.id in self.near})
        self.cores = sum(e.cores * self._warmth(e) for e in able) * self.part / n or 1.0
        self.memory = sum(e.memory for e in able) * self.part / n
        busy = [e for e in able if e.out]
        self.threads, self.granted = sum(e.threads for e in busy), sum(e.granted for e in busy)
        mean = sum(len(e.out) for e in busy) / max(1, len(able))
        self.alike = max(1.0 / n, mean / (1.0 + mean))
        # An engine's slowness fades to the pool's, the pool's to none, or refusing for it would never end.
        kept = exp((self.surveyed - now) / (PATIENCE * self.tight.aim))
        self.fade(now, kept, sum(e.long_threads for e in busy))
        for e in able:
            e.settle(now, self.pool, kept)

    def _release(self) -> None:
        """The highest priority leaves while there is room; a class with no room steps aside."""
        while found := [f for f in map(self._first, range(len(self.held))) if f is not None]:
            load = self._load()
            job, e = max(found, key=lambda f: self._priority(f[0], load))
            self.held[job.rank].remove(job)
            self._send(job, e)

    def _first(self, rank: int) -> tuple[Job, Node] | None:
        """The first held query of a class that may go, and its engine."""
        if not self.held[rank] or self._brim(rank):
            return None
        roomy = [e for e in self.up if self._open(e, rank) and self._room(e, rank)]
        for job in self.held[rank][:SCAN] if roomy else ():
            # Departure: past our share of an engine's memory it waits here, not in its line and not paging.
            able = [e for e in roomy if self._may_send(job, e) and (
                not (e.memory and e.out) or e.granted * self.sharing + job.memory <= e.memory)]
            if able and (e := self._pick(job, able)) is not None:
                return job, e
        return None

    def _pick(self, job: Job, able: list[Node]) -> Node | None:
        """The engine of least cost; for a long query the one of the few cheapest whose probe is back first.

        Departure: one gateway of many sees next to nothing of an engine's load; a probe is served beside it.
        """
        if not (job.rank and self.s.may_probe and len(able) > 1 and self.alike < 0.5):
            return min(able, key=partial(self._cost, job))
        if job.asked_at is None or self.now > job.asked_at + 4 * self.pause:
            job.asked_at, job.asked = self.now, sorted(able, key=partial(self._cost, job))[:PROBES]
            due = [e for e in self.up if e.ejected_at is not None and self.now >= e.trial_at][:1]
            for e in due:
                e.trial_at = self.now + e.backoff
            self.out.extend(Probe(e.entry.id) for e in job.asked + due)
        told = [e for e in job.asked if e in able and e.probed_at > job.asked_at and e.probe < self.pause]
        if told:
            return min(told, key=lambda e: e.probe)
        # None is back: all asked are stuck, or gone. The query need not wait for them.
        rest = [e for e in able if e not in job.asked] or able
        return min(rest, key=partial(self._cost, job)) if self.now >= job.asked_at + self.pause else None

    def _send(self, job: Job, e: Node) -> None:
        cls, s = job.cls, self.s
        job.expected = job.run * max(1.0, e.slow) / self._warmth(e)
        patience = min(PATIENCE * job.expected, 2.2 * (s.progress_period or cls.deadline))
        job.patience = max(HUSH * cls.aim, patience)
        if job.attempts:
            if s.rules.attempt_budget is not None:  # without one nobody would clear them away
                self.extra.add(self.now)
        elif s.priorities or s.memory_granted:
            grant = job.memory * (PAGED_GRANT if s.overbooked is Overbooked.PAGE else GRANT)
            if s.overbooked is Overbooked.SHRINK:  # spare memory is dealt out, as far as estimates scatter
                grant *= max(1.0, min(1.0 + 2 * self.memories[job.rank].spread, 0.8 / max(self.fill, 0.01)))
            barring = cls.holds_data_set and any(c.waits_for_loads for c in self.order)  # sooner over
            self.out.append(SetTerms(job.id, 0 if job.over_share else 3 if barring else max(1, 3 - job.rank),
                                     grant if s.memory_granted and job.memory else None))
        e.attach(job, self.now, max(2, 2 * len(self.sets) // len(self.nodes)))
        if e.ejected_at is not None:
            e.trial_at = self.now + e.backoff
        self.sent.add(self.now, self.usual[job.rank])
        if self._cold(e):
            e.cold_sent.add(self.now, self.usual[job.rank])
        self.out.append(Send(job.id, e.entry.id, job.due))

    # --- the rules

    def _may_send(self, job: Job, e: Node) -> bool:
        """Every send passes here: answers, drains, placement, repeats, order, attempts, cold engines."""
        cls, s, entry = job.cls, self.s, e.entry
        if job.answered or job.node is not None or job.attempts >= s.max_attempts or self.now >= job.due:
            return False
        if not self.usable(e) or entry.zone not in (cls.only_zones or (entry.zone,)) or (
                entry.kind not in (cls.only_kinds or (entry.kind,))):
            return False
        if job.ran_on is not None and cls.effect is not Effect.SAFE:
            first = job.ran_on.entry
            if not self._repeatable(job) or (cls.scope is Scope.ZONE and first.zone != entry.zone) or (
                    cls.scope is Scope.CELL and first.cell != entry.cell):
                return False
        if job.turn and (job.turn[0] is not job or (
                not job.attempts and self.now < self.rest.get(job.query.key or "", self.now))):
            return False
        if job.attempts and not self._extra_left():
            return False
        if self._cold(e):
            rules, usual = s.rules, self.usual[job.rank]
            window = self.now - rules.overload_time - s.tick  # what we sent before our own start is not known
            sent, able = e.cold_sent.since(window), COLD_MARGIN * rules.overload_factor * rules.overload_time
            if self.many:
                # Dealt whole, by what each can do now: one gateway's share is less than a query.
                able *= e.cores * self._warmth(e) * self.part / self.sharing
                at, end = self.deal.get(entry.id, (0.0, 0.0))
                end = min(end, at + able / (self.sent.rate(self.now) * rules.overload_time + usual))
                return at <= job.draw < end and sent < able  # past it by no more than one
            return self.began < window and sent + usual <= able * e.cores * rules.cold_fraction / s.balancers
        return True

    def _extra_left(self) -> bool:
        """The budget of attempts beyond the first has room for one."""
        budget = self.s.rules.attempt_budget
        if budget is None:
            return True
        since = self.now - budget.window
        return self.extra.since(since) + 1 <= budget.floor + budget.share * self.taken.since(since)

    def _repeatable(self, job: Job) -> bool:
        """Another attempt is harmless: it never ran, or repeats are safe or dropped."""
        effect = job.cls.effect
        return effect is Effect.SAFE or job.ran_at is None or (
            effect is Effect.KEYED and self.now + self.s.tick < job.ran_at + job.cls.repeat_window)

    def _cold(self, e: Node) -> bool:
        return e.cold_since is not None and self.now < e.cold_since + self.s.rules.ramp_time

    def _warmth(self, e: Node) -> float:
        """Part of its capacity that a starting engine is taken to have, for the choice only."""
        low, age = self.s.rules.cold_fraction, self.now - (e.cold_since or 0.0)
        return max(0.05, low + (1 - low) * max(0.0, age) / self.s.rules.ramp_time) if self._cold(e) else 1.0

    # --- taking and ending queries

    def _take(self, q: Query) -> None:
        if q.cls not in self.rank or q.id in self.jobs:
            return
        cls, rank, began = self.order[self.rank[q.cls]], self.rank[q.cls], self.now
        if self.s.rules.attempt_budget is not None:
            self.taken.add(self.now)
        if not self.first_left.agrees((q.due - self.now) / cls.deadline, 0.005) or q.resent:
            began = min(began, q.due - cls.deadline)  # a repeat: its aim began with the client's first try
        self.seen[rank] += 1
        self.sets.at(q.data_set, self.now).add(self.now, 1.0)
        self.asked.add(self.now, 1.0)
        if q.work and not self.costs[rank].estimated:  # until answers bill, the mean estimate stands
            # Bounded: one estimate of an hour must not change what is thought of all others.
            self.usual[rank] += (min(q.work, 8 * self.usual[rank]) - self.usual[rank]) / self.seen[rank]
        work = self.costs[rank].correct(q.work) if q.work else self.usual[rank]
        memory = self.memories[rank].correct(q.memory_mb) if q.memory_mb else 0.0
        if cls.holds_data_set:
            self.loads.add(self.now, min(work, 8 * self.usual[rank]) / cls.threads)
        job = self.jobs[q.id] = Job(q, cls, rank, began, max(work, 1e-4), memory, self.draw())
        first = began == self.now and not q.resent
        if q.tenant in self.shares:  # a repeat spends nothing: its first try did, or was past the share
            job.over_share = not self.shares[q.tenant].take(self.now, first / self.part)
        if cls.in_order and q.key is not None:
            job.turn = self.turns[q.key]
            job.turn.append(job)
        crowded = self._load() > 0
        self.held[rank].append(job)
        if not self._worth(job) or (job.over_share and crowded):
            self._give_up(job)  # traffic past a tenant's share goes first when others would wait

    def _give_up(self, job: Job) -> None:
        """The final answer, at once: a refusal where that may be promised to be harmless."""
        cls, most = job.cls, self.s.max_retry_after
        if job.node is not None and self.s.may_cancel and not job.cancelled:
            job.cancelled = True
            self.out.append(Cancel(job.id, job.attempts - 1))
        if cls.effect is Effect.SAFE or (job.ran_at is None and job.node is None) or (
                cls.effect is Effect.KEYED and cls.scope is Scope.ALL):
            wait = None if most is None else min(most, self._backlog() + self.tight.aim)
            self.out.append(Refuse(job.id, wait))
        else:
            self.out.append(Fail(job.id))
        self._close(job)

    def _close(self, job: Job) -> None:
        """The client has its answer or has left; an attempt still out is followed to its end."""
        job.answered = True
        if job in self.held[job.rank]:
            self.held[job.rank].remove(job)
        if job.node is None:
            del self.jobs[job.id]
            if job.turn:
                job.turn.remove(job)
                if not job.turn:  # keys are ever new
                    self.turns.pop(job.query.key or "", None)

    def _backlog(self) -> float:
        """Seconds that our share of the engines needs for what is held, beyond the heaviest."""
        work = [job.work for job in self._ready()]
        return (sum(work) - max(work, default=0.0)) / self.cores

    def _worth(self, job: Job) -> float:
        """What the query still earns for a core-second if it is sent now."""
        ahead = sum(o.run for o in job.turn[:job.turn.index(job)]) if job.turn else 0.0
        finish = self.now + (job.run + ahead) * self.pools[job.rank]
        if max(finish, self.now + 6 * self.pause) > job.due:  # the sweep must still come round in time
            return 0.0
        late = 1.0 if finish <= job.aim_at() else job.cls.late_share
        return late * job.cls.worth * (self.s.over_share_worth if job.over_share else 1.0) / job.work

    def _sweep(self) -> None:
        """On the timer: silent engines, what has lost its worth, and what is too much to hold."""
        for e in [e for e in self.nodes.values() if e.out or e.still]:
            # What may stand still behind a load tells nothing by itself, several of it in a row do.
            silent = (self.now - max(e.heard, j.sent) > j.patience for j in e.out.values()
                      if not j.cls.waits_for_loads)
            if e.ejected_at is None and (
                    any(silent) or (e.still >= STILLS and self.now - e.heard > MUTE * self.tight.aim)):
                self._eject(e)
            for job in list(e.out.values()) if self.s.may_cancel else ():
                if not job.answered and not job.cls.late_share and self.now > job.aim_at(2.0):
                    self._give_up(job)  # nobody is served by it any more
                elif not (job.answered or job.cancelled) and self._stuck(job, e):
                    job.cancelled = True
                    self.out.append(Cancel(job.id, job.attempts - 1))
        for job in [job for queue in self.held for job in queue]:
            if not self._worth(job):
                self._give_up(job)
        self.rest = {key: until for key, until in self.rest.items() if until > self.now}
        for gone in [n for n, e in self.nodes.items() if e.entry.state is EngineState.GONE and not e.out]:
            del self.nodes[gone]  # engines come under ever new ids
        if self._load() > 0:  # too much is held: what earns least for its work goes first
            for job in sorted(self._ready(), key=self._worth):
                if self._backlog() <= self.patience:
                    break
                self._give_up(job)

    def _stuck(self, job: Job, e: Node) -> bool:
        """A fresh attempt is to end sooner: guards against bad plans, answers lost and engines stuck."""
        if not (job.ran_at is None or self._repeatable(job)) or job.cls.effect is Effect.UNSAFE or (
                job.attempts >= self.s.max_attempts or not self._worth(job) or not self._extra_left()):
            return False
        if self.s.progress_period:  # its own notes tell; a jam slows a fresh one too
            return job.ends_at - self.now > PATIENCE * job.run * max(1.0, self.pools[job.rank], e.slow)
        if job.cls.holds_data_set or len(self.able) < 2:  # it may wait for another load
            return self.alike < 0.5 and self.now - job.sent > PATIENCE * job.expected
        # Guards against standing still behind a load, whosever, and against bad plans, drawn anew for each
        # attempt, until the aim has passed; a slow engine lengthens what is expected.
        expected = job.run * max(1.0, e.slow, self.pool) / self._warmth(e)
        if self.now - job.sent <= max(STILL * (job.aim_at() - job.began), OVER * expected):
            return False
        e.still += 1
        if job.cls.waits_for_loads and job.query.data_set is not None:
            # What follows keeps away a while. Guards the memory: statements name ever new data sets.
            e.held_until = {held: until for held, until in e.held_until.items() if until > self.now}
            e.held_until[job.query.data_set] = self.now + self.hold
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
            self.rest[job.query.key] = self.now + self.s.rules.settle_time
        job.avoid = e
        if ev.settled or job.answered:
            self._close(job)
        elif not self._repeatable(job) or job.attempts >= self.s.max_attempts or not self._worth(job):
            self._give_up(job)
        else:
            job.draw = self.draw()
            self.held[job.rank].insert(0, job)

    # --- the health of engines

    def _open(self, e: Node, rank: int) -> bool:
        """Ejected engines get single trials, of what may be repeated and is short."""
        return self.now >= e.shut_until if e.ejected_at is None else (
            self.now >= e.trial_at and not e.out and not rank and self.tight.effect is Effect.SAFE)

    def _eject(self, e: Node, proven: bool = False) -> None:
        """Stop sending to an engine; a trouble common to most ejects nobody, so that the rest don't drown."""
        able = sum(n.ejected_at is None for n in self.up)
        if not proven and e.ejected_at is None and 2 * able <= len(self.up) + 1:
            return
        e.backoff = min(8 * self.tight.aim, e.backoff * 2) or self.tight.aim / 2
        e.ejected_at, e.trial_at = self.now, self.now + e.backoff * (0.75 + 0.5 * self.rng.random())
        for job in e.out.values() if self.s.may_cancel else ():
            if not (job.cancelled or job.answered or job.cls.effect is Effect.UNSAFE) and (
                    job.attempts < self.s.max_attempts):
                job.cancelled = True
                self.out.append(Cancel(job.id, job.attempts - 1))

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
            e.shut = min(self.tight.aim, 2 * e.shut) or self.pause
            e.shut_until, e.full_until = self.now + e.shut, self.now + e.shut + self.tight.aim
        # Guards against queries that no engine can use: an error counts against its engine once another has
        # answered the query, or at once where it is not tried again.
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
        weight, took = min(0.5, max(0.02, run / self.tight.aim / 4)), min(10.0, ev.latency / max(run, 1e-4))
        slow = took * self._warmth(e)  # a cold one is slow without being crowded
        if ok or slow > self.paces[self._cold(e)]:  # an error comes soon
            self.paces[self._cold(e)] += weight * (slow - self.paces[self._cold(e)])
        if ev.outcome is Outcome.CANCELLED and job.cancelled and not job.answered:
            if not job.cls.waits_for_loads:  # one may be badly planned, several tell of a jam
                self.crowd += weight * max(0.0, slow - self.crowd)
            return  # called off for a fresh attempt: that says nothing of the engine
        if not ok:  # what was given up tells of a jam too, where answers are few
            e.slow += weight * max(0.0, slow - e.slow)
            return
        if e.ejected_at is not None and job.sent >= e.ejected_at:
            e.ejected_at, e.faults = None, 0.75 * FAULTY  # on probation: the next fault ejects it again
            if e.unreachable and not self._cold(e):
                e.cold_since = self.now  # it was down: take it for cold, whatever the list says
            e.unreachable = False
        e.backoff, e.shut = max(self.tight.aim / 2, e.backoff * 0.9) if e.backoff else 0.0, 0.0
        if ev.work:
            self.usual[job.rank] += 0.03 * (ev.work - self.usual[job.rank])
        for ratio, billed, told in ((self.costs[job.rank], ev.work, job.query.work),
                                    (self.memories[job.rank], ev.memory_mb, job.query.memory_mb)):
            if billed and told:
                ratio.learn(min(billed, 8 * told), told, KEEP)
        if job.query.data_set is not None and job.cls.waits_for_loads:
            e.held_until.pop(job.query.data_set, None)
        e.slow += weight * (slow - e.slow)
        self.pool += weight * (slow - self.pool)
        self.crowd += weight * (slow - self.crowd)  # not fading: its bound leaves work to learn from
        self.pools[job.rank] += 0.1 * (took - self.pools[job.rank])
        # The best follows worse times very slowly: a long jam must not become what is normal.
        e.best = max(1.0, min(e.best + 0.002 * weight * (e.slow - e.best), e.slow))

    # --- the list of engines

    def _list(self, ev: EngineList) -> None:
        if ev.how is ListKind.FAILED:
            self.watch_at = self.now + (self.s.rules.list_expires or 1.0) / 4
            return
        self.listed(ev, self.s.kinds)
        self._survey()
