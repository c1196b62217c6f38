"""The facts that are still to be gossiped, and how often each of them was sent."""

from __future__ import annotations

from math import ceil, log10

from grebeproxy.membership.model import Fact

RETRANSMIT_FACTOR = 4  # times that a fact is sent, in logarithms of the number of members


class GossipQueue:
    """Facts that are piggybacked on other messages, those sent least often first."""

    def __init__(self) -> None:
        self._transmissions: dict[str, int] = {}
        self._facts: dict[str, Fact] = {}

    def __len__(self) -> int:
        """Number of facts that are still to be sent."""
        return len(self._facts)

    def add(self, fact: Fact) -> None:
        """Queue a fact. It replaces an earlier one of the same name."""
        self._facts[fact.name] = fact
        self._transmissions[fact.name] = 0

    def discard(self, name: str) -> None:
        """Send nothing more about a name."""
        self._facts.pop(name, None)
        self._transmissions.pop(name, None)

    def take(self, most: int, members: int) -> tuple[Fact, ...]:
        """Up to ``most`` facts for one message. A fact that was sent often enough is dropped."""
        chosen = sorted(self._facts, key=lambda name: (self._transmissions[name], name))[:most]
        facts = tuple(self._facts[name] for name in chosen)
        enough = RETRANSMIT_FACTOR * max(1, ceil(log10(members + 1)))
        for name in chosen:
            self._transmissions[name] += 1
            if self._transmissions[name] >= enough:
                self.discard(name)
        return facts
