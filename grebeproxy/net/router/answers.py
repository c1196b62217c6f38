"""Open requests, and the one final answer to each."""

from __future__ import annotations

from grebeproxy.net.admission import Client
from grebeproxy.net.events import AnswerClient
from grebeproxy.net.messages import ToClient
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.net.router.records import Request
from grebeproxy.net.router.serving import Serving


class Answers(Serving):
    """Holds open requests by transaction id and clients by connection, and answers each request once."""

    def __init__(self, options: RouterOptions, now: float) -> None:
        super().__init__(options, now)
        self._requests: dict[str, Request] = {}
        self._clients: dict[int, Client[Request]] = {}
        self._statement_bytes = 0  # size of the statements of all open requests
        self._partial_result_bytes = 0  # size of all results of which pages are still missing

    def open_requests(self) -> int:
        """The number of requests that are not answered, or that have an attempt in flight."""
        return len(self._requests)

    def _answer(self, request: Request, message: ToClient) -> None:
        """Send the final answer, unless the request already has one."""
        if request.awaiting_answer:
            self._stop_awaiting_answer(request)
            self._effects.append(AnswerClient(request.conn, message))
        self._forget_if_finished(request)

    def _stop_awaiting_answer(self, request: Request) -> None:
        """Record that the client no longer waits for an answer to the request."""
        request.awaiting_answer = False
        if request.overdue_timer is not None:
            request.overdue_timer.cancel()
        client = self._clients.get(request.conn)
        if client is not None:
            client.requests.pop(request.call.message_id, None)
            client.idle_since = self.now

    def _forget_if_finished(self, request: Request) -> None:
        if not request.awaiting_answer and request.in_flight is None and request.call.txn in self._requests:
            del self._requests[request.call.txn]
            self._statement_bytes -= len(request.call.body)

    def _all_answered(self) -> bool:
        return not any(request.awaiting_answer for request in self._requests.values())
