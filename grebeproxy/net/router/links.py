"""Connections to engines, and the end of what is out on them."""

from __future__ import annotations

from grebeproxy.net.events import CloseLink, LogLine, OpenLink, Write
from grebeproxy.net.messages import Run, ToEngine
from grebeproxy.net.router.answers import Answers
from grebeproxy.net.router.records import Attempt, Link, Place
from grebeproxy.policy import interface as api

SETTLE = 0.020  # a stop is on its way so long before its attempt counts as ended
# Of the engines' idle time-out: closing first keeps requests from crossing their close.
IDLE_TIMEOUT_FRACTION = 0.8


class Links(Answers):
    """Connections to engines, and the end of what is out on them."""

    def _end(self, attempt: Attempt, outcome: api.Outcome, settled: bool = False) -> None:
        """An attempt is over: the module hears of it once, however it ended."""
        if attempt.request.in_flight is not attempt:
            return
        if attempt.link is not None and attempt.written and not settled:
            attempt.request.abandoned_links.add(
                attempt.link.id
            )  # further pages, or the answer again, may still come
        self._detach(attempt)
        self._paged -= attempt.size
        attempt.request.in_flight = None
        self._report(attempt, outcome, settled)
        self._forget(attempt.request)

    def _report(self, attempt: Attempt, outcome: api.Outcome, settled: bool = False) -> None:
        self._pending.append(
            api.AttemptEnded(
                attempt.request.call.txn,
                attempt.engine,
                attempt.number,
                outcome,
                self.now - attempt.sent,
                settled=settled,
                load_report=attempt.report,
            )
        )

    def _link_for(self, attempt: Attempt) -> Link | None:
        """A connection that has room and cannot carry a late answer for the request, else a new one."""
        links = [
            link
            for link in self._engine_links.get(attempt.engine, ())
            if not link.retired
            and link.id not in attempt.request.abandoned_links
            and len(link.attempts) < self.limits.multiplex
        ]
        if links:
            return max(links, key=lambda link: (link.up and not link.paused, -link.id))
        if len(self._links) >= self._bounds.links:
            return None
        link = Link(next(self._numbers), attempt.engine, self.now, self.now, self.now)
        self._links[link.id] = link
        self._engine_links.setdefault(attempt.engine, []).append(link)
        self._effects.append(OpenLink(link.id, self._places[attempt.engine].address))
        self._at(self.now + self.limits.connect_timeout, self._check_open, link)
        self._at(self.now + IDLE_TIMEOUT_FRACTION * self.limits.idle_timeout, self._check_idle, link)
        return link

    def _check_answer_complete(self, link: Link, since: float) -> None:
        """Guards against answers that stop short or do not end: nothing that is behind them can come."""
        if link.answer_started_at == since and link.id in self._links:
            self._effects.append(LogLine(f"engine {link.engine}: an answer that stopped short"))
            self._drop(link)

    def _check_open(self, link: Link) -> None:
        if not link.up and link.id in self._links:
            self._drop(link)

    def _flush(self, link: Link) -> None:
        """Write what waits for the connection; while it is paused, nothing is buffered behind it.

        Called at the end of a step, when all that has come is known: a client's end, a drain, the time.
        """
        if not link.up or link.paused or link.id not in self._links:
            return
        waiting = []
        for attempt in [attempt for attempt in link.attempts.values() if not attempt.written]:
            if self.now < attempt.send_by:
                waiting.append(attempt)
            else:  # a repeat that waited for its connection longer than it is harmless
                self._end(attempt, api.Outcome.MOOT)
        if not waiting:
            return
        if link.id not in self._commands:
            link.unsent = []
        for attempt in waiting:
            attempt.written = True
            call = attempt.request.call
            self._command(
                link,
                Run(
                    call.txn,
                    call.cls,
                    attempt.until - self.now,
                    call.body,
                    call.token,
                    attempt.request.memory_mb,
                ),
            )
        link.unsent += waiting

    def _command(self, link: Link, *commands: ToEngine) -> None:
        if link.id in self._links:
            self._commands.setdefault(link.id, []).extend(commands)

    def _detach(self, attempt: Attempt) -> None:
        link, attempt.link = attempt.link, None
        if link is None or link.attempts.pop(attempt.request.call.txn, None) is None or link.attempts:
            return
        link.idle_since = self.now
        if link.retired:
            self._drop(link)

    def _check_idle(self, link: Link) -> None:
        """One timer for a connection's whole life; one for each time it falls idle would pile up."""
        if link.id not in self._links:
            return
        since = self.now if link.attempts else link.idle_since
        if self.now - since >= IDLE_TIMEOUT_FRACTION * self.limits.idle_timeout - 1e-6:
            self._drop(link)
        else:
            self._at(since + IDLE_TIMEOUT_FRACTION * self.limits.idle_timeout, self._check_idle, link)

    def _drop(self, link: Link, close: bool = True, local_shortage: bool = False) -> None:
        """End a connection. What was written to it may have run; what was not never did.

        ``local_shortage``: it could not be made for want of something on this machine.
        """
        if self._links.pop(link.id, None) is None:
            return
        self._engine_links[link.engine].remove(link)
        self._clear(link.engine)
        if close:
            if commands := self._commands.pop(link.id, None):
                self._effects.append(Write(link.id, tuple(commands)))
            self._effects.append(CloseLink(link.id))
        else:
            self._commands.pop(link.id, None)
        for attempt in list(link.attempts.values()):
            if not attempt.written:  # it never ran
                self._end(attempt, api.Outcome.FULL if local_shortage else api.Outcome.CONNECT_FAILED)
            else:
                # Guards against a next attempt, or the next in order, that is there before our closing is.
                # One that was stopped with a part unsent ends here too: nothing else would end it.
                attempt.stopped = True
                self._detach(attempt)
                self._at(self.now + SETTLE, self._end, attempt, api.Outcome.RESET)

    def _set_place(self, engine: str, place: Place) -> None:
        """An engine listens there from now on."""
        self._forget_place(engine)
        self._places[engine] = place
        # Guards the engine that has the address now against news of one that had it before.
        if not place.gone or place.address not in self._engine_at:
            self._engine_at[place.address] = engine

    def _forget_place(self, engine: str) -> None:
        """Nothing is known of where an engine listens any more."""
        place = self._places.pop(engine, None)
        if place is not None and self._engine_at.get(place.address) == engine:
            del self._engine_at[place.address]

    def _clear(self, engine: str) -> None:
        """Guards the memory: engines come under ever new ids, and nothing is to stay of those that went."""
        if not self._engine_links.get(engine):
            self._engine_links.pop(engine, None)
            if engine in self._places and self._places[engine].gone:
                self._forget_place(engine)

    def _retire(self, engine: str, drop: bool = False) -> None:
        for link in list(self._engine_links.get(engine, ())):
            link.retired = True
            # Guards against a send after the drain was announced: what is not written yet never will be.
            for attempt in [attempt for attempt in link.attempts.values() if not attempt.written]:
                self._end(attempt, api.Outcome.MOOT)
            if drop or not link.attempts:
                self._drop(link)
