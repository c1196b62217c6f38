"""The facts that are still to be gossiped, and how often each of them was."""

from __future__ import annotations

from math import ceil, log10

from grebeproxy.membership.model import Fact

SPREAD = 4  # times the logarithm of the members that a fact is passed on


class GossipQueue:
    """Facts that are passed on with other messages, those passed on least first."""

    def __init__(self) -> None:
        self._sent: dict[str, int] = {}
        self._facts: dict[str, Fact] = {}

    def __len__(self) -> int:
        """Facts that are still to be passed on."""
        return len(self._facts)

    def add(self, fact: Fact) -> None:
        """Pass a fact on; it takes the place of an earlier one of the same name."""
        self._facts[fact.name], self._sent[fact.name] = fact, 0

    def forget(self, name: str) -> None:
        """Pass nothing on about a name."""
        self._facts.pop(name, None)
        self._sent.pop(name, None)

    def take(self, limit: int, members: int) -> tuple[Fact, ...]:
        """Up to so many facts for one message; a fact that was passed on often enough is dropped."""
        chosen = sorted(self._facts, key=lambda name: (self._sent[name], name))[:limit]
        facts = tuple(self._facts[name] for name in chosen)
        limit = SPREAD * max(1, ceil(log10(members + 1)))
        for name in chosen:
            self._sent[name] += 1
            if self._sent[name] >= limit:
                self.forget(name)
        return facts
