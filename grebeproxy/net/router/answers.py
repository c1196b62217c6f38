"""Open requests, and the one final answer of each."""

from __future__ import annotations

from grebeproxy.net.admission import Client
from grebeproxy.net.events import AnswerClient
from grebeproxy.net.messages import ToClient
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.net.router.records import Request
from grebeproxy.net.router.serving import Serving


class Answers(Serving):
    """Open requests by transaction id, clients by connection, and the one final answer of each request."""

    def __init__(self, options: RouterOptions, now: float) -> None:
        super().__init__(options, now)
        self._requests: dict[str, Request] = {}
        self._clients: dict[int, Client[Request]] = {}
        self._statement_bytes = 0  # of all open requests
        self._partial_result_bytes = 0  # of all results whose pages are not complete

    def _answer(self, request: Request, message: ToClient) -> None:
        """Send the final answer, unless the request already had one."""
        if request.awaiting_answer:
            self._settle(request)
            self._effects.append(AnswerClient(request.conn, message))
        self._forget_if_finished(request)

    def _settle(self, request: Request) -> None:
        """Record that the client waits for no answer to the request any more."""
        request.awaiting_answer = False
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
