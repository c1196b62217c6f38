"""All decisions of one gateway. Its types, events and actions are in ``grebeproxy/policy/interface.py``."""

from random import Random

import grebeproxy.policy.interface as api
from grebeproxy.policy.health import PROBATION
from grebeproxy.policy.learned import Share
from grebeproxy.policy.lifecycle import Lifecycle
from grebeproxy.policy.placement import BOUND
from grebeproxy.policy.release import GAP_MARGIN
from grebeproxy.policy.rules import SLOTS

HOMES_OVER, MOST_SETS = 15.0, 1024  # seconds over which loads of a data set are counted, and of how many sets


class Choice(Lifecycle):
    """The decisions of one gateway; ``handle`` takes what happened and gives what to do."""

    def __init__(self, settings: api.Settings, now: float, seed: int) -> None:
        super().__init__(now, HOMES_OVER, MOST_SETS)
        self._retune(settings)
        self.rng = Random(seed + self.many * settings.index)  # told one seed, many would choose alike
        self.watch_at = now if settings.polls_engine_list else float("inf")

    def _retune(self, settings: api.Settings) -> None:
        """Go by these settings from now on; what was learned stays as far as it means the same."""
        self.s, self.widest = settings, max(c.threads for c in settings.classes)
        # Many: one's share of an engine is less than a query, and tells little of what others do there.
        self.many = settings.balancers * self.widest > BOUND * min(kind.cores for kind in settings.kinds)
        order = sorted(settings.classes, key=lambda c: (c.latency_objective, c.deadline))  # tightest first
        self.patience = (
            sum(c.latency_objective for c in order) / len(order) / 2
        )  # backlog that is held at full load
        # This gateway's part of each tenant's allowance; a second deep, and what chance arrivals add to that.
        parts = {t.name: t.allowance / settings.balancers for t in settings.tenants}
        self.shared({n: Share(a, 1.0 + a + 2.0 * a**0.5, self.now, HOMES_OVER) for n, a in parts.items()})
        self.ranked(
            order,
            [c.latency_objective * c.threads / (2 + c.objective_stretch) for c in order],
            settings.kinds,
        )
        self.weight = [(self.last - i) / max(1, self.last) for i in range(len(order))]
        self.gap = GAP_MARGIN * max(1, self.last)  # urgency grows by 1 in the tightest class's deadline
        self.pause = max(settings.tick, self.tight.latency_objective / 16)
        own_zone = [(frozenset({settings.zone}), None)] if len(settings.zones) > 1 else []
        self.seated([*own_zone, *((c.allowed_zones, c.allowed_kinds) for c in order)])
        self.slot = (settings.rules.overload_time or 1.0) / SLOTS

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take the events of one moment, in order, and decide."""
        self.now, self.out = now, []
        if any(self.held) or any(isinstance(event, api.Query) for event in events):
            self._survey()
        for event in events:
            if isinstance(event, api.Query):
                self._take(event)
            elif isinstance(event, api.AttemptEnded):
                self._ended(event)
            elif isinstance(event, api.EngineList) and event.how is api.ListKind.FAILED:
                self.watch_at = now + (self.s.rules.list_max_age or 1.0) / 4
            elif isinstance(event, api.EngineList):
                self.listed(event)
            elif isinstance(event, api.ManualOverridesChanged):
                self.handed(event.engines)
            elif isinstance(event, api.SettingsChanged):
                self._retune(event.settings)
            elif isinstance(event, api.Progress):
                self.progressed(event)
            elif isinstance(event, api.HealthCheckEnded) and event.engine in self.nodes:
                e = self.nodes[event.engine]
                e.probed(now, event.latency if event.outcome is api.Outcome.OK else float("inf"), self.pause)
                if e.probe < self.pause and e.ejected_at is not None and not e.unreachable:
                    e.ejected_at, e.faults, e.slow = None, PROBATION, self.pool
            elif isinstance(event, api.ClientDisconnected) and event.id in self.jobs:
                self.close(self.jobs[event.id])
            if self.refit:
                self._survey()
        if now >= self.watch_at:
            self.watch_at = float("inf")
            self.out.append(api.Watch(True))
        if any(isinstance(event, api.TimerFired) for event in events):
            self.armed = False
            self._sweep()
        self._release()
        if not self.armed and (self.jobs or self.watch_at < float("inf")):
            self.armed = True
            self.out.append(api.SetTimer("sweep", self.pause if any(self.held) else 4 * self.pause))
        return self.out
