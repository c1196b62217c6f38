"""Anti-entropy: full exchanges of facts, used to join, at regular intervals, and after a partition.

Two members compare digests of the facts that they hold. If the digests differ, each sends the other all of
its facts.
"""

from __future__ import annotations

from grebeproxy.membership.context import Context
from grebeproxy.membership.dissemination import Dissemination
from grebeproxy.membership.member_table import MemberTable
from grebeproxy.membership.model import Address, Message

JOIN_INTERVAL = 2.0  # periods between two attempts to reach seeds while no other member is known
JOIN_FANOUT = 3  # seeds tried in one attempt
SYNC_INTERVAL = 20.0  # mean number of periods between exchanges with a random member
HEAL_INTERVAL = 8.0  # mean number of periods between attempts to reach a failed member or an unknown seed


class AntiEntropy:
    """Requests full exchanges of facts, and answers the requests of other members."""

    def __init__(self, context: Context, table: MemberTable, dissemination: Dissemination) -> None:
        self._context = context
        self._table = table
        self._dissemination = dissemination

    def random_delay(self, interval: float) -> float:
        """Return a random delay in seconds for a timer with this mean interval in periods."""
        return interval * self._context.config.period * (0.5 + self._context.rng.random())

    # --- timers

    def join(self) -> None:
        """Timer: request an exchange with some seeds until another member is known."""
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
        """Exchange facts with a random member without scheduling the timer again."""
        others = self._table.others()
        if others:
            self._request_sync(self._context.rng.choice(others).address)

    def heal(self) -> None:
        """Timer: request an exchange with a failed member or an unknown seed.

        Without these attempts, neither side of a partition would notice that it has healed.
        """
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
        """Answer a request to exchange facts: send all facts and a digest if the digests differ."""
        digest = self._table.digest()
        if message.digest != digest:
            self._dissemination.send_all_facts(message.sender.address)
            self._dissemination.send_digest(message.sender.address, digest)

    def on_digest(self, message: Message) -> None:
        """Handle the digest that ends another member's facts.

        If it differs from the digest of this router, the other member misses some facts and is sent all.
        """
        if message.digest != self._table.digest():
            self._dissemination.send_all_facts(message.sender.address)

    def _request_sync(self, address: Address) -> None:
        if address != self._context.config.address:
            self._dissemination.send_sync(address)
