"""The engines that one of many routers works with: a window of an order that all routers agree on."""

from grebeproxy.policy.health import Health

MIN_WINDOW = 16  # minimum number of engines of a router; not many more, as connections cost
WINDOW_FACTOR = 3.0  # size of a window over a router's share of all engines, if above MIN_WINDOW
MAX_TRAFFIC_RATIO = 8.0  # upper limit of a router's assumed traffic over that of the mean router
WINDOW_HYSTERESIS = 0.2  # relative change of the wanted size from which the window is chosen anew
WIDEN_BELOW = 0.5  # the window is extended if less than this fraction of it is reliable
NARROW_ABOVE = 0.75  # the extension shrinks if this fraction of the window is reliable without it
MAX_EXTENSION = 3.0  # upper limit of the extension, in sizes of the window


class Subset(Health):
    """Which engines a router works with. Decisions on queries depend only on these engines."""

    def _choose_subset(self) -> None:
        """Choose all engines, or with many routers a window that is extended while few are reliable."""
        if not self.many_routers:
            if self.subset_stale:
                self.use_all_engines()
            return
        # The minimum over all tenants is taken, as the traffic of one tenant may be a burst.
        demand_ratio = min((quota.demand_ratio(self.now) for quota in self.quotas.values()), default=1.0)
        self.traffic_ratio = min(MAX_TRAFFIC_RATIO, max(1.0, demand_ratio))
        base = round(max(MIN_WINDOW, WINDOW_FACTOR * len(self.rings[0]) / self.settings.balancers))
        if abs(base * self.traffic_ratio - self.window_size) > WINDOW_HYSTERESIS * self.window_size:
            self.window_size, self.subset_stale = round(base * self.traffic_ratio), True
        if not self.subset_stale:
            self._adjust_extension()
        if self.subset_stale:
            # Routers share the budgets of warming engines within the base, which has the same size for all.
            self.use_window(base)

    def _adjust_extension(self) -> None:
        """Extend the window in the agreed order while few engines are reliable, and shorten it afterwards."""
        reliable = {
            engine.entry.id
            for engine in self.usable_engines
            if engine.ejected_at is None and not self._warming_up(engine)
        }
        size = self.window_size
        step, beyond = max(1, size // 2), len(self.rings[0]) - size
        wanted = size + min(0, beyond)
        longest = min(MAX_EXTENSION * size, beyond)
        if len(reliable) < WIDEN_BELOW * wanted and self.window_extension < longest:
            self.window_extension += step
            self.subset_stale = True
        elif self.window_extension:
            without_last_step = reliable.difference(self.extension_engines[-step:])
            if len(without_last_step) >= NARROW_ABOVE * wanted:
                self.window_extension = max(0, self.window_extension - step)
                self.subset_stale = True
