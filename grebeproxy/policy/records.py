"""Records of a query and of an engine. Bookkeeping only: no decision, no tuned value."""

from __future__ import annotations

from grebeproxy.policy.interface import Engine, Query, QueryClass
from grebeproxy.policy.learned import Window


class Job:
    """A query taken and not yet over."""

    def __init__(
        self,
        query: Query,
        cls: QueryClass,
        rank: int,
        began: float,
        work: float,
        memory: float,
        draw: float = 0.0,
    ) -> None:
        self.query, self.cls, self.rank = query, cls, rank
        self.id, self.due = query.id, query.due
        self.began = began  # when the client's first try came
        self.work, self.memory = work, memory  # corrected estimates
        self.run = work / cls.threads
        self.over_quota = False
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

    def progressed(self, now: float, attempt: int, share: float) -> None:
        """Book when an attempt is to end by its own note, where it is the latest one."""
        if attempt == self.attempts - 1:
            self.ends_at = now + (now - self.sent) * (1.0 / max(0.01, share) - 1.0)

    def objective_at(self, stretch: float = 1.0) -> float:
        """Clock time at which the aim passes, with the work's part of it stretched."""
        return self.began + self.cls.latency_objective + stretch * self.cls.objective_stretch * self.run


class Node:
    """What one gateway knows of one engine."""

    def __init__(self, entry: Engine, cores: float, memory: float) -> None:
        self.entry, self.cores, self.memory = entry, cores, memory
        self.member = True  # of the engines that this gateway works with
        self.sharers, self.number = 1, 0  # gateways that work with it, and ours among those
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

    def hold(self, data_set: int, now: float, until: float) -> None:
        """Take a data set for held here by a load. Guards the memory: ever new ones are named."""
        self.held_until = {held: over for held, over in self.held_until.items() if over > now}
        self.held_until[data_set] = until

    def loading(self, data_set: int) -> int:
        """Loads of ours that are out here and hold the data set, or wait for it."""
        return sum(o.query.data_set == data_set and o.cls.locks_data_set for o in self.out.values())

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
