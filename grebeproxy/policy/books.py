"""What one gateway has on record. Bookkeeping only: no decision, no tuned value."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import replace
from random import Random

from grebeproxy.policy.dealing import Ring, Seats
from grebeproxy.policy.interface import (
    Action,
    Cancel,
    Engine,
    EngineList,
    EngineState,
    EngineKind,
    ListKind,
    Progress,
    ProgressKind,
    Query,
    QueryClass,
    Settings,
)
from grebeproxy.policy.learned import Flow, Flows, Majority, Ratio, Share, Window
from grebeproxy.policy.records import Job, Node


class Books:
    """What one gateway has on record: queries by rank of class, engines, and what it has learned."""

    # What the settings come to; they may change while it runs.
    s: Settings
    many: bool  # one's share of an engine is less than a query, and tells little of what others do there
    widest: int  # threads of the widest class
    last: int  # the lowest rank
    tight: QueryClass  # the class of the tightest aim
    weight: list[float]  # by rank, 1 to 0
    gap: float  # between neighbouring classes at full load
    patience: float  # seconds of backlog that are held at full load
    hold: float  # seconds for which a load is taken to hold its data set
    pause: float  # seconds between looks at what is held
    slot: float  # seconds for which a cold engine is dealt at once
    rng: Random

    def __init__(self, now: float, over: float, most_sets: int) -> None:
        self.now = self.began = self.surveyed = now
        self.out: list[Action] = []
        self.armed = False
        self.order: list[QueryClass] = []  # tightest first; a class's place here is its rank
        self.rank: dict[str, int] = {}
        self.usual: list[float] = []  # work of a usual query, by rank like what follows
        self.prior: list[float] = []  # the same as the settings tell it
        self.held: list[list[Job]] = []
        self.pools: list[float] = []  # how slow the engines are to each, as priorities there part them
        self.seen: list[int] = []
        self.costs: list[Ratio] = []
        self.memories: list[Ratio] = []
        self.shares: dict[str, Share] = {}  # by tenant
        self.jobs: dict[str, Job] = {}
        self.turns: defaultdict[str, list[Job]] = defaultdict(list)  # by key, of classes in order
        self.rest: dict[str, float] = {}
        self.nodes: dict[str, Node] = {}
        self.by_hand: frozenset[str] = frozenset()  # engines that operators have taken out
        self.up: list[Node] = []  # listed as up, and not out by hand
        self.able: list[Node] = []  # and not ejected
        self.cores = 1.0  # our share of those, and of their memory
        self.memory = 0.0
        self.threads = self.granted = 0.0  # ours that are out
        self.alike = 1.0  # how far ours tell what other gateways do
        self.listing: dict[str, Engine] = {}  # all engines that the list names, worked with or not
        self.rings: list[Ring] = []  # engines listed as up: all, and those that fit what is asked of some
        self.seats = Seats(1, 0)
        self.refit = True  # the engines to work with are to be chosen anew
        self.near: set[str] = set()  # of those, the ones of the window that we have by our traffic
        self.size = self.widening = 0  # how many of them are wanted, and beyond that while few are reliable
        self.spare: list[str] = []  # those beyond that
        self.cold_able = self.cold_part = 0.0  # cores' worth that cold ones of those do, and as a part of all
        self.weights: list[float] = []  # what a query of each class is taken to weigh on a cold engine
        self.heavy = 1.0  # and what is dealt of such an engine at once
        self.part = 1.0  # our traffic over the mean gateway's
        self.pool = 1.0  # how slow the engines are, over all answers
        self.fill = 0.0  # part of our share of the memory that is granted, over some time
        self.long_lately = 0.0  # our threads of long classes that are out, over some time
        self.crowd = 1.0  # as the pool's, but not fading
        self.paces = [1.0, 1.0]  # how slow warm engines and cold ones are for what they can do
        self.first_left = Majority()  # part of the deadline that clients' first tries have
        self.faults = 0.0
        self.sets = Flows(over, most_sets)  # queries by data sets asked for
        self.asked, self.loads = Flow(now, over), Flow(now, over)  # queries, and seconds that loads run
        self.homes: dict[int, tuple[float, dict[str, int]]] = {}  # home engines by data set, of this moment
        self.taken, self.extra = Window(), Window()  # queries, and attempts beyond a first

    def ranked(self, order: list[QueryClass], usual: list[float], kinds: tuple[EngineKind, ...]) -> None:
        """Book the classes in their order. What was learned of one stays with its name; queries keep theirs.

        ``usual`` is what work is taken for usual at first; it stands too where a class means other work now.
        """
        places = [self.rank.get(c.name) for c in order]
        same = [
            place
            if place is not None
            and (self.order[place].latency_objective, self.order[place].threads)
            == (c.latency_objective, c.threads)
            else None
            for place, c in zip(places, order, strict=True)
        ]
        self.last, self.tight = len(order) - 1, order[0]
        self.prior = usual
        self.usual = [u if at is None else self.usual[at] for at, u in zip(same, usual, strict=True)]
        self.pools = [1.0 if at is None else self.pools[at] for at in places]
        self.seen = [0 if at is None else self.seen[at] for at in places]
        self.costs = [Ratio() if at is None else self.costs[at] for at in places]
        self.memories = [Ratio() if at is None else self.memories[at] for at in places]
        self.order, self.rank = order, {c.name: i for i, c in enumerate(order)}
        ends = [(c.latency_objective, c.deadline) for c in order]
        for job in self.jobs.values():
            at = min(len(order) - 1, bisect_left(ends, (job.cls.latency_objective, job.cls.deadline)))
            if job.node is not None:
                job.node.book(job, -1)
            job.rank = self.rank.get(job.cls.name, at)
            if job.node is not None:
                job.node.book(job, 1)
        runs = [u / c.threads for u, c in zip(self.usual, order, strict=True) if c.locks_data_set]
        self.hold = max(runs, default=0.0)  # so long what stood still behind one keeps others away
        waiting = [job for queue in self.held for job in queue]
        self.held = [[job for job in waiting if job.rank == rank] for rank in range(len(order))]
        sizes = {kind.name: kind for kind in kinds}
        for e in self.nodes.values():
            if e.entry.kind in sizes:
                e.cores, e.memory = sizes[e.entry.kind].cores, sizes[e.entry.kind].memory_mb

    def listed(self, news: EngineList) -> None:
        """Book what the list says of engines; one that has started since is cold, and is tried at once."""
        entries = {entry.id: entry for entry in news.engines}
        for known in () if news.how is ListKind.CHANGES else [id for id in self.listing if id not in entries]:
            entries[known] = replace(self.listing[known], state=EngineState.GONE, started=None)
        for entry in entries.values():
            node = self.nodes.get(entry.id)
            if node is not None and (entry.started or 0.0) > (node.cold_since or 0.0):
                node.restarted(entry.started or 0.0, self.now)
            if node is not None:
                node.entry = entry
            if entry.state is EngineState.GONE:
                self.listing.pop(entry.id, None)
            else:
                self.listing[entry.id] = entry
            for ring in self.rings:
                ring.keep(entry)
        self.refit = True

    def handed(self, out: frozenset[str]) -> None:
        """Book what operators took out; what they give back was restarted meanwhile."""
        for engine in self.by_hand - out & self.listing.keys():
            self.listing[engine] = replace(self.listing[engine], started=self.now)
            if (e := self.nodes.get(engine)) is not None:
                e.restarted(self.now, self.now)
                e.ejected_at, e.faults, e.backoff, e.unreachable, e.still = None, 0.0, 0.0, False, 0
                e.heard, e.slow = self.now, self.pool
        self.by_hand = out
        self.refit = True

    def seated(self, fits: Iterable[tuple[frozenset[str] | None, frozenset[str] | None]]) -> None:
        """Find the gateways' places; keep a ring of all engines, and one for each pair of zones and kinds."""
        self.seats = Seats(self.s.balancers, self.s.index)
        self.rings = [Ring(*fit) for fit in dict.fromkeys([(None, None), *fits])]
        for ring in self.rings:
            ring.fill(self.listing.values())
        self.refit = True

    def take_all(self) -> None:
        """Work with all engines, as all gateways do."""
        self.near, self.spare = set(self.listing), []
        self._work_with(self.listing)
        for e in self.nodes.values():
            e.sharers, e.number = self.s.balancers, self.s.index

    def take_window(self, base: int) -> None:
        """Work with the next engines from our place on, and with as many of each other ring.

        Who shares an engine of the first ``base`` ones is known, as all gateways have so many; ``number`` is
        ours among them. For the rest ``sharers`` is the mean, and ``number`` stays negative.
        """
        ring, place = self.rings[0], self.seats.place
        near = ring.window(place, 0, self.size)
        fitting = [engine for fit in self.rings[1:] for engine in fit.window(place, 0, self.size)]
        self.near, self.spare = set(near), ring.window(place, self.size, self.widening)
        self._work_with([*near, *fitting, *self.spare])
        sharers = max(1, round(self.s.balancers * min(1.0, base / max(1, len(ring)))))
        for e in self.nodes.values():
            e.sharers, e.number = sharers, -1
        for engine in near[:base]:
            e = self.nodes[engine]
            e.sharers, e.number = self.seats.sharers(ring.rank(engine), base, len(ring))

    def _work_with(self, engines: Iterable[str]) -> None:
        """Keep a record of these engines and of those where something is out, and of no other."""
        for e in self.nodes.values():
            e.member = False
        for engine in engines:
            if engine not in self.nodes:
                self.nodes[engine] = self._met(self.listing[engine])
            self.nodes[engine].member = True
        if self.many:
            self.forget()
        self.refit = False

    def _met(self, entry: Engine) -> Node:
        """The record of an engine that is new to us."""
        kind = next((kind for kind in self.s.kinds if kind.name == entry.kind), self.s.kinds[0])
        node = Node(entry, kind.cores, kind.memory_mb)
        node.slow, node.heard = self.pool, self.now
        if entry.started is not None:
            node.restarted(entry.started, self.now)
        return node

    def weigh(self, wary: float, part: float) -> None:
        """What a query of each class weighs on a cold engine, and how much of it is dealt at once."""
        learned = zip(self.prior, self.seen, self.usual, strict=True)
        self.weights = [(wary * p + seen * usual) / (1 + seen) for p, seen, usual in learned]
        known = [w for w, asked in zip(self.weights, self.seen, strict=True) if asked] or self.weights
        self.heavy = part * max(known)

    def billed(self, job: Job, work: float | None, memory: float | None, keep: float, most: float) -> None:
        """Learn what an answer cost, by the estimates and beside them; a bill counts for so many of those."""
        for ratio, bill, estimate in (
            (self.costs[job.rank], work, job.query.work),
            (self.memories[job.rank], memory, job.query.memory_mb),
        ):
            if bill and estimate:
                ratio.learn(min(bill, most * estimate), estimate, keep)

    def usable(self, e: Node) -> bool:
        """Worked with, listed as up, and not taken out by hand."""
        return e.member and e.entry.state is EngineState.UP and e.entry.id not in self.by_hand

    def ready(self) -> list[Job]:
        """What is held but for its engine: a query behind another of its key is no sign of crowding."""
        return [job for queue in self.held for job in queue if not job.turn or job.turn[0] is job]

    def backlog(self) -> float:
        """Seconds that our share of the engines needs for what is held, beyond the heaviest."""
        work = [job.work for job in self.ready()]
        return (sum(work) - max(work, default=0.0)) / self.cores

    def close(self, job: Job) -> None:
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

    def cancel(self, job: Job) -> None:
        """Call off the attempt that is out."""
        job.cancelled = True
        self.out.append(Cancel(job.id, job.attempts - 1))

    def progressed(self, note: Progress) -> None:
        """Book a note on an attempt that is out."""
        if (e := self.nodes.get(note.engine)) is not None:
            e.heard = self.now
            if (job := self.jobs.get(note.id)) and note.kind is ProgressKind.FRACTION_DONE:
                job.progressed(self.now, note.attempt, note.value)

    def counted(self, query: Query, cls: QueryClass, work: float) -> None:
        """Count a query into the flows of its data set, of all queries and of the time that loads run."""
        self.sets.at(query.data_set, self.now).add(self.now, 1.0)
        self.asked.add(self.now, 1.0)
        if cls.locks_data_set:
            self.loads.add(self.now, work / cls.threads)

    def draw(self) -> float:
        """0 to 1 where gateways are many, else nothing."""
        return self.rng.random() if self.many else 0.0

    def shared(self, shares: dict[str, Share]) -> None:
        """Take tenants' shares; one that is as large as before goes on."""
        kept = {
            name: share
            for name, share in self.shares.items()
            if name in shares and shares[name].part == share.part
        }
        self.shares = shares | kept

    def summed(self) -> list[Node]:
        """Add up what of ours is out; gives the engines where something is."""
        busy = [e for e in self.able if e.out]
        self.threads, self.granted = sum(e.threads for e in busy), sum(e.granted for e in busy)
        return busy

    def fade(self, now: float, kept: float, long_threads: int) -> None:
        """Let what was learned of slowness fade, and average what is out."""
        fill = self.granted / self.memory if self.memory else 0.0
        self.fill += (1.0 - kept**0.25) * (fill - self.fill)
        self.long_lately += (1.0 - kept) * (long_threads - self.long_lately)
        self.pools, self.surveyed = [1.0 + (p - 1.0) * kept for p in self.pools], now
        self.pool = 1.0 + (self.pool - 1.0) * kept
        for e in self.able:
            e.settle(now, self.pool, kept)

    def forget(self) -> None:
        """Drop engines that are not worked with and keys that have rested: both come under ever new names."""
        self.rest = {key: until for key, until in self.rest.items() if until > self.now}
        self.nodes = {engine: e for engine, e in self.nodes.items() if e.member or e.out}
