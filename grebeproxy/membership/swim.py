"""The membership state machine of one router: SWIM with Lifeguard's extensions.

The state machine reads no clock and no socket. ``probing`` and ``relays`` detect failures, ``member_table``
merges facts, ``dissemination`` sends messages and gossip, ``anti_entropy`` exchanges all facts, and
``view_tracker`` computes the view.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from grebeproxy.membership.anti_entropy import HEAL_INTERVAL, SYNC_INTERVAL, AntiEntropy
from grebeproxy.membership.context import Context
from grebeproxy.membership.dissemination import GOSSIP_INTERVAL, Dissemination
from grebeproxy.membership.gossip_queue import GossipQueue
from grebeproxy.membership.member_table import MemberTable
from grebeproxy.membership.model import (
    Config,
    Effect,
    Event,
    Fact,
    Kind,
    LeaveRequested,
    Message,
    MessageReceived,
    Notice,
    NoticeKind,
    State,
    View,
    Wake,
    Woken,
)
from grebeproxy.membership.probe_order import ProbeOrder
from grebeproxy.membership.probing import Prober
from grebeproxy.membership.relays import PingRelays
from grebeproxy.membership.view_tracker import ViewTracker

# A step that comes more than this many periods after the requested wake-up shows that the process was paused.
PAUSE_THRESHOLD = 4.0
PAUSE_PENALTY = 2  # points by which a pause worsens the health score


class Membership:
    """One router's membership. ``instance`` is a random number of this process, never used again."""

    def __init__(self, config: Config, instance: int, rng: Random, now: float) -> None:
        self._context = context = Context(config, rng, now)
        probe_order = ProbeOrder(rng)
        self.gossip_queue = GossipQueue()
        self.table = MemberTable(context, instance, self.gossip_queue, probe_order)
        self._dissemination = Dissemination(context, self.table, self.gossip_queue)
        self._anti_entropy = AntiEntropy(context, self.table, self._dissemination)
        self._prober = Prober(context, self.table, self._dissemination, probe_order)
        self._relays = PingRelays(context, self.table, self._dissemination)
        self._view_tracker = ViewTracker(context, self.table)
        self._wake_at: float | None = None
        self._start_timers()

    @property
    def me(self) -> Fact:
        """The fact that this router sends about itself."""
        return self.table.me

    @property
    def facts(self) -> dict[str, Fact]:
        """The facts by member name, including the fact about this router."""
        return self.table.facts

    @property
    def view(self) -> View:
        """The members as this router sees them."""
        return self._view_tracker.view

    @property
    def name_conflicts(self) -> int:
        """The number of times that another process of this name was heard of, a former one or a duplicate."""
        return self.table.name_conflicts

    def step(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Handle events in order, run the timers that are due, and return the effects to carry out."""
        context = self._context
        context.effects = []
        if self._wake_at is not None and now > self._wake_at + PAUSE_THRESHOLD * context.config.period:
            self._on_pause(now, now - self._wake_at)
            # Without this assignment, each message before the wake-up would report the same pause again.
            self._wake_at = now
        context.now = now
        for event in events:
            self._handle(event)
        while not context.stopped and (callback := context.timers.pop_due(now)) is not None:
            callback()
        self._view_tracker.update()
        self._request_wake()
        return context.effects

    def _start_timers(self) -> None:
        context = self._context
        period = context.config.period
        schedule = context.timers.schedule
        anti_entropy = self._anti_entropy
        schedule(context.now, anti_entropy.join)
        schedule(context.now + context.rng.random() * period, self._prober.probe_next)
        schedule(context.now + anti_entropy.random_delay(SYNC_INTERVAL), anti_entropy.sync)
        schedule(context.now + anti_entropy.random_delay(HEAL_INTERVAL), anti_entropy.heal)
        schedule(context.now + period * GOSSIP_INTERVAL, self._dissemination.gossip)

    def _handle(self, event: Event) -> None:
        stopped = self._context.stopped
        match event:
            case MessageReceived(message) if not stopped:
                self._on_message(message)
            case Woken():
                self._wake_at = None
            case LeaveRequested() if not stopped:
                self._dissemination.announce_leave()

    def _on_pause(self, now: float, seconds: float) -> None:
        """Discount the time during which this process was paused and could not hear any answer."""
        context = self._context
        context.health.degrade(PAUSE_PENALTY)
        context.resuming = True
        self._prober.cancel()
        self._relays.clear()
        self.table.extend_suspicions(seconds)
        context.effects.append(Notice(NoticeKind.PAUSED, context.config.name))
        # ``sync`` would schedule itself again, so each pause would add another chain of that timer.
        context.timers.schedule(now, self._anti_entropy.sync_once)

    def _on_message(self, message: Message) -> None:
        sender = message.sender
        me = self.table.me
        if sender.name == me.name and sender.instance == me.instance:
            return  # This process has received its own message.
        current = self.table.facts.get(sender.name)
        self.table.merge(sender)
        if current is not None and current.state is not State.ALIVE and current.rank >= sender.rank:
            # The sender is suspected, failed or left here, and does not know it. Unless it is told, it cannot
            # refute this.
            self._dissemination.send_facts(sender.address, (current,))
        for fact in message.facts:
            self.table.merge(fact)
        if not self._context.stopped:
            self._dispatch(message)

    def _dispatch(self, message: Message) -> None:
        match message.kind:
            case Kind.PING if message.target == self.table.me.name:
                self._dissemination.send_ack(message.sender.address, message.number)
            case Kind.ACK:
                self._prober.on_ack(message.number)
                self._relays.on_ack(message.number)
            case Kind.PING_REQ:
                self._relays.on_ping_req(message)
            case Kind.NACK:
                self._prober.on_nack(message.number)
            case Kind.SYNC:
                self._anti_entropy.on_sync(message)
            case Kind.DIGEST:
                self._anti_entropy.on_digest(message)

    def _request_wake(self) -> None:
        due = self._context.timers.next_due()
        if due is None or self._context.stopped:
            return
        if self._wake_at is None or due < self._wake_at:
            self._wake_at = due
            self._context.effects.append(Wake(due))
