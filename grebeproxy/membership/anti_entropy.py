"""Full exchanges of facts: to join, regularly, and to heal a partition.

Two members compare digests of all that they hold, and send each other everything if these differ.
"""

from __future__ import annotations

from grebeproxy.membership.context import Context
from grebeproxy.membership.dissemination import Dissemination
from grebeproxy.membership.member_table import MemberTable
from grebeproxy.membership.model import Address, Message

JOIN_INTERVAL = 2.0  # periods between attempts to reach the seeds while no other member is known
JOIN_FANOUT = 3  # seeds that are tried in one attempt
SYNC_INTERVAL = 20.0  # mean of periods between exchanges with a random member
HEAL_INTERVAL = 8.0  # mean of periods between attempts to reach a failed member or an unknown seed


class AntiEntropy:
    """Requests full exchanges and answers those of others."""

    def __init__(self, context: Context, table: MemberTable, dissemination: Dissemination) -> None:
        self._context = context
        self._table = table
        self._dissemination = dissemination

    def random_delay(self, interval: float) -> float:
        """Seconds until a timer of this mean interval, which is in periods."""
        return interval * self._context.config.period * (0.5 + self._context.rng.random())

    # --- timers

    def join(self) -> None:
        """Timer: try seeds until another member is known."""
        context = self._context
        if len(self._table.others()):
            return
        context.timers.schedule(context.now + JOIN_INTERVAL * context.config.period, self.join)
        seeds = context.config.seeds
        for seed in context.rng.sample(seeds, min(JOIN_FANOUT, len(seeds))):
            self._request_sync(seed)

    def sync(self) -> None:
        """Timer: exchange facts with a random member."""
        context = self._context
        context.timers.schedule(context.now + self.random_delay(SYNC_INTERVAL), self.sync)
        self.sync_once()

    def sync_once(self) -> None:
        """Exchange facts with a random member, and leave the timer as it is."""
        others = self._table.others()
        if others:
            self._request_sync(self._context.rng.choice(others).address)

    def heal(self) -> None:
        """Timer: try a failed member or a seed, as nobody else reports that a partition has healed."""
        context = self._context
        context.timers.schedule(context.now + self.random_delay(HEAL_INTERVAL), self.heal)
        self._table.forget_expired()
        known = {fact.address for fact in self._table.others()}
        failed = {fact.address for fact in self._table.failed()}
        candidates = sorted(failed | (set(context.config.seeds) - known))
        if candidates:
            self._request_sync(context.rng.choice(candidates))

    # --- messages

    def on_sync(self, message: Message) -> None:
        """Another member wants to exchange facts."""
        digest = self._table.digest()
        if message.digest != digest:
            self._dissemination.send_all_facts(message.sender.address)
            self._dissemination.send_digest(message.sender.address, digest)

    def on_digest(self, message: Message) -> None:
        """Another member has sent all its facts, and misses some of those held here if its digest differs."""
        if message.digest != self._table.digest():
            self._dissemination.send_all_facts(message.sender.address)

    def _request_sync(self, address: Address) -> None:
        if address != self._context.config.address:
            self._dissemination.send_sync(address)
