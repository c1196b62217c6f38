"""The queue of facts that are still to be gossiped, with how often each fact was sent."""

from __future__ import annotations

from math import ceil, log10

from grebeproxy.membership.model import Fact

RETRANSMIT_FACTOR = 4  # a fact is sent this many times the decimal logarithm of the number of members


class GossipQueue:
    """Facts that are piggybacked on other messages, the least often sent facts first."""

    def __init__(self) -> None:
        self._transmissions: dict[str, int] = {}
        self._facts: dict[str, Fact] = {}

    def __len__(self) -> int:
        """Return the number of facts that are still to be sent."""
        return len(self._facts)

    def add(self, fact: Fact) -> None:
        """Queue a fact. It replaces an earlier fact about the same member."""
        self._facts[fact.name] = fact
        self._transmissions[fact.name] = 0

    def discard(self, name: str) -> None:
        """Remove the fact about a member, if one is queued."""
        self._facts.pop(name, None)
        self._transmissions.pop(name, None)

    def take(self, limit: int, member_count: int) -> tuple[Fact, ...]:
        """Return up to ``limit`` facts for one message, and remove those that were sent often enough."""
        chosen = sorted(self._facts, key=lambda name: (self._transmissions[name], name))[:limit]
        facts = tuple(self._facts[name] for name in chosen)
        max_transmissions = RETRANSMIT_FACTOR * max(1, ceil(log10(member_count + 1)))
        for name in chosen:
            self._transmissions[name] += 1
            if self._transmissions[name] >= max_transmissions:
                self.discard(name)
        return facts
