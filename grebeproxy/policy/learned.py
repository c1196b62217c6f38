"""Sums and means that fade: what is learned of costs and of traffic. No decision, no tuned value."""

from __future__ import annotations

from collections import deque
from math import exp


class Ratio:
    """Billed over estimated, as decayed sums."""

    def __init__(self) -> None:
        self.billed = self.estimated = 0.0
        self.spread = 0.0  # mean distance of single bills from the corrected estimate, as a part of it

    def learn(self, billed: float, estimated: float, keep: float) -> None:
        """Take one answer's bill."""
        self.spread = keep * self.spread + (1 - keep) * abs(billed / self.correct(estimated) - 1.0)
        self.billed = keep * self.billed + billed
        self.estimated = keep * self.estimated + estimated

    def correct(self, estimate: float) -> float:
        """The estimate times what bills say of such; the estimate itself counts as one bill that agrees."""
        return estimate * (self.billed + estimate) / (self.estimated + estimate)


class Majority:
    """The value most often seen (Boyer-Moore vote), within a tolerance."""

    def __init__(self) -> None:
        self.value, self.votes = 0.0, 0

    def agrees(self, value: float, tolerance: float) -> bool:
        """Vote, and tell whether the value is the majority's."""
        if not self.votes:
            self.value = value
        same = abs(value - self.value) < tolerance
        self.votes += 1 if same else -1
        return same


class Window:
    """Amounts by the time they were added, summed over the latest stretch."""

    def __init__(self) -> None:
        self._items: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add an amount."""
        self._items.append((now, amount))
        self._total += amount

    def since(self, start: float) -> float:
        """The sum of what came after ``start``; what is older is dropped for good."""
        while self._items and self._items[0][0] <= start:
            self._total -= self._items.popleft()[1]
        return self._total if self._items else 0.0


class Flow:
    """How much is added a second, over some time."""

    def __init__(self, now: float, over: float) -> None:
        self._over, self._began, self._at, self._sum = over, now, now, 0.0

    def add(self, now: float, amount: float) -> None:
        """Add an amount."""
        self._sum, self._at = self._sum * exp((self._at - now) / self._over) + amount, now

    def rate(self, now: float) -> float:
        """The mean of what was added a second; at first over two seconds, or its time."""
        seen = self._over * (1.0 - exp((self._began - now) / self._over))
        return self._sum * exp((self._at - now) / self._over) / max(min(2.0, self._over), seen)


class Bucket:
    """A token bucket."""

    def __init__(self, rate: float, depth: float, now: float) -> None:
        self._rate, self._depth, self._tokens, self._filled = rate, depth, depth, now

    def take(self, now: float, spend: float) -> bool:
        """Tell whether there is a token, and spend so much of it."""
        self._tokens = min(self._depth, self._tokens + self._rate * (now - self._filled))
        self._filled = now
        if self._tokens < 1.0:
            return False
        self._tokens -= spend
        return True


class Share(Bucket):
    """A gateway's part of what a tenant may ask for, and how much the tenant does ask."""

    def __init__(self, part: float, depth: float, now: float, over: float) -> None:
        super().__init__(part, depth, now)
        self.part, self._requests = part, Flow(now, over)

    def take(self, now: float, spend: float) -> bool:
        """Count a first try in, and tell whether it is within the share."""
        self._requests.add(now, float(spend > 0.0))  # repeats come of refusals, to all gateways at once
        return super().take(now, spend)

    def busier(self, now: float) -> float:
        """What is asked, over the part."""
        return self._requests.rate(now) / self.part if self.part else 1.0


class Flows(dict[int | None, Flow]):
    """Flows of what was named last, and no more than so many: names are ever new."""

    def __init__(self, over: float, most: int) -> None:
        super().__init__()
        self._over, self._most = over, most

    def at(self, name: int | None, now: float) -> Flow:
        """The flow of a name, which is the latest from now on."""
        flow = self[name] = self.pop(name, Flow(now, self._over))
        if len(self) > self._most:
            del self[next(iter(self))]
        return flow
