"""The lowest layer of the router: the clock of the step, settings, timers, and the outputs of a step."""

from __future__ import annotations

from dataclasses import replace
from itertools import count

from grebeproxy.net.events import Effect
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.net.router.timer_queue import TimerQueue
from grebeproxy.policy import interface as api

TIMER_TOLERANCE = 1e-6  # seconds by which rounding may make a timer fire before the time it was set for


def socket_settings(settings: api.Settings) -> api.Settings:
    """Settings without what has no form on sockets: health checks, gossip and polling the engine list."""
    return replace(settings, may_health_check=False, may_gossip=False, polls_engine_list=False)


def deadlines_by_class(settings: api.Settings) -> dict[str, float]:
    """The longest time that clients of each query class wait, in seconds."""
    return {query_class.name: query_class.deadline for query_class in settings.classes}


class Core:
    """Settings, the current time, timers, and what the step hands out.

    ``_effects`` go to the runtime at the end of the step, ``_module_events`` to the decision module in its
    next round.
    """

    def __init__(self, options: RouterOptions, now: float) -> None:
        self.settings = socket_settings(options.settings)
        self.limits = options.limits
        self.now = now
        self._bounds = options.bounds
        self._deadlines = deadlines_by_class(self.settings)
        self._numbers = count(1)  # of timers and of connections to engines
        self._timers = TimerQueue(self._numbers)
        self._effects: list[Effect] = []
        self._module_events: list[api.Event] = []
        self._sockets_read = False  # whether all input that waited on sockets is part of this step
