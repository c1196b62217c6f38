"""The engines that one of many gateways works with: a window of an order that all gateways agree on."""

from grebeproxy.policy.health import Health

SIZE, ROOMY = 16, 3.0  # engines that a gateway works with, or so many times its part: connections cost
MOST_PART, SETTLED = 8.0, 0.2  # times the mean traffic that it takes itself to have; a change that counts
FEW, ENOUGH, WIDEST = 0.5, 0.75, 3.0  # of the size: reliable ones that are too few, or enough; most beyond


class Subset(Health):
    """Which engines a gateway works with. What is decided for a query depends on them alone."""

    def _choose_subset(self) -> None:
        """All engines; where gateways are many, a window that is wider while few in it are reliable."""
        if self.many:
            # Busier than the mean as far as with every tenant: one may have a burst.
            busier = min((share.busier(self.now) for share in self.shares.values()), default=1.0)
            self.part = min(MOST_PART, max(1.0, busier))
            base = round(max(SIZE, ROOMY * len(self.rings[0]) / self.s.balancers))
            if abs(base * self.part - self.size) > SETTLED * self.size:
                self.size, self.refit = round(base * self.part), True
            if not self.refit:
                self._widen()
            if self.refit:  # what cold engines may get is dealt within the base, which all have alike
                self.take_window(base)
        elif self.refit:
            self.take_all()

    def _widen(self) -> None:
        """Take in more while few are reliable, in the agreed order, and let go of them while enough are."""
        reliable = {e.entry.id for e in self.up if e.ejected_at is None and not self._warming_up(e)}
        step, left = max(1, self.size // 2), len(self.rings[0]) - self.size
        wanted = self.size + min(0, left)
        if len(reliable) < FEW * wanted and self.widening < min(WIDEST * self.size, left):
            self.widening, self.refit = self.widening + step, True
        elif self.widening and len(reliable.difference(self.spare[-step:])) >= ENOUGH * wanted:
            self.widening, self.refit = max(0, self.widening - step), True
