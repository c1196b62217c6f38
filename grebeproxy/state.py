"""Records that the decision module keeps. Bookkeeping only: no decision, no tuned value."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict, deque
from collections.abc import Iterable
from hashlib import blake2b
from itertools import accumulate, pairwise
from math import exp

from grebeproxy.interface import Action, Engine, EngineList, EngineState, Kind, ListKind, Query, QueryClass


class Job:
    """A query taken and not yet over."""

    def __init__(self, query: Query, cls: QueryClass, rank: int, began: float, work: float,
                 memory: float, draw: float = 0.0) -> None:
        self.query, self.cls, self.rank = query, cls, rank
        self.id, self.due = query.id, query.due
        self.began = began  # when the client's first try came
        self.work, self.memory = work, memory  # corrected estimates
        self.run = work / cls.threads
        self.over_share = False
        self.turn: list[Job] = []  # all of its key in order, itself too, where its class is in order
        self.attempts = 0
        self.draw = draw  # 0 to 1, anew for each attempt
        self.node: Node | None = None  # where the attempt that is out runs
        self.sent = self.expected = self.patience = 0.0
        self.ends_at = 0.0  # when the attempt is to end by its own notes
        self.cancelled = self.answered = False
        self.ran_at: float | None = None  # when the first attempt that may have run was sent, and where to
        self.ran_on: Node | None = None
        self.avoid: Node | None = None
        self.erred: Node | None = None  # where the last attempt ended in an error
        self.asked_at: float | None = None  # when engines were probed for it, and which
        self.asked: list[Node] = []

    def aim_at(self, stretch: float = 1.0) -> float:
        """Clock time at which the aim passes, with the work's part of it stretched."""
        return self.began + self.cls.aim + stretch * self.cls.aim_stretch * self.run


class Node:
    """What one gateway knows of one engine."""

    def __init__(self, entry: Engine, cores: float, memory: float) -> None:
        self.entry, self.cores, self.memory = entry, cores, memory
        self.out: dict[str, Job] = {}
        self.threads = self.long_threads = 0
        self.granted = 0.0
        self.reported = 0.0  # share of its memory that the engine last said is granted, fading
        self.warm: dict[int, None] = {}  # data sets sent here, the latest last
        self.held_until: dict[int, float] = {}  # data sets that loads are taken to hold here
        self.still = 0  # queries that stood still here since it was last heard
        self.slow = self.best = 1.0  # latency over run time: lately, and at best
        self.lag = 0.0  # the same of what is still out
        self.heard = self.full_until = 0.0
        self.shut = self.shut_until = 0.0  # after full refusals
        self.faults = 0.0
        self.broke_at = -1.0  # when a connection that ended was last counted against it
        self.ejected_at: float | None = None
        self.trial_at = self.backoff = 0.0
        self.unreachable = False
        self.probed_at, self.probe = 0.0, 0.0  # when a probe last came back, and after how long
        self.cold_since: float | None = None
        self.cold_sent = Window()

    def attach(self, job: Job, now: float, warm: int) -> None:
        """Book an attempt that goes out; so many data sets are taken to be warm."""
        job.node, job.sent, job.cancelled, job.attempts = self, now, False, job.attempts + 1
        job.ends_at = 0.0
        self.out[job.id] = job
        self.book(job, 1)
        if job.query.data_set is not None:
            self.warm.pop(job.query.data_set, None)
            self.warm[job.query.data_set] = None
            while len(self.warm) > warm:
                del self.warm[next(iter(self.warm))]

    def detach(self, job: Job) -> None:
        """Book an attempt that has ended."""
        del self.out[job.id]
        job.node = None
        self.book(job, -1)

    def restarted(self, since: float, now: float) -> None:
        """Book a new process of the engine."""
        self.cold_since, self.trial_at = since, now
        self.warm.clear()

    def probed(self, now: float, latency: float, quick: float) -> None:
        """Book a probe; one that came back so quickly is a sign of life."""
        self.probed_at, self.probe = now, latency
        self.heard = max(self.heard, now if latency < quick else 0.0)

    def loading(self, data_set: int) -> int:
        """Loads of ours that are out here and hold the data set, or wait for it."""
        return sum(o.query.data_set == data_set and o.cls.holds_data_set for o in self.out.values())

    def barred(self, now: float, data_set: int) -> bool:
        """A load is out here that holds the data set, ours or, as a query stood still, another's."""
        return self.held_until.get(data_set, 0.0) > now or self.loading(data_set) > 0

    def settle(self, now: float, base: float, kept: float) -> None:
        """Let what was learned of slowness fade, and look at how late what is still out is."""
        self.slow = base + (self.slow - base) * kept
        self.reported *= kept
        if not self.out:
            self.lag = 0.0
            return
        late = sum(max(0.0, now - job.sent - job.expected) for job in self.out.values())
        self.lag = self.best * (1.0 + late / sum(j.expected for j in self.out.values())) if late else 0.0

    def book(self, job: Job, sign: int) -> None:
        """Book an attempt's threads and memory, or take them off again."""
        self.threads += sign * job.cls.threads
        self.long_threads += sign * job.cls.threads if job.rank else 0
        self.granted += sign * job.memory


class Ratio:
    """Billed over estimated, as decayed sums."""

    def __init__(self) -> None:
        self.billed = self.estimated = 0.0
        self.spread = 0.0  # mean distance of single bills from the corrected estimate, as a part of it

    def learn(self, billed: float, estimated: float, keep: float) -> None:
        """Take one answer's bill."""
        self.spread = keep * self.spread + (1 - keep) * abs(billed / self.correct(estimated) - 1.0)
        self.billed = keep * self.billed + billed
        self.estimated = keep * self.estimated + estimated

    def correct(self, estimate: float) -> float:
        """The estimate times what bills say of such; the estimate itself counts as one bill that agrees."""
        return estimate * (self.billed + estimate) / (self.estimated + estimate)


class Majority:
    """The value most often seen (Boyer-Moore vote), within a tolerance."""

    def __init__(self) -> None:
        self.value, self.votes = 0.0, 0

    def agrees(self, value: float, tolerance: float) -> bool:
        """Vote, and tell whether the value is the majority's."""
        if not self.votes:
            self.value = value
        same = abs(value - self.value) < tolerance
        self.votes += 1 if same else -1
        return same


class Window:
    """Amounts by the time they were added, summed over the latest stretch."""

    def __init__(self) -> None:
        self._items: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add an amount."""
        self._items.append((now, amount))
        self._total += amount

    def since(self, start: float) -> float:
        """The sum of what came after ``start``; what is older is dropped for good."""
        while self._items and self._items[0][0] <= start:
            self._total -= self._items.popleft()[1]
        return self._total if self._items else 0.0


class Flow:
    """How much is added a second, over some time."""

    def __init__(self, now: float, over: float) -> None:
        self._over, self._began, self._at, self._sum = over, now, now, 0.0

    def add(self, now: float, amount: float) -> None:
        """Add an amount."""
        self._sum, self._at = self._sum * exp((self._at - now) / self._over) + amount, now

    def rate(self, now: float) -> float:
        """The mean of what was added a second; at first over two seconds, or its time."""
        seen = self._over * (1.0 - exp((self._began - now) / self._over))
        return self._sum * exp((self._at - now) / self._over) / max(min(2.0, self._over), seen)


def agreed(ids: Iterable[str], salt: str = "") -> list[str]:
    """The ids in an order that all gateways come to, another one for each salt."""
    return sorted(ids, key=lambda id: blake2b(f"{salt}{id}".encode()).digest())


def stretch(ring: list[str], place: float, length: int) -> set[str]:
    """So many from a place on, 0 to 1, and round; one that comes or goes shifts the others by one."""
    start, n = int(place * len(ring)), len(ring)
    return {ring[(start + i) % n] for i in range(min(length, n))}


def laid(sizes: dict[str, float]) -> dict[str, tuple[float, float]]:
    """The things laid behind each other from 0 to 1, each as long as its part of all."""
    whole, ends = sum(sizes.values()) or 1.0, list(accumulate(sizes.values(), initial=0.0))
    return {name: (at / whole, end / whole) for name, (at, end) in zip(sizes, pairwise(ends), strict=True)}


def dealt(count: int, among: int, turn: int) -> int:
    """How many of so many things go to the one whose turn it is."""
    return count // among + (turn % among < count % among)


class Bucket:
    """A token bucket."""

    def __init__(self, rate: float, depth: float, now: float) -> None:
        self._rate, self._depth, self._tokens, self._filled = rate, depth, depth, now

    def take(self, now: float, spend: float) -> bool:
        """Tell whether there is a token, and spend so much of it."""
        self._tokens = min(self._depth, self._tokens + self._rate * (now - self._filled))
        self._filled = now
        if self._tokens < 1.0:
            return False
        self._tokens -= spend
        return True


class Share(Bucket):
    """A gateway's part of what a tenant may ask for, and how much the tenant does ask."""

    def __init__(self, part: float, depth: float, now: float, over: float) -> None:
        super().__init__(part, depth, now)
        self.part, self._asked = part, Flow(now, over)

    def take(self, now: float, spend: float) -> bool:
        """Count a first try in, and tell whether it is within the share."""
        self._asked.add(now, float(spend > 0.0))  # repeats come of refusals, to all gateways at once
        return super().take(now, spend)

    def busier(self, now: float) -> float:
        """What is asked, over the part."""
        return self._asked.rate(now) / self.part if self.part else 1.0


class Flows(dict[int | None, Flow]):
    """Flows of what was named last, and no more than so many: names are ever new."""

    def __init__(self, over: float, most: int) -> None:
        super().__init__()
        self._over, self._most = over, most

    def at(self, name: int | None, now: float) -> Flow:
        """The flow of a name, which is the latest from now on."""
        flow = self[name] = self.pop(name, Flow(now, self._over))
        if len(self) > self._most:
            del self[next(iter(self))]
        return flow


class Books:
    """What one gateway has on record: queries by rank of class, engines, and what it has learned."""

    def __init__(self, now: float, sets: Flows) -> None:
        self.now = self.began = self.surveyed = now
        self.out: list[Action] = []
        self.armed = False
        self.order: list[QueryClass] = []  # tightest first; a class's place here is its rank
        self.rank: dict[str, int] = {}
        self.usual: list[float] = []  # work of a usual query, by rank like what follows
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
        self.deal: dict[str, tuple[float, float]] = {}  # those as parts of one, by what they can do now
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
        same = [place if place is not None and (self.order[place].aim, self.order[place].threads) == (
            c.aim, c.threads) else None for place, c in zip(places, order, strict=True)]
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
        self.ring = agreed(e.entry.id for e in self.nodes.values() if self.usable(e))

    def handed(self, out: frozenset[str]) -> None:
        """Book what operators took out; what they give back was restarted meanwhile."""
        for e in (self.nodes[engine] for engine in self.by_hand - out if engine in self.nodes):
            e.restarted(self.now, self.now)
            e.ejected_at, e.faults, e.backoff, e.unreachable, e.still = None, 0.0, 0.0, False, 0
            e.heard, e.slow = self.now, self.pool
        self.by_hand = out
        self.ring = agreed(e.entry.id for e in self.nodes.values() if self.usable(e))

    def usable(self, e: Node) -> bool:
        """Listed as up, and not taken out by hand."""
        return e.entry.state is EngineState.UP and e.entry.id not in self.by_hand

    def fade(self, now: float, kept: float, long_threads: int) -> None:
        """Let what was learned of slowness fade, and average what is out."""
        fill = self.granted / self.memory if self.memory else 0.0
        self.fill += (1.0 - kept ** 0.25) * (fill - self.fill)
        self.long_lately += (1.0 - kept) * (long_threads - self.long_lately)
        self.pools, self.surveyed = [1.0 + (p - 1.0) * kept for p in self.pools], now
        self.pool = 1.0 + (self.pool - 1.0) * kept
