"""What operators ask for: engines out by hand, drains, other settings, the end."""

from __future__ import annotations

from grebeproxy.net import admission
from grebeproxy.net.events import CloseDoor, Note, SaveHands
from grebeproxy.net.hands import Calls
from grebeproxy.net.messages import Active, DoorCall, Failed, Refused, Standby, Status, TakeBack, TakeOut
from grebeproxy.net.router.base import deadlines
from grebeproxy.net.router.clients import OVERDUE
from grebeproxy.net.router.discovery import Discovery
from grebeproxy.policy import interface as api
from grebeproxy.settings import WireLimits

ACCEPT_AFTER_STOP, SERVE_AFTER_STOP = 0.5, 0.7  # seconds; new connections come for 0.4 of them
# From a stop until it is forced: the longest deadline, but no more than 3 s of it, or 5 s where another
# process takes over, and 0.7 s more. What would be answered later than that, with some margin, is not taken.
LEAST_LIMIT = 0.25  # seconds; with less left nothing is taken any more
KILL_ALONE, KILL_SHARED, KILL_AFTER = 3.0, 5.0, 0.6


class Operating(Discovery):
    """What operators ask for: engines out by hand, drains, other settings, the end."""

    def _retune(self, settings: api.Settings, limits: WireLimits) -> None:
        """Other settings hold; requests under way keep their class, their deadline and their attempt."""
        self.limits = limits
        if settings != self.settings:
            self.settings, self._deadlines = settings, deadlines(settings)
            self._pending.append(api.Retuned(settings))
            self._effects.append(Note("other settings hold"))

    def _open_door(self, conn: int) -> None:
        if len(self._doors) >= admission.MOST_DOORS:
            self._close_door(next(iter(self._doors)))
        self._doors[conn] = self.now
        self._at(self.now + admission.DOOR_PATIENCE, self._close_door, conn)

    def _close_door(self, conn: int) -> None:
        if self._doors.pop(conn, None) is not None:
            self._effects.append(CloseDoor(conn))

    def _on_call(self, call: DoorCall) -> tuple[bool, str]:
        """Whether a call was carried out, and a word on it."""
        match call:
            case Status():
                taking = self._listening and not self._stopping
                return taking, "serving" if taking and not self._leaving() else "not serving"
            case TakeOut(engine) | TakeBack(engine):
                place = self._places.get(engine)
                if engine not in self._hands.out() and (place is None or place.gone):
                    return False, "no such engine"
                done = self._hands.set(engine, isinstance(call, TakeOut))
                self._effects.append(SaveHands(dict(self._hands.calls)))
                self._handed()
                return done, "done" if done else "too many engines are out"
            case Standby():
                if self._drained is None:
                    self._drained = self.now
                    self._takes_until = min(self._takes_until, self.now + admission.DRAIN_TAKES)
                return True, "clients are sent away"
            case Active() if not self._stopping:
                self._drained, self._takes_until = None, float("inf")
                return True, "clients may come"
        return False, "stopping" if isinstance(call, Active) else "not a call"

    def _merge_hands(self, calls: Calls) -> None:
        self._hands.merge(calls)
        if self._hands.calls != calls:
            self._effects.append(SaveHands(dict(self._hands.calls)))
        self._handed()

    def _handed(self) -> None:
        """What operators set has changed, or was set again."""
        out = self._hands.out()
        if out == self._told_out:
            return
        self._effects.append(Note(f"out by hand: {' '.join(sorted(out)) or 'none'}"))
        for engine in out - self._told_out:
            self._retire(engine)
        self._told_out = out
        self._pending.append(api.ByHand(out))

    def _stop(self) -> None:
        """Leave: clients are moved off between requests, what was taken is answered, then it ends."""
        self._stopping = True
        longest = max(self._deadlines.values())
        forced = min(longest, KILL_SHARED if self._shared else KILL_ALONE)
        last_due = self.now + forced + KILL_AFTER - OVERDUE
        self._takes_until = min(self._takes_until, last_due - LEAST_LIMIT)
        self._at(last_due, self._answer_all)
        if self._shared:  # what nobody has taken yet is there for whoever takes over
            self._stop_listening()
        else:
            self._at(self.now + ACCEPT_AFTER_STOP, self._stop_listening)
        self._at(self.now + SERVE_AFTER_STOP, self._end_when_answered)

    def _answer_all(self) -> None:
        """Guards what was taken before the stop, and is allowed longer than the program has left."""
        safe = {cls.name for cls in self.settings.classes if cls.effect is api.Effect.SAFE}
        for request in [request for request in self._requests.values() if request.owed]:
            msg, later = request.call.msg, self.settings.max_retry_after
            self._answer(request, Refused(msg, later) if request.call.cls in safe else Failed(msg))
            self._abandon(request)

    def _end_when_answered(self) -> None:
        self._ending = True
