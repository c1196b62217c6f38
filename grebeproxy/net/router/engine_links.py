"""Opens, writes to and closes connections to engines, and ends the attempts on connections that close."""

from __future__ import annotations

from grebeproxy.net.events import CloseLink, LogLine, OpenLink, Write
from grebeproxy.net.log_line import log_line
from grebeproxy.net.messages import Run, ToEngine
from grebeproxy.net.router.core import TIMER_TOLERANCE
from grebeproxy.net.router.engine_table import EngineTable
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.net.router.recent_transactions import RecentTransactions
from grebeproxy.net.router.records import Attempt, Link
from grebeproxy.policy import interface as api

STOP_TRANSIT = 0.020  # seconds allowed for a stop command, or the close of a connection, to reach the engine
# The router closes an idle connection after this fraction of the engines' idle timeout. It closes first, so
# that no request is sent on a connection that the engine is just closing.
IDLE_TIMEOUT_FRACTION = 0.8


class EngineLinks(EngineTable):
    """Opens, writes to and closes connections to engines, and ends the attempts on connections that close."""

    def __init__(self, options: RouterOptions, now: float) -> None:
        super().__init__(options, now)
        self._commands: dict[int, list[ToEngine]] = {}  # by connection, written at the end of the step
        self._recent_transactions = RecentTransactions()
        self._links_to_flush: dict[int, Link] = {}  # connections that may have attempts to be written

    # --- the end of an attempt

    def _end_attempt(self, attempt: Attempt, outcome: api.Outcome, settled: bool = False) -> None:
        """Record that an attempt has ended, and report it to the decision module. Later calls do nothing."""
        request = attempt.request
        if request.in_flight is not attempt:
            return
        if attempt.link is not None and attempt.written and not settled:
            request.abandoned_links.add(attempt.link.id)  # Pages or a second answer may still arrive on it.
        if attempt.deadline_timer is not None:
            attempt.deadline_timer.cancel()
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
        """Remove an attempt from its connection, and close a retired connection after its last attempt."""
        link, attempt.link = attempt.link, None
        if link is None or link.attempts.pop(attempt.request.call.txn, None) is None or link.attempts:
            return
        link.idle_since = self.now
        if link.retired:
            self._drop_link(link)

    # --- opening

    def _link_for(self, attempt: Attempt) -> Link | None:
        """Return a connection for an attempt: one with capacity, or else a new one.

        A connection on which a late answer to the request may arrive is not used. Return ``None`` if a new
        one is needed and the limit on connections is reached.
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
        """Write the attempts that wait for the connection, unless the connection is paused.

        This is called at the end of a step, when all input of the step is known, such as a client's
        disconnect or the draining of an engine.
        """
        if not link.connected or link.paused or link.id not in self._links:
            return
        ready = []
        for attempt in [attempt for attempt in link.attempts.values() if not attempt.written]:
            if self.now < attempt.write_by:
                ready.append(attempt)
            else:
                # A retry has waited for its connection for so long that it is no longer harmless.
                self._end_attempt(attempt, api.Outcome.SKIPPED)
        if not ready:
            return
        if link.id not in self._commands:
            link.unsent_attempts = []
        for attempt in ready:
            attempt.written = True
            self._recent_transactions.add(attempt.request.call.txn, self.now)
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
        """Close a connection whose answer stays incomplete, because no later answer on it can be received."""
        if link.answer_started_at == started_at and link.id in self._links:
            self._effects.append(LogLine(log_line("router.engine_answer.timed_out", engine=link.engine)))
            self._drop_link(link)

    def _idle_timeout(self) -> float:
        """Seconds after which an idle connection is closed."""
        return IDLE_TIMEOUT_FRACTION * self.limits.idle_timeout

    def _check_idle(self, link: Link) -> None:
        """Close the connection if it was idle for too long.

        A connection has a single idle timer throughout its life. Timers that were added each time the
        connection became idle would pile up.
        """
        if link.id not in self._links:
            return
        idle_since = self.now if link.attempts else link.idle_since
        if self.now - idle_since >= self._idle_timeout() - TIMER_TOLERANCE:
            self._drop_link(link)
        else:
            self._timers.add(idle_since + self._idle_timeout(), self._check_idle, link)

    def _drop_link(self, link: Link, close: bool = True, local_shortage: bool = False) -> None:
        """End a connection. Attempts that were written to it may have run, and the others have not.

        ``close`` is false if the connection has ended already. ``local_shortage`` says that the connection
        could not be opened because this machine ran out of a resource, such as file descriptors.
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
                # The end of the attempt is reported only once the close has had time to reach the engine.
                # Without this delay, a retry or the next request with the same key could reach the engine
                # first. The timer also ends an attempt that was stopped while part of it was unsent.
                attempt.stopped = True
                self._detach(attempt)
                self._timers.add(self.now + STOP_TRANSIT, self._end_attempt, attempt, api.Outcome.RESET)

    def _retire_links(self, engine: str, drop: bool = False) -> None:
        """Send no more attempts to an engine, and close its connections after their last answer.

        With ``drop``, the connections are closed at once.
        """
        for link in list(self._links_by_engine.get(engine, ())):
            link.retired = True
            # Nothing may be sent once a drain was announced, so attempts that are not written yet end here.
            for attempt in [attempt for attempt in link.attempts.values() if not attempt.written]:
                self._end_attempt(attempt, api.Outcome.SKIPPED)
            if drop or not link.attempts:
                self._drop_link(link)
