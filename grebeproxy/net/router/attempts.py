"""Sends attempts to engines, collects the pages of their answers, and abandons attempts."""

from __future__ import annotations

from grebeproxy.net.events import (
    LinkAnswerReceived,
    LinkAnswerStarted,
    LinkClosed,
    LinkEvent,
    LinkOpened,
    LinkPaused,
    LinkResumed,
    LogLine,
)
from grebeproxy.net.log_line import log_line
from grebeproxy.net.messages import AnswerKind, End, EngineAnswer, Fetch, Hello, Served, Stop
from grebeproxy.net.router.engine_links import STOP_TRANSIT, EngineLinks
from grebeproxy.net.router.records import Attempt, Link, Request
from grebeproxy.policy import interface as api

MAX_RESULT_BYTES = 48_000
PARTIAL_ANSWER_TIMEOUT = 0.3  # seconds from an answer's first bytes until the connection is closed as stuck


class Attempts(EngineLinks):
    """Sends attempts to engines, collects the pages of their answers, and abandons attempts."""

    # --- sending

    def _send(self, action: api.Send) -> None:
        """Start the attempt that the decision module asked for, or report why it did not start."""
        request = self._requests.get(action.id)
        if request is None:
            return
        attempt = self._new_attempt(request, action)
        if not request.awaiting_answer or request.in_flight is not None or attempt.deadline <= self.now:
            # A request has at most one attempt in flight, whatever the decision module decides.
            self._report_attempt(attempt, api.Outcome.SKIPPED)
            return
        request.in_flight = attempt
        if action.engine in self._disabled_engines:
            # Manual overrides apply, whatever the decision module decides.
            self._end_attempt(attempt, api.Outcome.SKIPPED)
            return
        if action.engine not in self._locations:
            # The engine has no known address: another engine has taken it over.
            self._end_attempt(attempt, api.Outcome.CONNECT_FAILED)
            return
        link = self._link_for(attempt)
        if link is None:
            # This process has reached its limit on connections, which is no fault of the engine. FULL tells
            # the decision module to wait and that nothing ran. CONNECT_FAILED would end other attempts on the
            # engine.
            self._end_attempt(attempt, api.Outcome.FULL)
            return
        attempt.link = link
        link.attempts[action.id] = attempt
        attempt.deadline_timer = self._timers.add(
            attempt.deadline, self._abandon_attempt, attempt, api.Outcome.TIMEOUT
        )
        self._links_to_flush[link.id] = link

    def _new_attempt(self, request: Request, action: api.Send) -> Attempt:
        attempt = Attempt(
            request,
            request.attempt_count,
            action.engine,
            self.now,
            deadline=min(action.until, request.deadline),
            write_by=float("inf") if action.send_before is None else action.send_before,
        )
        request.attempt_count += 1
        return attempt

    # --- abandoning

    def _abandon_attempt(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """Stop an attempt, and end it once the stop command has had time to reach the engine."""
        link, request = attempt.link, attempt.request
        if attempt.stopped or link is None:
            return
        attempt.stopped = True
        if not attempt.written:
            self._end_attempt(attempt, outcome)
            return
        request.abandoned_links.add(link.id)
        if link.paused and attempt in link.unsent_attempts:
            # Part of the request is still unsent. Without closing the connection, the request would reach the
            # engine after its attempt has ended.
            self._drop_link(link)
            return
        txn = request.call.txn
        self._command(link, Stop(txn) if attempt.pages is None else End(txn))
        if link.last_received_at <= attempt.started_at < self.now - self.limits.connect_timeout:
            self._health_check_link(link)
        self._detach(attempt)
        self._timers.add(self.now + STOP_TRANSIT, self._end_attempt, attempt, outcome)

    def _health_check_link(self, link: Link) -> None:
        """Check a connection that was silent since an abandoned attempt started: the machine may be gone.

        Closing such connections without a check caused a new connection for every third query across all
        routers, in most cases because a query was merely slow.
        """
        if link.health_checked_at is None and not link.retired:
            link.health_checked_at = self.now
            self._command(link, Hello(str(link.id)))
            self._timers.add(self.now + self.limits.connect_timeout, self._finish_health_check, link)

    def _finish_health_check(self, link: Link) -> None:
        checked_at = link.health_checked_at
        if link.id in self._links and checked_at is not None and link.last_received_at <= checked_at:
            link.retired = True  # The attempts in flight on the connection may still be answered.
            if not link.attempts:
                self._drop_link(link)
        link.health_checked_at = None

    # --- events of connections to engines

    def _on_link_event(self, event: LinkEvent) -> None:
        # The connection is unknown if the router closed it before this event arrived.
        if (link := self._links.get(event.link)) is None:
            return
        match event:
            case LinkAnswerReceived(_, answer):
                link.answer_started_at = None
                self._on_engine_answer(link, answer)
            case LinkAnswerStarted():
                if link.answer_started_at is None:
                    link.answer_started_at = self.now
                    due = self.now + PARTIAL_ANSWER_TIMEOUT
                    self._timers.add(due, self._check_answer_complete, link, self.now)
            case LinkOpened():
                link.connected = True
                self._links_to_flush[link.id] = link
            case LinkClosed(_, local_shortage):
                self._drop_link(link, close=False, local_shortage=local_shortage)
            case LinkPaused():
                link.paused = True
            case LinkResumed():
                link.paused = False
                self._links_to_flush[link.id] = link

    def _on_engine_answer(self, link: Link, answer: EngineAnswer) -> None:
        link.last_received_at = self.now
        attempt = link.attempts.get(answer.txn)
        if attempt is None or not attempt.written:
            return  # The answer is a late one to an abandoned attempt, or unsolicited.
        attempt.load_report = answer.report or attempt.load_report
        match answer.kind:
            case AnswerKind.OK if attempt.pages is None:
                attempt.pages = [None] * answer.pages
                self._add_page(attempt, 0, answer.body)
                if answer.pages > 1 and attempt.request.in_flight is attempt:
                    self._command(link, *(Fetch(answer.txn, page) for page in range(1, answer.pages)))
            case AnswerKind.PAGE if attempt.pages is not None and 1 <= answer.page < len(attempt.pages):
                self._add_page(attempt, answer.page, answer.body)
            case AnswerKind.FULL if attempt.pages is None:
                self._end_attempt(attempt, api.Outcome.FULL)
            case AnswerKind.STALE if attempt.pages is None:
                self._end_attempt(attempt, api.Outcome.SKIPPED)
            case AnswerKind.INVALID:
                # No other answer on the same connection can be trusted either.
                self._effects.append(LogLine(log_line("router.engine_answer.invalid", engine=link.engine)))
                self._drop_link(link)
            case AnswerKind.ALIVE | AnswerKind.OK:
                pass  # An OK that arrives here repeats the first one and is harmless.
            case _:
                # The answer may say that a page is lost: the statement ran, but a partial result is wrong.
                self._end_attempt(attempt, api.Outcome.ERROR)

    def _add_page(self, attempt: Attempt, number: int, body: bytes) -> None:
        """Record a page of the result, and answer the client once the result is complete."""
        pages, request = attempt.pages or [], attempt.request
        added = len(body) if pages[number] is None else 0
        attempt.result_bytes += added
        self._partial_result_bytes += added
        pages[number] = body
        if attempt.result_bytes > MAX_RESULT_BYTES:
            self._end_attempt(attempt, api.Outcome.ERROR)
        elif None not in pages:
            parts = tuple(page for page in pages if page is not None)
            self._answer(request, Served(request.call.message_id, parts))
            self._end_attempt(attempt, api.Outcome.OK, settled=True)
        elif self._partial_result_bytes > self._bounds.pages:
            # This bounds memory when many results arrive page by page. The outcome is CANCELLED because the
            # engine is not at fault.
            self._abandon_attempt(attempt, api.Outcome.CANCELLED)
