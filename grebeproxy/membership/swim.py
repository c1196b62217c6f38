"""The core: who is there. ``step(now, events)`` gives effects; it reads no clock and no socket.

Each period one other member is pinged. Where its answer does not come in time a few others are asked to
ping it; where none gets through it is suspected, and counts as failed unless it refutes that in time. Facts
travel with every message. A full exchange comes at the start, now and then, and with those that were lost:
so a cut heals.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from hashlib import blake2b
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from grebeproxy.membership.model import (
    Address,
    ViewChanged,
    Condition,
    Config,
    Displaced,
    Effect,
    Event,
    Fact,
    MessageReceived,
    Kind,
    LeaveRequested,
    Message,
    Send,
    State,
    Notice,
    View,
    Wake,
    Woken,
)
from grebeproxy.membership.gossip_queue import GossipQueue
from grebeproxy.membership.suspicion import DISTRUST, Health, Suspicion, shortest

FACTS_PER_MESSAGE = 8  # in one message, so that it fits a packet
GOSSIP_TO = 3  # others that get gossip between probes, while there is some
JOIN_EVERY = 2.0  # periods between attempts to reach the seeds while nobody is known
SYNC_EVERY, HEAL_EVERY = 20.0, 8.0  # periods between full exchanges, and between attempts on the lost
# Periods for which a failed member is remembered: older facts may still be on their way.
REMEMBER_FAILED = 120.0
MAX_MEMBERS_FACTOR = 4  # times the configured fleet that are known at most
# Periods beyond the time asked for after which this process takes itself to have stood still.
PAUSE_THRESHOLD = 4.0
OUTBIDS, OUTBID_FOR = 3, 20.0  # times, in so many periods, that a twin is outbid before one yields


@dataclass(slots=True)
class Probe:
    """The ping that is out."""

    number: int
    target: str
    ping_reqs_sent: int = 0  # others that were asked to ping the target
    nacks: int = 0  # of these, that have neither got through nor said that they did not
    answered: bool = False


class Membership:
    """One router's part. ``instance`` is a random number of this process, never used again."""

    def __init__(self, config: Config, instance: int, rng: Random, now: float) -> None:
        self.config, self.rng, self.now = config, rng, now
        self.me = Fact(config.name, config.address, instance, 0, State.ALIVE)
        self.facts: dict[str, Fact] = {config.name: self.me}
        self.view = View(0, (config.name,), Condition.ALONE, now)
        self.health = Health()
        self.displaced = self.left = False
        self._suspicions: dict[str, Suspicion] = {}
        self._lost: dict[str, float] = {}  # failed and left members, and until when they are remembered
        self._gossip_queue = GossipQueue()
        self._order: list[str] = []  # members still to be probed in this round
        self._probe: Probe | None = None
        self._relayed: dict[int, tuple[Message, bool]] = {}  # pings for others: who asked, if answered
        self._timers: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = count(1)
        self._effects: list[Effect] = []
        self._wake_at: float | None = None
        self._changed_at = now
        self._members: tuple[str, ...] = (config.name,)
        self._sound, self._stale = 1, False  # members that nobody suspects; whether to count both anew
        self._waking = False  # nobody has answered since this process stood still; what came may be old
        self._outbid: list[float] = []
        self.outbids = 0  # how often another process of this name was outbid, a former one or a twin
        self._at(now, self._join)
        self._at(now + rng.random() * config.period, self._next_probe)
        self._at(now + SYNC_EVERY * config.period * (0.5 + rng.random()), self._sync)
        self._at(now + HEAL_EVERY * config.period * (0.5 + rng.random()), self._heal)
        self._at(now + config.period / 2, self._gossip)

    # --- the reducer

    def step(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Take what happened, in order; gives the effects to carry out."""
        self._effects = []
        if self._wake_at is not None and now > self._wake_at + PAUSE_THRESHOLD * self.config.period:
            self._on_pause(now)
        self.now = now
        for event in events:
            match event:
                case MessageReceived(message) if not (self.displaced or self.left):
                    self._on_message(message)
                case Woken():
                    self._wake_at = None
                case LeaveRequested() if not (self.displaced or self.left):
                    self._leave()
        while self._timers and self._timers[0][0] <= now and not (self.displaced or self.left):
            _, _, call, args = heappop(self._timers)
            call(*args)
        self._update_view()
        if (
            self._timers
            and not (self.displaced or self.left)
            and (self._wake_at is None or self._timers[0][0] < self._wake_at)
        ):
            self._wake_at = self._timers[0][0]
            self._effects.append(Wake(self._wake_at))
        return self._effects

    def _at(self, at: float, call: Callable[..., None], *args: Any) -> None:
        heappush(self._timers, (at, next(self._numbers), call, args))

    def _on_pause(self, now: float) -> None:
        """Guards others against what a process believes that stood still: time-outs ran out unseen."""
        still = now - (self._wake_at or now)
        self.health.worse(2)
        self._waking, self._probe = True, None
        self._relayed.clear()
        for suspicion in self._suspicions.values():
            suspicion.began += still
        self._effects.append(Notice("stood still", self.config.name))
        self._at(now, self._sync)

    def _send(
        self,
        kind: Kind,
        to: Address,
        *,
        number: int = 0,
        target: str = "",
        digest: int = 0,
        facts: tuple[Fact, ...] | None = None,
    ) -> None:
        if facts is None:
            facts = self._gossip_queue.take(FACTS_PER_MESSAGE, len(self.facts))
        self._effects.append(Send(to, Message(kind, self.me, number, target, digest, facts)))

    # --- what comes

    def _on_message(self, message: Message) -> None:
        sender = message.sender
        if sender.name == self.config.name and sender.instance == self.me.instance:
            return  # one's own, come back
        current = self.facts.get(sender.name)
        self._merge(sender)
        if current is not None and current.state is not State.ALIVE and current.rank >= sender.rank:
            # It does not know what this process records of it, and so cannot refute it.
            self._send(Kind.GOSSIP, sender.address, facts=(current,))
        for fact in message.facts:
            self._merge(fact)
        if self.displaced or self.left:
            return
        match message.kind:
            case Kind.PING if message.target == self.config.name:
                self._send(Kind.ACK, sender.address, number=message.number)
            case Kind.ACK:
                self._acknowledged(message)
            case Kind.ASK:
                self._relay(message)
            case Kind.NACK if self._probe is not None and message.number == self._probe.number:
                self._probe.nacks = max(0, self._probe.nacks - 1)
            case Kind.SYNC if message.digest != self._digest():
                self._send_all_facts(sender.address)
                self._send(Kind.DIGEST, sender.address, digest=self._digest())
            case Kind.DIGEST if message.digest != self._digest():
                self._send_all_facts(sender.address)

    def _merge(self, fact: Fact) -> None:
        """Merge one fact."""
        if fact.name == self.config.name:
            self._refute(fact)
            return
        current = self.facts.get(fact.name)
        limit = MAX_MEMBERS_FACTOR * self.config.fleet + MAX_MEMBERS_FACTOR
        if current is None and (fact.state >= State.DEAD or len(self.facts) >= limit):
            return  # nothing is known that this could change; or too many names are in use
        if current is not None and fact.rank <= current.rank:
            if fact.rank == current.rank and fact.state is State.SUSPECT:
                suspicion = self._suspicions.get(fact.name)
                if suspicion is not None and suspicion.confirm(fact.by):
                    self._gossip_queue.add(fact)
                    self._at(suspicion.until(), self._failed, fact.name, suspicion)
            return
        self.facts[fact.name] = fact
        self._stale = True
        self._gossip_queue.add(fact)
        self._lost.pop(fact.name, None)
        if fact.state is State.SUSPECT:
            if fact.name not in self._suspicions:
                made = Suspicion(self.now, shortest(self.config.period, len(self.facts)), {fact.by})
                self._suspicions[fact.name] = made
                self._at(made.until(), self._failed, fact.name, made)
            return
        self._suspicions.pop(fact.name, None)
        if fact.state is State.ALIVE:
            if current is None or current.state >= State.DEAD:
                self._order.insert(self.rng.randrange(len(self._order) + 1), fact.name)
                self._effects.append(Notice("joined", fact.name))
            elif current.instance != fact.instance:
                self._effects.append(Notice("restarted", fact.name))
        else:
            self._lost[fact.name] = self.now + REMEMBER_FAILED * self.config.period
            event = "left" if fact.state is State.LEFT else "failed"
            if current is None or current.state < State.DEAD:
                self._effects.append(Notice(event, fact.name))

    def _refute(self, fact: Fact) -> None:
        """Refute what others say of this router, or of an earlier process of its name."""
        mine, theirs = (self.me.incarnation, self.me.instance), (fact.incarnation, fact.instance)
        if theirs < mine or (theirs == mine and fact.state is State.ALIVE):
            return
        if fact.instance != self.me.instance and fact.state is State.ALIVE:
            # What a former process left behind is outbid once. One that lives outbids in its turn.
            since = self.now - OUTBID_FOR * self.config.period
            self._outbid = [at for at in self._outbid if at > since] + [self.now]
            self.outbids += 1
            if len(self._outbid) > OUTBIDS and fact.instance > self.me.instance:
                self.displaced = True
                self._effects += [Notice("displaced", self.config.name), Displaced()]
                return
        elif fact.instance == self.me.instance:
            self.health.worse()
        self.me = replace(self.me, incarnation=fact.incarnation + 1)
        self.facts[self.config.name] = self.me
        self._gossip_queue.add(self.me)

    def _send_all_facts(self, to: Address) -> None:
        known = [fact for fact in self.facts.values() if fact.name != self.config.name]
        for start in range(0, len(known), FACTS_PER_MESSAGE):
            self._send(Kind.GOSSIP, to, facts=tuple(known[start : start + FACTS_PER_MESSAGE]))

    def _digest(self) -> int:
        """Of all that are recorded as there; the same facts give the same number."""
        combined = 0
        for fact in self.facts.values():
            if fact.state < State.DEAD:
                text = f"{fact.name} {fact.instance} {fact.incarnation} {int(fact.state)}".encode()
                combined ^= int.from_bytes(blake2b(text, digest_size=8).digest(), "big")
        return combined

    # --- probes

    def _others(self) -> list[Fact]:
        return [
            fact for fact in self.facts.values() if fact.name != self.config.name and fact.state < State.DEAD
        ]

    def _next_probe(self) -> None:
        period = self.config.period * self.health.timeout_factor
        self._at(self.now + period, self._next_probe)
        target = self._next_target()
        if target is None:
            return
        self._probe = probe = Probe(next(self._numbers), target.name)
        facts: tuple[Fact, ...] | None = None
        if target.state is State.SUSPECT:  # it is to know, or it could not refute it
            facts = (target, *self._gossip_queue.take(FACTS_PER_MESSAGE - 1, len(self.facts)))
        self._send(Kind.PING, target.address, number=probe.number, target=target.name, facts=facts)
        self._at(self.now + self.config.timeout * self.health.timeout_factor, self._no_answer, probe)
        self._at(self.now + period * 0.95, self._unanswered, probe)

    def _next_target(self) -> Fact | None:
        """Each member once in a round, in an order drawn anew: so none waits longer than two rounds."""
        for _ in range(2):
            while self._order:
                fact = self.facts.get(self._order.pop())
                if fact is not None and fact.state < State.DEAD and fact.name != self.config.name:
                    return fact
            self._order = [fact.name for fact in self._others()]
            self.rng.shuffle(self._order)
        return None

    def _no_answer(self, probe: Probe) -> None:
        if probe is not self._probe or probe.answered or probe.target not in self.facts:
            return
        target = self.facts[probe.target]
        helpers = [fact for fact in self._others() if fact.state is State.ALIVE and fact.name != probe.target]
        for helper in self.rng.sample(helpers, min(self.config.helpers, len(helpers))):
            probe.ping_reqs_sent, probe.nacks = probe.ping_reqs_sent + 1, probe.nacks + 1
            self._send(Kind.ASK, helper.address, number=probe.number, target=target.name)

    def _relay(self, message: Message) -> None:
        target = self.facts.get(message.target)
        if target is None or len(self._relayed) >= 2 * self.config.fleet + 8:
            return
        number = next(self._numbers)
        self._relayed[number] = (message, False)
        self._send(Kind.PING, target.address, number=number, target=target.name)
        self._at(self.now + self.config.timeout, self._relay_over, number)

    def _relay_over(self, number: int) -> None:
        request, answered = self._relayed.pop(number, (None, True))
        if request is not None and not answered:
            self._send(Kind.NACK, request.sender.address, number=request.number)

    def _acknowledged(self, message: Message) -> None:
        if self._probe is not None and message.number == self._probe.number and not self._probe.answered:
            self._probe.answered, self._waking = True, False
            self.health.better()
        request, answered = self._relayed.get(message.number, (None, True))
        if request is not None and not answered:
            self._relayed[message.number] = (request, True)
            self._send(Kind.ACK, request.sender.address, number=request.number)

    def _unanswered(self, probe: Probe) -> None:
        """The period is over and nobody got through. What helpers did not say may be lost on this side."""
        if probe is not self._probe or probe.answered:
            return
        self._probe = None
        self.health.worse(probe.nacks if probe.ping_reqs_sent else 1)
        fact = self.facts.get(probe.target)
        if fact is not None and fact.state < State.DEAD:
            self._merge(replace(fact, state=State.SUSPECT, by=self.config.name))

    def _failed(self, name: str, suspicion: Suspicion) -> None:
        fact = self.facts.get(name)
        if fact is None or self._suspicions.get(name) is not suspicion:
            return
        if self.now < suspicion.until() - 1e-9:  # it was put off meanwhile
            self._at(suspicion.until(), self._failed, name, suspicion)
        else:
            self._merge(replace(fact, state=State.DEAD))

    # --- passing on, joining, healing

    def _gossip(self) -> None:
        self._at(self.now + self.config.period / 2, self._gossip)
        others = self._others()
        for fact in self.rng.sample(others, min(GOSSIP_TO, len(others))) if len(self._gossip_queue) else ():
            self._send(Kind.GOSSIP, fact.address)

    def _request_sync(self, address: Address) -> None:
        if address != self.config.address:
            self._send(Kind.SYNC, address, digest=self._digest(), facts=())

    def _join(self) -> None:
        """Ask the seeds for as long as nobody answers."""
        if len(self._others()):
            return
        self._at(self.now + JOIN_EVERY * self.config.period, self._join)
        for seed in self.rng.sample(self.config.seeds, min(GOSSIP_TO, len(self.config.seeds))):
            self._request_sync(seed)

    def _sync(self) -> None:
        self._at(self.now + SYNC_EVERY * self.config.period * (0.5 + self.rng.random()), self._sync)
        if others := self._others():
            self._request_sync(self.rng.choice(others).address)

    def _heal(self) -> None:
        """Try one that is lost, or a seed: nobody else reports that a partition has healed."""
        self._at(self.now + HEAL_EVERY * self.config.period * (0.5 + self.rng.random()), self._heal)
        for name in [name for name, until in self._lost.items() if until <= self.now]:
            del self._lost[name], self.facts[name]
            self._stale = True
            self._gossip_queue.forget(name)
        known = {fact.address for fact in self._others()}
        lost = {self.facts[name].address for name in self._lost if self.facts[name].state is State.DEAD}
        if candidates := sorted(lost | (set(self.config.seeds) - known)):
            self._request_sync(self.rng.choice(candidates))

    def _leave(self) -> None:
        self.left = True
        self.me = replace(self.me, state=State.LEFT)
        for fact in self.rng.sample(self._others(), min(2 * GOSSIP_TO, len(self._others()))):
            self._send(Kind.GOSSIP, fact.address, facts=(self.me,))

    # --- the view

    def _update_view(self) -> None:
        """Report a new view, where members or condition are not what they were."""
        if self._stale:  # of a thousand members each message would cost a pass over all
            self._stale = False
            self._members = tuple(
                sorted(fact.name for fact in self.facts.values() if fact.state < State.DEAD)
            )
            self._sound = sum(fact.state is State.ALIVE for fact in self.facts.values())
        fleet, members, sound = self.config.fleet, self._members, self._sound
        suspected = sound < len(members)
        if members != self.view.members or suspected:
            self._changed_at = self.now
        if self.displaced or self.left or self._waking or (sound == 1 and fleet > 1):
            condition = Condition.ALONE
        elif 2 * sound <= fleet or self.health.score >= DISTRUST:
            condition = Condition.MINORITY
        elif suspected or self.now < self._changed_at + self.config.settle:
            condition = Condition.QUORATE
        else:
            condition = Condition.SETTLED
        if members != self.view.members or condition is not self.view.condition:
            since = self.view.since if condition is self.view.condition else self.now
            self.view = View(self.view.epoch + 1, members, condition, since)
            self._effects.append(ViewChanged(self.view))
