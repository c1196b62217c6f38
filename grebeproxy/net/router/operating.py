"""What operators ask for: manual overrides, drains, other settings, the end."""

from __future__ import annotations

from typing import NamedTuple

from grebeproxy.net import admission
from grebeproxy.net.events import CloseAdmin, LogLine, SaveOverrides
from grebeproxy.net.manual_overrides import Calls
from grebeproxy.net.messages import (
    Active,
    AdminCall,
    Failed,
    Rejected,
    Standby,
    Status,
    MaintenanceOff,
    MaintenanceOn,
)
from grebeproxy.net.router.base import deadlines
from grebeproxy.net.router.clients import OVERDUE
from grebeproxy.net.router.discovery import Discovery
from grebeproxy.policy import interface as api
from grebeproxy.settings import WireLimits

ACCEPT_AFTER_STOP, SERVE_AFTER_STOP = 0.5, 0.7  # seconds; new connections come for 0.4 of them
# From a stop until it is forced: the longest deadline, but no more than 3 s of it, or 5 s where another
# process takes over, and 0.7 s more. What would be answered later than that, with some margin, is not taken.
MIN_REMAINING = 0.25  # seconds; with less left nothing is taken any more
KILL_ALONE, KILL_SHARED, KILL_AFTER = 3.0, 5.0, 0.6


class AdminReply(NamedTuple):
    """The answer to an operator's call: whether it was carried out, and the text sent back."""

    done: bool
    text: str


class Operating(Discovery):
    """What operators ask for: manual overrides, drains, other settings, the end."""

    def _retune(self, settings: api.Settings, limits: WireLimits) -> None:
        """Other settings hold; requests under way keep their class, their deadline and their attempt."""
        self.limits = limits
        if settings != self.settings:
            self.settings, self._deadlines = settings, deadlines(settings)
            self._pending.append(api.SettingsChanged(settings))
            self._effects.append(LogLine("other settings hold"))

    def _on_admin_opened(self, conn: int) -> None:
        if len(self._admins) >= admission.MAX_ADMIN_CONNECTIONS:
            self._close_admin(next(iter(self._admins)))
        self._admins[conn] = self.now
        self._at(self.now + admission.ADMIN_CALL_TIMEOUT, self._close_admin, conn)

    def _close_admin(self, conn: int) -> None:
        if self._admins.pop(conn, None) is not None:
            self._effects.append(CloseAdmin(conn))

    def _on_admin_call(self, call: AdminCall) -> AdminReply:
        """Carry out an operator's call; says whether it was done, and the text of its answer."""
        match call:
            case Status():
                taking = self._listening and not self._stopping
                return AdminReply(taking, "serving" if taking and not self._draining() else "not serving")
            case MaintenanceOn(engine) | MaintenanceOff(engine):
                place = self._places.get(engine)
                if engine not in self._overrides.disabled() and (place is None or place.gone):
                    return AdminReply(False, "no such engine")
                done = self._overrides.set(engine, isinstance(call, MaintenanceOn))
                self._effects.append(SaveOverrides(dict(self._overrides.calls)))
                self._apply_overrides()
                return AdminReply(done, "done" if done else "too many engines are out")
            case Standby():
                if self._standby_since is None:
                    self._standby_since = self.now
                    self._accept_until = min(self._accept_until, self.now + admission.DRAIN_ACCEPT_PERIOD)
                return AdminReply(True, "clients are sent away")
            case Active() if not self._stopping:
                self._standby_since, self._accept_until = None, float("inf")
                return AdminReply(True, "clients may come")
        return AdminReply(False, "stopping" if isinstance(call, Active) else "not a call")

    def _merge_overrides(self, calls: Calls) -> None:
        self._overrides.merge(calls)
        if self._overrides.calls != calls:
            self._effects.append(SaveOverrides(dict(self._overrides.calls)))
        self._apply_overrides()

    def _apply_overrides(self) -> None:
        """Act on what operators set, where it has changed."""
        disabled = self._overrides.disabled()
        if disabled == self._disabled_engines:
            return
        self._effects.append(LogLine(f"out by hand: {' '.join(sorted(disabled)) or 'none'}"))
        for engine in disabled - self._disabled_engines:
            self._retire(engine)
        self._disabled_engines = disabled
        self._pending.append(api.ManualOverridesChanged(disabled))

    def _stop(self) -> None:
        """Leave: clients are moved off between requests, what was taken is answered, then it ends."""
        self._stopping = True
        longest = max(self._deadlines.values())
        forced = min(longest, KILL_SHARED if self._shared else KILL_ALONE)
        last_due = self.now + forced + KILL_AFTER - OVERDUE
        self._accept_until = min(self._accept_until, last_due - MIN_REMAINING)
        self._at(last_due, self._answer_all)
        if self._shared:  # what nobody has taken yet is there for whoever takes over
            self._stop_listening()
        else:
            self._at(self.now + ACCEPT_AFTER_STOP, self._stop_listening)
        self._at(self.now + SERVE_AFTER_STOP, self._end_when_answered)

    def _answer_all(self) -> None:
        """Guards what was taken before the stop, and is allowed longer than the program has left."""
        safe = {cls.name for cls in self.settings.classes if cls.idempotency is api.Idempotency.IDEMPOTENT}
        for request in [request for request in self._requests.values() if request.owed]:
            msg, later = request.call.msg, self.settings.max_retry_after
            self._answer(request, Rejected(msg, later) if request.call.cls in safe else Failed(msg))
            self._abandon(request)

    def _end_when_answered(self) -> None:
        self._exit_when_answered = True
