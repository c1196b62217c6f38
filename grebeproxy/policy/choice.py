"""All decisions of one router. Settings, events and actions are in ``grebeproxy/policy/interface.py``."""

from random import Random

import grebeproxy.policy.interface as api
from grebeproxy.policy.estimators import TenantQuota
from grebeproxy.policy.health import PROBATION_FAULT_RATE
from grebeproxy.policy.lifecycle import Lifecycle
from grebeproxy.policy.placement import MAX_THREADS_PER_CORE
from grebeproxy.policy.release import PRIORITY_GAP_MARGIN
from grebeproxy.policy.rules import SLOTS_PER_WINDOW

DATA_SET_RATE_TIME = 15.0  # seconds over which the rates of data sets and tenants are averaged
MAX_DATA_SETS = 1024  # data sets whose rates are kept
SWEEPS_PER_OBJECTIVE = 16  # sweeps per latency objective of the tightest class, while queries are queued
IDLE_SWEEP_INTERVALS = 4  # sweep intervals between two sweeps while no query is queued


class Choice(Lifecycle):
    """The decisions of one router: ``handle`` takes events and returns the actions to carry out."""

    def __init__(self, settings: api.Settings, now: float, seed: int) -> None:
        """Start at clock time ``now``; all routers may be given the same seed."""
        super().__init__(now, DATA_SET_RATE_TIME, MAX_DATA_SETS)
        self._apply_settings(settings)
        # With the same random numbers, many routers would make the same choices at the same time.
        self.random = Random(seed + self.many_routers * settings.index)
        self.watch_at = now if settings.polls_engine_list else float("inf")

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Process events that come at the same time, in order, and return the actions in order."""
        self.now, self.actions = now, []
        if any(self.queues) or any(isinstance(event, api.Query) for event in events):
            self._refresh_engines()
        for event in events:
            self._handle_event(event)
            if self.subset_stale:
                self._refresh_engines()
        if now >= self.watch_at:
            self.watch_at = float("inf")
            self.actions.append(api.Watch(True))
        if any(isinstance(event, api.TimerFired) for event in events):
            self.timer_armed = False
            self._sweep()
        self._release()
        if not self.timer_armed and (self.queries or self.watch_at < float("inf")):
            self.timer_armed = True
            intervals = 1 if any(self.queues) else IDLE_SWEEP_INTERVALS
            self.actions.append(api.SetTimer("sweep", intervals * self.sweep_interval))
        return self.actions

    def _handle_event(self, event: api.Event) -> None:
        """Process one event. An event that no case matches needs no decision."""
        match event:
            case api.Query():
                self._accept(event)
            case api.AttemptEnded():
                self._attempt_ended(event)
            case api.Progress():
                self.record_progress(event)
            case api.HealthCheckEnded():
                self._health_check_ended(event)
            case api.ClientDisconnected():
                if event.id in self.queries:
                    self.close(self.queries[event.id])
            case api.EngineList():
                self._engine_list_received(event)
            case api.ManualOverridesChanged():
                self.apply_overrides(event.engines)
            case api.SettingsChanged():
                self._apply_settings(event.settings)

    def _engine_list_received(self, event: api.EngineList) -> None:
        """Apply the list; after a failed poll, ask again well before the known list is too old."""
        if event.list_kind is api.ListKind.FAILED:
            self.watch_at = self.now + (self.settings.rules.list_max_age or 1.0) / 4
        else:
            self.apply_engine_list(event)

    def _health_check_ended(self, event: api.HealthCheckEnded) -> None:
        """Record a health check; a quick answer ends the ejection of an engine, on probation."""
        engine = self.engines.get(event.engine)
        if engine is None:
            return
        latency = event.latency if event.outcome is api.Outcome.OK else float("inf")
        quick = latency < self.sweep_interval
        engine.record_health_check(self.now, latency, quick)
        if quick and engine.ejected_at is not None and not engine.unreachable:
            engine.ejected_at, engine.fault_rate = None, PROBATION_FAULT_RATE
            engine.slowdown = self.fleet_slowdown

    def _apply_settings(self, settings: api.Settings) -> None:
        """Use these settings from now on; keep learned values that still mean the same under them."""
        self.settings = settings
        self.max_class_threads = max(cls.threads for cls in settings.classes)
        # With many routers, a router's share of an engine is less than a query, and its own attempts tell
        # little about what the others send to that engine.
        smallest = min(kind.cores for kind in settings.kinds)
        self.many_routers = settings.balancers * self.max_class_threads > MAX_THREADS_PER_CORE * smallest
        classes = sorted(settings.classes, key=lambda cls: (cls.latency_objective, cls.deadline))
        self.max_backlog = sum(cls.latency_objective for cls in classes) / len(classes) / 2
        rates = {tenant.name: tenant.allowance / settings.balancers for tenant in settings.tenants}
        self.set_quotas({t: TenantQuota(rate, self.now, DATA_SET_RATE_TIME) for t, rate in rates.items()})
        # For each class the work at which a query takes at most half of its latency objective.
        initial_work = [c.latency_objective * c.threads / (2 + c.objective_stretch) for c in classes]
        self.set_classes(classes, initial_work, settings.kinds)
        ranks = range(len(classes))
        self.rank_weight = [(self.lowest_rank - rank) / max(1, self.lowest_rank) for rank in ranks]
        self.priority_gap = PRIORITY_GAP_MARGIN * max(1, self.lowest_rank)
        self.sweep_interval = max(settings.tick, self.min_objective / SWEEPS_PER_OBJECTIVE)
        own_zone = [(frozenset({settings.zone}), None)] if len(settings.zones) > 1 else []
        self.set_positions([*own_zone, *((cls.allowed_zones, cls.allowed_kinds) for cls in classes)])
        self.warmup_slot_time = (settings.rules.overload_time or 1.0) / SLOTS_PER_WINDOW
