"""What one gateway has on record. Bookkeeping only: no decision, no tuned value."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from random import Random

from grebeproxy.policy.dealing import agreed
from grebeproxy.policy.interface import (
    Action,
    Engine,
    EngineList,
    EngineState,
    Kind,
    ListKind,
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
    asked: Flow  # queries
    loads: Flow  # seconds that loads run

    def __init__(self, now: float, sets: Flows) -> None:
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
        self.ring: list[str] = []  # engines listed as up, in the agreed order
        self.near: set[str] = set()  # the engines that we keep to, where gateways are many
        self.cold_able = self.cold_part = 0.0  # cores' worth that cold ones of those do, and as a part of all
        self.weights: list[float] = []  # what a query of each class is taken to weigh on a cold engine
        self.heavy = 1.0  # and what is dealt of such an engine at once
        self.part = 1.0  # our traffic over the mean gateway's
        self.sharing = 1.0  # gateways that share an engine, where they are many
        self.pool = 1.0  # how slow the engines are, over all answers
        self.fill = 0.0  # part of our share of the memory that is granted, over some time
        self.long_lately = 0.0  # our threads of long classes that are out, over some time
        self.crowd = 1.0  # as the pool's, but not fading
        self.paces = [1.0, 1.0]  # how slow warm engines and cold ones are for what they can do
        self.first_left = Majority()  # part of the deadline that clients' first tries have
        self.faults = 0.0
        self.sets = sets  # queries by data sets asked for
        self.homes: dict[int, tuple[float, dict[str, int]]] = {}  # home engines by data set, of this moment
        self.taken, self.extra = Window(), Window()  # queries, and attempts beyond a first

    def ranked(self, order: list[QueryClass], usual: list[float], kinds: tuple[Kind, ...]) -> None:
        """Book the classes in their order. What was learned of one stays with its name; queries keep theirs.

        ``usual`` is what work is taken for usual at first; it stands too where a class means other work now.
        """
        places = [self.rank.get(c.name) for c in order]
        same = [
            place
            if place is not None and (self.order[place].aim, self.order[place].threads) == (c.aim, c.threads)
            else None
            for place, c in zip(places, order, strict=True)
        ]
        self.prior = usual
        self.usual = [u if at is None else self.usual[at] for at, u in zip(same, usual, strict=True)]
        self.pools = [1.0 if at is None else self.pools[at] for at in places]
        self.seen = [0 if at is None else self.seen[at] for at in places]
        self.costs = [Ratio() if at is None else self.costs[at] for at in places]
        self.memories = [Ratio() if at is None else self.memories[at] for at in places]
        self.order, self.rank = order, {c.name: i for i, c in enumerate(order)}
        ends = [(c.aim, c.deadline) for c in order]
        for job in self.jobs.values():
            at = min(len(order) - 1, bisect_left(ends, (job.cls.aim, job.cls.deadline)))
            if job.node is not None:
                job.node.book(job, -1)
            job.rank = self.rank.get(job.cls.name, at)
            if job.node is not None:
                job.node.book(job, 1)
        waiting = [job for queue in self.held for job in queue]
        self.held = [[job for job in waiting if job.rank == rank] for rank in range(len(order))]
        sizes = {kind.name: kind for kind in kinds}
        for e in self.nodes.values():
            if e.entry.kind in sizes:
                e.cores, e.memory = sizes[e.entry.kind].cores, sizes[e.entry.kind].memory_mb

    def listed(self, news: EngineList, kinds: tuple[Kind, ...]) -> None:
        """Book what the list says of engines; one that has started since is cold, and is tried at once."""
        names = {entry.id for entry in news.engines}
        for e in self.nodes.values():
            if news.how is not ListKind.CHANGES and e.entry.id not in names:
                e.entry = Engine(e.entry.id, e.entry.kind, e.entry.zone, e.entry.cell, EngineState.GONE)
        for entry in news.engines:
            node = self.nodes.get(entry.id)
            if node is None:
                kind = next((k for k in kinds if k.name == entry.kind), kinds[0])
                node = self.nodes[entry.id] = Node(entry, kind.cores, kind.memory_mb)
                node.slow, node.heard = self.pool, self.now
            if entry.started is not None and entry.started > (node.cold_since or 0.0):
                node.restarted(entry.started, self.now)
            node.entry = entry
        self._rerung()

    def handed(self, out: frozenset[str]) -> None:
        """Book what operators took out; what they give back was restarted meanwhile."""
        for e in (self.nodes[engine] for engine in self.by_hand - out if engine in self.nodes):
            e.restarted(self.now, self.now)
            e.ejected_at, e.faults, e.backoff, e.unreachable, e.still = None, 0.0, 0.0, False, 0
            e.heard, e.slow = self.now, self.pool
        self.by_hand = out
        self._rerung()

    def _rerung(self) -> None:
        """Put the engines that are usable now in the agreed order."""
        self.ring = agreed(e.entry.id for e in self.nodes.values() if self.usable(e))

    def usable(self, e: Node) -> bool:
        """Listed as up, and not taken out by hand."""
        return e.entry.state is EngineState.UP and e.entry.id not in self.by_hand

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
