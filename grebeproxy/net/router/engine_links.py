"""Connections to engines: opened, written to and closed, and the attempts that end with them."""

from __future__ import annotations

from grebeproxy.net.events import CloseLink, LogLine, OpenLink, Write
from grebeproxy.net.log_line import log_line
from grebeproxy.net.messages import Run, ToEngine
from grebeproxy.net.router.core import TIMER_TOLERANCE
from grebeproxy.net.router.engine_table import EngineTable
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.net.router.records import Attempt, Link
from grebeproxy.policy import interface as api

STOP_TRANSIT = 0.020  # seconds that a stop command, or a close, is given to reach the engine
# Of the engines' idle time-out. Closing before the engine does keeps requests from crossing its close.
IDLE_TIMEOUT_FRACTION = 0.8


class EngineLinks(EngineTable):
    """Connections to engines: opened, written to and closed, and the attempts that end with them."""

    def __init__(self, options: RouterOptions, now: float) -> None:
        super().__init__(options, now)
        self._commands: dict[int, list[ToEngine]] = {}  # to be written at the end of the step
        self._links_to_flush: dict[int, Link] = {}  # may carry attempts that are not written yet

    # --- the end of an attempt

    def _end_attempt(self, attempt: Attempt, outcome: api.Outcome, settled: bool = False) -> None:
        """Record that an attempt is over, and report it to the decision module; later calls do nothing."""
        request = attempt.request
        if request.in_flight is not attempt:
            return
        if attempt.link is not None and attempt.written and not settled:
            request.abandoned_links.add(attempt.link.id)  # pages, or a second answer, may still arrive
        self._detach(attempt)
        self._partial_result_bytes -= attempt.result_bytes
        request.in_flight = None
        self._report_attempt(attempt, outcome, settled)
        self._forget_if_finished(request)

    def _report_attempt(self, attempt: Attempt, outcome: api.Outcome, settled: bool = False) -> None:
        self._module_events.append(
            api.AttemptEnded(
                attempt.request.call.txn,
                attempt.engine,
                attempt.number,
                outcome,
                self.now - attempt.started_at,
                settled=settled,
                load_report=attempt.load_report,
            )
        )

    def _detach(self, attempt: Attempt) -> None:
        """Take an attempt off its connection, and close a retired connection after its last one."""
        link, attempt.link = attempt.link, None
        if link is None or link.attempts.pop(attempt.request.call.txn, None) is None or link.attempts:
            return
        link.idle_since = self.now
        if link.retired:
            self._drop_link(link)

    # --- opening

    def _link_for(self, attempt: Attempt) -> Link | None:
        """A connection with capacity that can carry no late answer for the request, else a new one.

        ``None`` if the limit on connections is reached.
        """
        links = [
            link
            for link in self._links_by_engine.get(attempt.engine, ())
            if not link.retired
            and link.id not in attempt.request.abandoned_links
            and len(link.attempts) < self.limits.multiplex
        ]
        if links:
            return max(links, key=lambda link: (link.connected and not link.paused, -link.id))
        if len(self._links) >= self._bounds.links:
            return None
        return self._open_link(attempt.engine)

    def _open_link(self, engine: str) -> Link:
        link = Link(next(self._numbers), engine, self.now, self.now, self.now)
        self._links[link.id] = link
        self._links_by_engine.setdefault(engine, []).append(link)
        self._effects.append(OpenLink(link.id, self._locations[engine].address))
        self._timers.add(self.now + self.limits.connect_timeout, self._check_connected, link)
        self._timers.add(self.now + self._idle_timeout(), self._check_idle, link)
        return link

    # --- writing

    def _flush(self, link: Link) -> None:
        """Write the attempts that wait for the connection, unless it is paused.

        Called at the end of a step, when all input is known: a client's disconnect, a drain, the time.
        """
        if not link.connected or link.paused or link.id not in self._links:
            return
        ready = []
        for attempt in [attempt for attempt in link.attempts.values() if not attempt.written]:
            if self.now < attempt.write_by:
                ready.append(attempt)
            else:  # a retry that waited for its connection until it was no longer harmless
                self._end_attempt(attempt, api.Outcome.SKIPPED)
        if not ready:
            return
        if link.id not in self._commands:
            link.unsent_attempts = []
        for attempt in ready:
            attempt.written = True
            self._command(link, self._run_command(attempt))
        link.unsent_attempts += ready

    def _run_command(self, attempt: Attempt) -> Run:
        request = attempt.request
        call = request.call
        return Run(
            call.txn, call.query_class, attempt.deadline - self.now, call.body, call.token, request.memory_mb
        )

    def _command(self, link: Link, *commands: ToEngine) -> None:
        if link.id in self._links:
            self._commands.setdefault(link.id, []).extend(commands)

    # --- closing

    def _check_connected(self, link: Link) -> None:
        if not link.connected and link.id in self._links:
            self._drop_link(link)

    def _check_answer_complete(self, link: Link, started_at: float) -> None:
        """Close a connection whose answer stays incomplete: nothing behind it can be received."""
        if link.answer_started_at == started_at and link.id in self._links:
            self._effects.append(LogLine(log_line("router.engine_answer.timed_out", engine=link.engine)))
            self._drop_link(link)

    def _idle_timeout(self) -> float:
        """Seconds after which an idle connection is closed."""
        return IDLE_TIMEOUT_FRACTION * self.limits.idle_timeout

    def _check_idle(self, link: Link) -> None:
        """Close the connection if it was idle for too long.

        A connection has one such timer all its life: one for each time it becomes idle would pile up.
        """
        if link.id not in self._links:
            return
        idle_since = self.now if link.attempts else link.idle_since
        if self.now - idle_since >= self._idle_timeout() - TIMER_TOLERANCE:
            self._drop_link(link)
        else:
            self._timers.add(idle_since + self._idle_timeout(), self._check_idle, link)

    def _drop_link(self, link: Link, close: bool = True, local_shortage: bool = False) -> None:
        """End a connection. Attempts written to it may have run; the others never did.

        ``close`` is false if the connection has ended already. ``local_shortage`` says that it could not be
        opened because this machine ran out of something, such as descriptors.
        """
        if self._links.pop(link.id, None) is None:
            return
        self._links_by_engine[link.engine].remove(link)
        self._forget_if_gone(link.engine)
        commands = self._commands.pop(link.id, None)
        if close:
            if commands:
                self._effects.append(Write(link.id, tuple(commands)))
            self._effects.append(CloseLink(link.id))
        for attempt in list(link.attempts.values()):
            if not attempt.written:
                outcome = api.Outcome.FULL if local_shortage else api.Outcome.CONNECT_FAILED
                self._end_attempt(attempt, outcome)
            else:
                # Reported only once the engine can know of the close. Otherwise a retry, or the next request
                # of the same key, could reach the engine first. This also ends an attempt that was stopped
                # while a part of it was unsent.
                attempt.stopped = True
                self._detach(attempt)
                self._timers.add(self.now + STOP_TRANSIT, self._end_attempt, attempt, api.Outcome.RESET)

    def _retire_links(self, engine: str, drop: bool = False) -> None:
        """Send nothing more to an engine; its connections close after their last answer, or at once."""
        for link in list(self._links_by_engine.get(engine, ())):
            link.retired = True
            # Nothing may be sent once a drain was announced, so what is not written yet never will be.
            for attempt in [attempt for attempt in link.attempts.values() if not attempt.written]:
                self._end_attempt(attempt, api.Outcome.SKIPPED)
            if drop or not link.attempts:
                self._drop_link(link)
