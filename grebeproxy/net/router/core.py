"""The lowest layer of the router: the current time, settings, timers, and the outputs of a step."""

from __future__ import annotations

from dataclasses import replace
from itertools import count

from grebeproxy.net.events import Effect
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.net.router.timer_queue import TimerQueue
from grebeproxy.policy import interface as api

TIMER_TOLERANCE = 1e-6  # seconds by which a timer may fire too early, because of rounding


def socket_settings(settings: api.Settings) -> api.Settings:
    """Return the settings without features that don't exist on sockets.

    Those are the decision module's health checks, gossip and polling of the engine list.
    """
    return replace(settings, may_health_check=False, may_gossip=False, polls_engine_list=False)


def deadlines_by_class(settings: api.Settings) -> dict[str, float]:
    """Return the deadline of each query class by name: the longest time that its clients wait, in seconds."""
    return {query_class.name: query_class.deadline for query_class in settings.classes}


class Core:
    """Holds the settings, the current time, timers, and the outputs of a step.

    ``_effects`` are returned to the runtime at the end of the step. ``_module_events`` are passed to the
    decision module in its next round.
    """

    def __init__(self, options: RouterOptions, now: float) -> None:
        self.settings = socket_settings(options.settings)
        self.limits = options.limits
        self.now = now
        self._bounds = options.bounds
        self._deadlines = deadlines_by_class(self.settings)
        self._numbers = count(1)  # the numbers that timers and connections to engines get
        self._timers = TimerQueue(self._numbers)
        self._effects: list[Effect] = []
        self._module_events: list[api.Event] = []
        self._sockets_read = False  # whether this step includes all input that was waiting on sockets
