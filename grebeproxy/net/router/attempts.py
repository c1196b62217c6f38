"""Attempts: sent, answered page by page, given up."""

from __future__ import annotations

from grebeproxy.net.events import LogLine
from grebeproxy.net.messages import End, EngineAnswer, Fetch, Hello, Served, Stop, AnswerKind
from grebeproxy.net.router.links import Links, SETTLE
from grebeproxy.net.router.records import Attempt, Link
from grebeproxy.policy import interface as api

MAX_RESULT_BYTES = 48_000  # bytes


class Attempts(Links):
    """Attempts: sent, answered page by page, given up."""

    def _send(self, action: api.Send) -> None:
        request = self._requests.get(action.id)
        if request is None:
            return
        attempt = Attempt(
            request,
            request.attempts,
            action.engine,
            self.now,
            min(action.until, request.due),
            send_by=float("inf") if action.by is None else action.by,
        )
        request.attempts += 1
        if not request.owed or request.in_flight is not None or attempt.until <= self.now:
            # Guards the rule of one attempt at a time, whatever was decided.
            self._report(attempt, api.Outcome.MOOT)
            return
        request.in_flight = attempt
        if action.engine in self._disabled_engines:  # guards the manual overrides, whatever was decided
            self._end(attempt, api.Outcome.MOOT)
            return
        if action.engine not in self._places:  # another engine has its address now
            self._end(attempt, api.Outcome.CONNECT_FAILED)
            return
        link = self._link_for(attempt)
        if link is None:
            # No descriptor is left for it. Guards against taking that for a fault of the engine, which would
            # end what runs there: full holds back what follows, and proves as well that nothing ran.
            self._end(attempt, api.Outcome.FULL)
            return
        attempt.link = link
        link.attempts[action.id] = attempt
        # By name: a timer that held the attempt would keep its statement and pages in memory.
        self._at(attempt.until, self._expire, action.id, attempt.number)
        self._to_flush[link.id] = link

    def _expire(self, txn: str, number: int) -> None:
        request = self._requests.get(txn)
        if request is not None and request.in_flight is not None and request.in_flight.number == number:
            self._give_up(request.in_flight, api.Outcome.TIMEOUT)

    def _give_up(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """Stop an attempt; it counts as ended once the engine can have heard of it."""
        link, request = attempt.link, attempt.request
        if attempt.stopped or link is None:
            return
        attempt.stopped = True
        if not attempt.written:  # it never left, and now it never will
            self._end(attempt, outcome)
            return
        request.abandoned_links.add(link.id)
        if link.paused and attempt in link.unsent:
            # Guards against a request that is sent after its attempt has ended: the rest of it is still here.
            self._drop(link)
            return
        txn = request.call.txn
        self._command(link, Stop(txn) if attempt.pages is None else End(txn))
        if link.last_heard <= attempt.sent < self.now - self.limits.connect_timeout:
            self._health_check_link(link)
        self._detach(attempt)
        self._at(self.now + SETTLE, self._end, attempt, outcome)

    def _health_check_link(self, link: Link) -> None:
        """Nothing was heard since an attempt went out that was given up: the machine behind may be gone.

        The connection is asked. Ending it unasked cost a handshake for most queries that stood still: over
        all routers a new connection for every third query.
        """
        if link.probed_at is None and not link.retired:
            link.probed_at = self.now
            self._command(link, Hello(str(link.id)))
            self._at(self.now + self.limits.connect_timeout, self._check_health_check, link)

    def _check_health_check(self, link: Link) -> None:
        if link.id in self._links and link.probed_at is not None and link.last_heard <= link.probed_at:
            link.retired = True  # what is still out there may be answered all the same
            if not link.attempts:
                self._drop(link)
        link.probed_at = None

    def _on_engine_answer(self, link: Link, answer: EngineAnswer) -> None:
        link.last_heard = self.now
        attempt = link.attempts.get(answer.txn)
        if attempt is None or not attempt.written:
            return  # the late answer of an attempt that was given up, or one that nobody asked for
        attempt.report = answer.report or attempt.report
        match answer.kind:
            case AnswerKind.OK if attempt.pages is None:
                attempt.pages = [None] * answer.pages
                self._add_page(attempt, 0, answer.body)
                if answer.pages > 1 and attempt.request.in_flight is attempt:
                    self._command(link, *(Fetch(answer.txn, page) for page in range(1, answer.pages)))
            case AnswerKind.PAGE if attempt.pages is not None and 1 <= answer.page < len(attempt.pages):
                self._add_page(attempt, answer.page, answer.body)
            case AnswerKind.FULL if attempt.pages is None:
                self._end(attempt, api.Outcome.FULL)
            case AnswerKind.STALE if attempt.pages is None:
                self._end(attempt, api.Outcome.MOOT)
            case AnswerKind.INVALID:  # nothing else on its connection can be trusted either
                self._effects.append(LogLine(f"engine {link.engine}: an answer that cannot be right"))
                self._drop(link)
            case (
                AnswerKind.ALIVE
                | AnswerKind.OK
            ):  # the latter a second copy: what it brings more harms nothing
                pass
            case _:  # also a page that the engine lost: it ran, and a short answer would be wrong
                self._end(attempt, api.Outcome.ERROR)

    def _add_page(self, attempt: Attempt, number: int, body: bytes) -> None:
        pages, request = attempt.pages or [], attempt.request
        added = len(body) if pages[number] is None else 0
        attempt.size += added
        self._paged += added
        pages[number] = body
        if attempt.size > MAX_RESULT_BYTES:
            self._end(attempt, api.Outcome.ERROR)
        elif None not in pages:
            parts = tuple(page for page in pages if page is not None)
            self._answer(request, Served(request.call.msg, parts))
            self._end(attempt, api.Outcome.OK, settled=True)
        elif self._paged > self._bounds.pages:
            # Guards the memory against many results that come a page at a time; it is no fault of the engine.
            self._give_up(attempt, api.Outcome.CANCELLED)
