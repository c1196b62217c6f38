"""Decaying sums and averages that estimate costs and traffic. They make no decisions."""

from __future__ import annotations

from collections import deque
from math import exp

MIN_RATE_TIME = 2.0  # shortest time in seconds to average a rate over, so that one query is no burst


class CostCorrection:
    """Correction of estimated costs by the ratio of actual to estimated costs, as decaying sums."""

    def __init__(self) -> None:
        self.actual = 0.0
        self.estimated = 0.0
        self.spread = 0.0  # mean relative error of corrected estimates

    def learn(self, actual: float, estimated: float, retention: float) -> None:
        """Learn the actual cost of one query; ``retention`` is the weight of what was learned before."""
        self.spread = retention * self.spread + (1 - retention) * abs(actual / self.correct(estimated) - 1.0)
        self.actual = retention * self.actual + actual
        self.estimated = retention * self.estimated + estimated

    def correct(self, estimate: float) -> float:
        """Return the corrected estimate; ``estimate`` itself counts as one more query with just that cost."""
        return estimate * (self.actual + estimate) / (self.estimated + estimate)


class MajorityVote:
    """The value seen most often, within a tolerance, by the Boyer-Moore majority vote."""

    def __init__(self) -> None:
        self.value = 0.0
        self.votes = 0

    def agrees(self, value: float, tolerance: float) -> bool:
        """Count a value, and return whether it agrees with the majority."""
        if not self.votes:
            self.value = value
        same = abs(value - self.value) < tolerance
        self.votes += 1 if same else -1
        return same


class SlidingSum:
    """The sum of amounts that were added within a sliding window of time."""

    def __init__(self) -> None:
        self._amounts: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add an amount at clock time ``now``."""
        self._amounts.append((now, amount))
        self._total += amount

    def since(self, start: float) -> float:
        """Return the sum of what was added after ``start``; older amounts are dropped for good."""
        while self._amounts and self._amounts[0][0] <= start:
            self._total -= self._amounts.popleft()[1]
        return self._total if self._amounts else 0.0


class DecayingRate:
    """The amount added per second, averaged with exponential decay."""

    def __init__(self, now: float, decay_time: float) -> None:
        self._decay_time = decay_time
        self._started_at = now
        self._updated_at = now
        self._sum = 0.0

    def add(self, now: float, amount: float) -> None:
        """Add an amount at clock time ``now``."""
        self._sum = self._sum * exp((self._updated_at - now) / self._decay_time) + amount
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the mean amount per second, over at least two seconds (or the decay time if shorter)."""
        seen = self._decay_time * (1.0 - exp((self._started_at - now) / self._decay_time))
        decayed = self._sum * exp((self._updated_at - now) / self._decay_time)
        return decayed / max(min(MIN_RATE_TIME, self._decay_time), seen)


class TokenBucket:
    """A token bucket: ``rate`` tokens a second, at most ``depth`` at once; it starts full."""

    def __init__(self, rate: float, depth: float, now: float) -> None:
        self.rate = rate
        self._depth = depth
        self._tokens = depth
        self._filled_at = now

    def take(self, now: float, spend: float) -> bool:
        """Return whether there is a token, and spend ``spend`` tokens if so."""
        self._tokens = min(self._depth, self._tokens + self.rate * (now - self._filled_at))
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= spend
        return True


class TenantQuota(TokenBucket):
    """A router's part of a tenant's quota, and the rate of the tenant's queries at this router.

    The bucket's depth is one query, plus the queries of a second, plus two standard deviations of as many
    random arrivals.
    """

    def __init__(self, rate: float, now: float, decay_time: float) -> None:
        super().__init__(rate, 1.0 + rate + 2.0 * rate**0.5, now)
        self._requests = DecayingRate(now, decay_time)

    def take(self, now: float, spend: float) -> bool:
        """Count a query, and return whether it is within the quota; ``spend`` is 0 for a client's retry."""
        # Retries are not counted as traffic: after a rejection they come to all routers at once.
        self._requests.add(now, float(spend > 0.0))
        return super().take(now, spend)

    def demand_ratio(self, now: float) -> float:
        """Return the queries per second over the quota's rate."""
        return self._requests.rate(now) / self.rate if self.rate else 1.0


class RecentRates(dict[int | None, DecayingRate]):
    """Rates of the names used last. Their number is bounded, because new names keep coming."""

    def __init__(self, decay_time: float, max_names: int) -> None:
        super().__init__()
        self._decay_time = decay_time
        self._max_names = max_names

    def most_recent(self, name: int | None, now: float) -> DecayingRate:
        """Return the rate of a name, which becomes the name used last."""
        rate = self[name] = self.pop(name, DecayingRate(now, self._decay_time))
        if len(self) > self._max_names:
            del self[next(iter(self))]
        return rate
