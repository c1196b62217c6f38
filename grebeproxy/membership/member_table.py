"""The facts that a router holds about all members, and the merging of facts that others send."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from hashlib import blake2b

from grebeproxy.membership.context import Context
from grebeproxy.membership.gossip_queue import GossipQueue
from grebeproxy.membership.model import Displaced, Fact, Notice, NoticeKind, State
from grebeproxy.membership.probe_order import ProbeOrder
from grebeproxy.membership.suspicion import Suspicion, shortest_suspicion

# Periods for which a failed member is remembered. An older fact that arrives late could otherwise bring the
# member back.
FAILED_RETENTION = 120.0
MAX_MEMBERS_FACTOR = 4  # most names known, as a multiple of the configured fleet plus one router
MAX_NAME_CONFLICTS = 3  # conflicts over this router's name that are tolerated within the window
NAME_CONFLICT_WINDOW = 20.0  # periods
# Seconds by which a timer may be early. Rounding may put it just before a deadline that is computed again.
DEADLINE_TOLERANCE = 1e-9
FACT_DIGEST_BYTES = 8


class MemberTable:
    """The facts by member name. Facts about other members change only in ``merge`` and ``forget_expired``."""

    def __init__(
        self, context: Context, instance: int, gossip_queue: GossipQueue, probe_order: ProbeOrder
    ) -> None:
        config = context.config
        self.me = Fact(config.name, config.address, instance, 0, State.ALIVE)
        self.facts: dict[str, Fact] = {config.name: self.me}
        self.changed = False  # whether facts have changed since the view was last computed
        self.name_conflicts = 0  # number of times that another process of this name was heard of
        self._context = context
        self._gossip_queue = gossip_queue
        self._probe_order = probe_order
        self._max_names = MAX_MEMBERS_FACTOR * config.fleet + MAX_MEMBERS_FACTOR
        self._suspicions: dict[str, Suspicion] = {}
        self._remembered_until: dict[str, float] = {}  # by name, for members that failed or left
        self._conflict_times: list[float] = []

    # --- reading

    def others(self) -> list[Fact]:
        """Return the facts about other members that have neither failed nor left."""
        name = self.me.name
        return [fact for fact in self.facts.values() if fact.name != name and fact.state < State.DEAD]

    def failed(self) -> list[Fact]:
        """Return the facts about members that have failed and are still remembered."""
        remembered = (self.facts[name] for name in self._remembered_until)
        return [fact for fact in remembered if fact.state is State.DEAD]

    def digest(self) -> int:
        """Return a hash of the members that have neither failed nor left, and of their states."""
        combined = 0
        for fact in self.facts.values():
            if fact.state < State.DEAD:
                text = f"{fact.name} {fact.instance} {fact.incarnation} {int(fact.state)}".encode()
                combined ^= int.from_bytes(blake2b(text, digest_size=FACT_DIGEST_BYTES).digest(), "big")
        return combined

    # --- changing

    def merge(self, fact: Fact) -> None:
        """Store a fact if its rank is higher than that of the stored fact about the same member."""
        if fact.name == self.me.name:
            self._refute(fact)
            return
        current = self.facts.get(fact.name)
        if current is None:
            # A failure or leave of an unknown member changes nothing. The number of names is bounded.
            if fact.state >= State.DEAD or len(self.facts) >= self._max_names:
                return
        elif fact.rank <= current.rank:
            self._confirm_suspicion(fact, current)
            return
        self.facts[fact.name] = fact
        self.changed = True
        self._gossip_queue.add(fact)
        self._remembered_until.pop(fact.name, None)
        if fact.state is State.SUSPECT:
            self._begin_suspicion(fact)
            return
        self._suspicions.pop(fact.name, None)
        if fact.state is State.ALIVE:
            self._on_alive(fact, current)
        else:
            self._on_ended(fact, current)

    def suspect(self, name: str) -> None:
        """Suspect a member that did not answer a probe of this router."""
        fact = self.facts.get(name)
        if fact is not None and fact.state < State.DEAD:
            self.merge(replace(fact, state=State.SUSPECT, suspected_by=self.me.name))

    def leave(self) -> None:
        """Mark this router as left in the fact that it sends about itself."""
        self.me = replace(self.me, state=State.LEFT)

    def extend_suspicions(self, seconds: float) -> None:
        """Extend all suspicions by a time during which this process was paused."""
        for suspicion in self._suspicions.values():
            suspicion.started_at += seconds

    def forget_expired(self) -> None:
        """Forget the members whose failure or leave has been remembered for long enough."""
        now = self._context.now
        for name in [name for name, until in self._remembered_until.items() if until <= now]:
            del self._remembered_until[name]
            del self.facts[name]
            self.changed = True
            self._gossip_queue.discard(name)

    # --- parts of a merge

    def _on_alive(self, fact: Fact, current: Fact | None) -> None:
        if current is None or current.state >= State.DEAD:
            self._probe_order.insert(fact.name)
            self._notify(NoticeKind.JOINED, fact.name)
        elif current.instance != fact.instance:
            self._notify(NoticeKind.RESTARTED, fact.name)

    def _on_ended(self, fact: Fact, current: Fact | None) -> None:
        context = self._context
        self._remembered_until[fact.name] = context.now + FAILED_RETENTION * context.config.period
        if current is None or current.state < State.DEAD:
            self._notify(NoticeKind.LEFT if fact.state is State.LEFT else NoticeKind.FAILED, fact.name)

    def _notify(self, kind: NoticeKind, name: str) -> None:
        self._context.effects.append(Notice(kind, name))

    def _begin_suspicion(self, fact: Fact) -> None:
        if fact.name in self._suspicions:
            return
        shortest = shortest_suspicion(self._context.config.period, len(self.facts))
        suspicion = Suspicion(self._context.now, shortest, {fact.suspected_by})
        self._suspicions[fact.name] = suspicion
        self._schedule_deadline(fact.name, suspicion)

    def _confirm_suspicion(self, fact: Fact, current: Fact) -> None:
        """Shorten a suspicion that another member confirms."""
        if fact.rank != current.rank or fact.state is not State.SUSPECT:
            return
        suspicion = self._suspicions.get(fact.name)
        if suspicion is not None and suspicion.confirm(fact.suspected_by):
            self._gossip_queue.add(fact)
            self._schedule_deadline(fact.name, suspicion)

    def _schedule_deadline(self, name: str, suspicion: Suspicion) -> None:
        callback = partial(self._on_deadline, name, suspicion)
        self._context.timers.schedule(suspicion.deadline(), callback)

    def _on_deadline(self, name: str, suspicion: Suspicion) -> None:
        fact = self.facts.get(name)
        if fact is None or self._suspicions.get(name) is not suspicion:
            return
        if self._context.now < suspicion.deadline() - DEADLINE_TOLERANCE:  # The deadline was extended.
            self._schedule_deadline(name, suspicion)
        else:
            self.merge(replace(fact, state=State.DEAD))

    def _refute(self, fact: Fact) -> None:
        """Refute a wrong fact about this router, or a fact about another process of its name."""
        mine = (self.me.incarnation, self.me.instance)
        theirs = (fact.incarnation, fact.instance)
        if theirs < mine or (theirs == mine and fact.state is State.ALIVE):
            return
        if fact.instance == self.me.instance:
            self._context.health.degrade()
        elif fact.state is State.ALIVE and self._yields_name(fact):
            return
        self.me = replace(self.me, incarnation=fact.incarnation + 1)
        self.facts[self.me.name] = self.me
        self._gossip_queue.add(self.me)

    def _yields_name(self, fact: Fact) -> bool:
        """Record a conflict with another process of this name. Return True if this process yields the name.

        The facts of a former process need to be refuted only once. A duplicate process that still runs
        refutes in its turn, so the conflict repeats. After ``MAX_NAME_CONFLICTS`` the process with the lower
        instance yields.
        """
        context = self._context
        since = context.now - NAME_CONFLICT_WINDOW * context.config.period
        self._conflict_times = [time for time in self._conflict_times if time > since]
        self._conflict_times.append(context.now)
        self.name_conflicts += 1
        if len(self._conflict_times) <= MAX_NAME_CONFLICTS or fact.instance <= self.me.instance:
            return False
        context.displaced = True
        self._notify(NoticeKind.DISPLACED, self.me.name)
        context.effects.append(Displaced())
        return True
