"""Dissemination: sending messages, and the gossip that they carry."""

from __future__ import annotations

from grebeproxy.membership.context import Context
from grebeproxy.membership.gossip_queue import GossipQueue
from grebeproxy.membership.member_table import MemberTable
from grebeproxy.membership.model import Address, Fact, Kind, Message, Send, State

FACTS_PER_MESSAGE = 8  # most facts in a message, so that it fits into a packet
GOSSIP_FANOUT = 3  # members that are sent queued facts at each interval
GOSSIP_INTERVAL = 0.5  # periods between two rounds of gossip
LEAVE_FANOUT = 2 * GOSSIP_FANOUT  # members that a router tells that it leaves


class Dissemination:
    """Sends messages of each kind, most of them with as many queued facts as fit."""

    def __init__(self, context: Context, table: MemberTable, gossip_queue: GossipQueue) -> None:
        self._context = context
        self._table = table
        self._gossip_queue = gossip_queue

    # --- messages

    def send_ping(self, target: Fact, number: int) -> None:
        """Ping a member, which answers with an ack of this number."""
        self._send(target.address, Message(Kind.PING, self._table.me, number, target.name, 0, self._take()))

    def send_probe(self, target: Fact, number: int) -> None:
        """Ping a member to detect whether it has failed.

        The ping tells a suspected member of the suspicion, so that it can refute it.
        """
        if target.state is not State.SUSPECT:
            self.send_ping(target, number)
            return
        facts = (target, *self._take(FACTS_PER_MESSAGE - 1))
        self._send(target.address, Message(Kind.PING, self._table.me, number, target.name, 0, facts))

    def send_ping_req(self, to: Address, number: int, target: str) -> None:
        """Request that a member ping the target."""
        self._send(to, Message(Kind.PING_REQ, self._table.me, number, target, 0, self._take()))

    def send_ack(self, to: Address, number: int) -> None:
        """Answer a ping or a ping-req."""
        self._send(to, Message(Kind.ACK, self._table.me, number, facts=self._take()))

    def send_nack(self, to: Address, number: int) -> None:
        """Answer a ping-req whose target did not answer."""
        self._send(to, Message(Kind.NACK, self._table.me, number, facts=self._take()))

    def send_sync(self, to: Address) -> None:
        """Begin a full exchange of facts."""
        self._send(to, Message(Kind.SYNC, self._table.me, digest=self._table.digest()))

    def send_digest(self, to: Address, digest: int) -> None:
        """Send the digest that ends the answer to a sync."""
        self._send(to, Message(Kind.DIGEST, self._table.me, digest=digest, facts=self._take()))

    def send_facts(self, to: Address, facts: tuple[Fact, ...]) -> None:
        """Send these facts without any queued facts."""
        self._send(to, Message(Kind.GOSSIP, self._table.me, facts=facts))

    def send_all_facts(self, to: Address) -> None:
        """Send all facts but the one about this router, which each message carries as its sender."""
        name = self._table.me.name
        known = [fact for fact in self._table.facts.values() if fact.name != name]
        for start in range(0, len(known), FACTS_PER_MESSAGE):
            self.send_facts(to, tuple(known[start : start + FACTS_PER_MESSAGE]))

    # --- gossip

    def gossip(self) -> None:
        """Timer: send queued facts to a few random members."""
        context = self._context
        context.timers.schedule(context.now + context.config.period * GOSSIP_INTERVAL, self.gossip)
        if not len(self._gossip_queue):
            return
        others = self._table.others()
        for fact in context.rng.sample(others, min(GOSSIP_FANOUT, len(others))):
            self.send_facts(fact.address, self._take())

    def announce_leave(self) -> None:
        """Tell some members that this router leaves, and stop taking part."""
        self._context.left = True
        self._table.leave()
        others = self._table.others()
        for fact in self._context.rng.sample(others, min(LEAVE_FANOUT, len(others))):
            self.send_facts(fact.address, (self._table.me,))

    def _take(self, limit: int = FACTS_PER_MESSAGE) -> tuple[Fact, ...]:
        return self._gossip_queue.take(limit, len(self._table.facts))

    def _send(self, to: Address, message: Message) -> None:
        self._context.effects.append(Send(to, message))
