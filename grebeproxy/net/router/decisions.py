"""Passes events to the decision module and carries out the actions that it decides on."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Protocol

from grebeproxy.net.events import LogLine
from grebeproxy.net.messages import Failed, Rejected
from grebeproxy.net.router.admin import Admin
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.policy import interface as api


class DecisionModule(Protocol):
    """A decision module, which turns events into actions."""

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take the events since the last call, in order, and return actions. ``now`` is in seconds."""


# Creates a decision module from the settings, the current time in seconds, and a random seed.
DecisionModuleFactory = Callable[[api.Settings, float, int], DecisionModule]


class Decisions(Admin):
    """Passes events to the decision module and carries out the actions that it decides on."""

    def __init__(
        self, options: RouterOptions, now: float, make_decision_module: DecisionModuleFactory
    ) -> None:
        super().__init__(options, now)
        self._decision_module = make_decision_module(self.settings, now, options.seed)
        self._next_decision_at = now

    def _decide_if_due(self) -> None:
        """Pass the events since the last round to the decision module, at most once per ``settings.tick``."""
        if self._module_events and self.now >= self._next_decision_at:
            self._next_decision_at = self.now + self.settings.tick
            events, self._module_events = self._module_events, []
            for action in self._decide(events):
                self._carry_out(action)

    def _decide(self, events: list[api.Event]) -> list[api.Action]:
        """Ask the decision module for actions.

        If the module raises an exception, the router goes on, and ``_fail_overdue`` answers the open
        requests.
        """
        try:
            return self._decision_module.handle(self.now, events)
        except Exception:  # Any exception is caught, because open requests still have to be answered.
            self._effects.append(LogLine(f"router.decision_module.failed\n{traceback.format_exc()}"))
            return []

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.SetTimer():
                self._timers.add(self.now + action.delay, self._fire_module_timer, action.name)
            case api.Log():
                self._effects.append(LogLine(action.text))
            case _:
                self._carry_out_on_request(action)

    def _carry_out_on_request(self, action: api.Action) -> None:
        """Carry out an action on an open request: set its terms, answer it, or cancel its attempt."""
        match action:
            case api.SetTerms():
                if action.id in self._requests:
                    self._requests[action.id].memory_mb = action.memory_mb
            case api.Reject():
                if (request := self._requests.get(action.id)) is not None:
                    self._answer(request, Rejected(request.call.message_id, action.retry_after))
            case api.Fail():
                if (request := self._requests.get(action.id)) is not None:
                    self._answer(request, Failed(request.call.message_id))
            case api.Cancel():
                request = self._requests.get(action.id)
                if request and request.in_flight and request.in_flight.number == action.attempt:
                    self._abandon_attempt(request.in_flight, api.Outcome.CANCELLED)

    def _fire_module_timer(self, name: str) -> None:
        self._module_events.append(api.TimerFired(name))
