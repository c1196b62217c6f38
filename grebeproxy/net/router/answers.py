"""The one final answer of each request, and what is kept of it until nothing is out."""

from __future__ import annotations

from grebeproxy.net.events import Answer
from grebeproxy.net.messages import ToClient
from grebeproxy.net.router.base import Core
from grebeproxy.net.router.records import Request


class Answers(Core):
    """The one final answer of each request, and what is kept of it until nothing is out."""

    def _answer(self, request: Request, message: ToClient) -> None:
        """The one final answer."""
        if request.owed:
            self._settle(request)
            self._effects.append(Answer(request.conn, message))
        self._forget(request)

    def _settle(self, request: Request) -> None:
        request.owed = False
        client = self._clients.get(request.conn)
        if client is not None:
            client.requests.pop(request.call.msg, None)
            client.idle_since = self.now

    def _forget(self, request: Request) -> None:
        if not request.owed and request.in_flight is None and request.call.txn in self._requests:
            del self._requests[request.call.txn]
            self._bodies -= len(request.call.body)
