"""Clients: who is let in, what is taken from them, and what becomes of it when they leave."""

from __future__ import annotations

from grebeproxy.net import admission
from grebeproxy.net.events import Answer, CloseClient, LogLine
from grebeproxy.net.messages import Call, Failed, FromClient, GiveUp, Invalid, Ping, Pong, Rejected, ToClient
from grebeproxy.net.router.attempts import Attempts
from grebeproxy.net.router.records import Request
from grebeproxy.policy import interface as api

TRANSIT = 0.020  # seconds of a client's limit kept for the request's and the answer's way
OVERDUE = 0.030  # after the due time, within the rules' slack: the module has had its chance by then


class Clients(Attempts):
    """Clients: who is let in, what is taken from them, and what becomes of it when they leave."""

    def _admit(self, conn: int) -> None:
        if len(self._clients) >= self._bounds.clients:
            victim = admission.to_close_for(self._clients)
            self._hang_up(conn if victim is None else victim)
            if victim is None:
                return
        self._clients[conn] = admission.Client(conn, self.now)
        if not self._sweeping:
            self._sweeping = True
            self._at(self.now + admission.SWEEP_INTERVAL, self._sweep)

    def _sweep(self) -> None:
        for conn in admission.too_silent(self._clients, self.now):
            self._hang_up(conn)
        self._sweeping = bool(self._clients)
        if self._sweeping:
            self._at(self.now + admission.SWEEP_INTERVAL, self._sweep)

    def _hang_up(self, conn: int) -> None:
        self._effects.append(CloseClient(conn))
        self._leave(conn)

    def _fault(self, client: admission.Client[Request], answer: ToClient) -> None:
        """Guards the usual clients against one that goes on sending what cannot be used: it is closed on."""
        client.faults += 1
        if client.faults < admission.MAX_FAULTS:
            self._effects.append(Answer(client.conn, answer))
        else:
            self._hang_up(client.conn)

    def _accept_request(self, client: admission.Client[Request], call: Call) -> None:
        rejected = Rejected(call.msg, self.settings.max_retry_after)
        if call.msg in client.requests:
            # Two answers under one id could not be told apart: nothing on this connection can be trusted.
            self._hang_up(client.conn)
        elif call.txn in self._requests:
            # Guards against a second request under an id that an engine still has: their answers would mix.
            self._fault(client, Failed(call.msg, "txn"))
        elif call.cls not in self._deadlines:  # a class that has gone: its clients may not know yet
            self._effects.append(Answer(client.conn, rejected))
        elif len(client.requests) >= admission.MAX_OPEN_REQUESTS:
            self._fault(client, rejected)
        elif (
            self.now >= self._accept_until
            or len(self._requests) >= self.limits.max_open
            or self._bodies + len(call.body) > self._bounds.bodies
        ):
            self._effects.append(Answer(client.conn, rejected))
        else:
            # No longer than the class's own deadline. Guards against limits of hours: what is kept for a
            # request until then would pile up.
            due = self.now + min(call.limit, self._deadlines[call.cls]) - TRANSIT
            request = Request(call, client.conn, due)
            self._requests[call.txn] = client.requests[call.msg] = request
            self._bodies += len(call.body)
            self._at(request.due + OVERDUE, self._overdue, call.txn, request.due)
            self._pending.append(
                api.Query(
                    call.txn,
                    call.cls,
                    request.due,
                    tenant=call.tenant,
                    key=call.key,
                    data_set=call.data_set,
                    work=call.work,
                    memory_mb=call.memory_mb,
                    is_client_retry=call.is_client_retry,
                )
            )

    def _leave(self, conn: int) -> None:
        """A client's connection has ended, and with it all that was open on it."""
        client = self._clients.pop(conn, None)
        for request in list(client.requests.values()) if client is not None else ():
            self._abandon(request)

    def _abandon(self, request: Request) -> None:
        """The client waits no more: nothing is owed, and what runs for it is given up."""
        self._settle(request)
        self._pending.append(api.ClientDisconnected(request.call.txn))
        if request.in_flight is not None:
            self._give_up(request.in_flight, api.Outcome.CANCELLED)
        self._forget(request)

    def _overdue(self, txn: str, due: float) -> None:
        """Guards the rule of one answer in time against a module that has given none."""
        request = self._requests.get(txn)
        if request is not None and request.due == due and request.owed:
            self._effects.append(LogLine(f"request {txn}: no answer was decided in time"))
            self._answer(request, Failed(request.call.msg))
            self._abandon(request)

    def _on_client(self, client: admission.Client[Request], message: FromClient) -> None:
        client.has_requested, client.message_started_at, client.idle_since = True, None, self.now
        match message:
            case Call():
                self._accept_request(client, message)
            case GiveUp(msg):
                # One that crossed the answer names nothing that is open, and is over already.
                if msg in client.requests:
                    self._abandon(client.requests[msg])
            case Ping(msg):
                self._effects.append(Answer(client.conn, Pong(msg, not self._draining())))
            case Invalid(msg, name):
                self._fault(client, Failed(msg, name))
