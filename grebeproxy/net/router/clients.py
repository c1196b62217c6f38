"""Admits and closes clients' connections; accepts, rejects and abandons requests."""

from __future__ import annotations

from enum import StrEnum

from grebeproxy.net import admission
from grebeproxy.net.events import (
    AnswerClient,
    ClientClosed,
    ClientEvent,
    ClientInputQueued,
    ClientMessageReceived,
    ClientMessageStarted,
    ClientOpened,
    ClientUnreadable,
    CloseClient,
    LogLine,
)
from grebeproxy.net.log_line import log_line
from grebeproxy.net.messages import (
    Call,
    CancelRequest,
    Failed,
    FromClient,
    InvalidRequest,
    Ping,
    Pong,
    Rejected,
    ToClient,
)
from grebeproxy.net.router.attempts import Attempts
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.net.router.records import Request
from grebeproxy.policy import interface as api

# Seconds of a client's timeout that are reserved for the transfer of the request and the answer together.
TRANSIT_RESERVE = 0.020
# Seconds after a request's deadline until the router fails the request, if the decision module has not
# decided about it. This is still within the tolerance that the rules allow.
OVERDUE_GRACE = 0.030


class RefusalReason(StrEnum):
    """Why a request was not accepted."""

    SHUTTING_DOWN = "shutting down"
    OPEN_REQUESTS = "too many open requests"
    STATEMENT_MEMORY = "too little memory for statements"
    UNKNOWN_CLASS = "the settings no longer have its class"
    MAY_HAVE_LEFT = "waited unread, and its client may have left"


class Clients(Attempts):
    """Admits and closes clients' connections; accepts, rejects and abandons requests."""

    def __init__(self, options: RouterOptions, now: float) -> None:
        super().__init__(options, now)
        self._sweep_scheduled = False

    def _on_client_event(self, event: ClientEvent) -> None:
        match event:
            case ClientOpened(conn):
                self._admit(conn)
            case ClientClosed(conn):
                self._forget_client(conn)
            case ClientUnreadable(conn, reason):
                if (client := self._clients.get(conn)) is not None:
                    self._disconnect(client, reason)
            case _:
                # The connection is unknown or half-closed if the router closed it before the input arrived.
                client = self._clients.get(event.conn)
                if client is not None and client.half_closed_at is None:
                    self._on_client_input(client, event)

    def _on_client_input(
        self,
        client: admission.Client[Request],
        event: ClientInputQueued | ClientMessageStarted | ClientMessageReceived,
    ) -> None:
        client.input_queued = isinstance(event, ClientInputQueued)
        match event:
            case ClientMessageReceived(_, Call() as call, _, may_have_left) if may_have_left:
                self._note_message(client)
                self._refuse(client, call, RefusalReason.MAY_HAVE_LEFT)
            case ClientMessageReceived(_, message, received_at):
                self._note_message(client)
                self._on_client_message(client, message, self.now if received_at is None else received_at)
            case ClientMessageStarted():
                if client.message_started_at is None:
                    client.message_started_at = self.now

    # --- connections

    def _admit(self, conn: int) -> None:
        """Accept a connection. At the limit, close an idle one for it, or else reject the new one."""
        if len(self._clients) >= self._bounds.clients:
            evicted = admission.connection_to_evict(self._clients)
            self._log_closed(conn if evicted is None else evicted, admission.CloseReason.NO_DESCRIPTOR)
            self._close_client(conn if evicted is None else evicted)
            if evicted is None:
                return
        self._clients[conn] = admission.Client(conn, self.now)
        if not self._sweep_scheduled:
            self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        self._sweep_scheduled = True
        self._timers.add(self.now + admission.SWEEP_INTERVAL, self._sweep)

    def _sweep(self) -> None:
        """Close the connections that have timed out."""
        for client in admission.timed_out_clients(self._clients, self.now):
            if (reason := client.timeout(self.now)) not in admission.EXPECTED_CLOSE_REASONS:
                self._log_closed(client.conn, reason)
            self._close_client(client.conn)
        self._sweep_scheduled = False
        if self._clients:
            self._schedule_sweep()

    def _disconnect(self, client: admission.Client[Request], reason: str) -> None:
        """Fail all open requests of a client that violates the protocol, then close its connection."""
        open_requests = list(client.requests.values())
        if open_requests:
            text = log_line("router.client.disconnected", reason=reason, failed=len(open_requests))
            self._effects.append(LogLine(text, limited=True))
        for request in open_requests:
            self._end_request(request, Failed(request.call.message_id))
        self._close_client(client.conn)

    def _log_closed(self, conn: int, reason: admission.CloseReason | None) -> None:
        line = log_line("router.client.closed", connection=conn, reason=reason)
        self._effects.append(LogLine(line, limited=True))

    def _close_client(self, conn: int) -> None:
        self._effects.append(CloseClient(conn))
        self._forget_client(conn)

    def _forget_client(self, conn: int) -> None:
        """Forget a client whose connection has ended, and abandon all its open requests."""
        client = self._clients.pop(conn, None)
        for request in list(client.requests.values()) if client is not None else ():
            self._abandon_request(request)

    # --- messages

    def _note_message(self, client: admission.Client[Request]) -> None:
        client.has_requested = True
        client.message_started_at = None
        client.idle_since = self.now

    def _on_client_message(
        self, client: admission.Client[Request], message: FromClient, received_at: float
    ) -> None:
        match message:
            case Call():
                self._on_call(client, message, received_at)
            case CancelRequest(message_id):
                # The request is unknown if its answer was sent before the cancellation arrived.
                if message_id in client.requests:
                    self._abandon_request(client.requests[message_id])
            case Ping(message_id):
                self._effects.append(AnswerClient(client.conn, Pong(message_id, not self._draining())))
            case InvalidRequest(message_id, field):
                self._answer_unusable_request(client, Failed(message_id, field))

    def _answer_unusable_request(self, client: admission.Client[Request], answer: ToClient) -> None:
        """Answer an unusable request; disconnect a client that sends too many, to protect other clients."""
        client.unusable_requests += 1
        self._effects.append(AnswerClient(client.conn, answer))
        if client.unusable_requests >= admission.MAX_UNUSABLE_REQUESTS:
            self._disconnect(client, "too many unusable requests")

    def _on_call(self, client: admission.Client[Request], call: Call, received_at: float) -> None:
        """Accept a request, reject it, or disconnect the client."""
        if call.message_id in client.requests:
            # The client could not tell apart two answers with one id, so nothing on this connection can be
            # trusted.
            self._disconnect(client, "a message id that is open already")
        elif call.txn in self._requests or self._recent_transactions.was_sent(call.txn, self.now):
            # An engine may still be running a request with this transaction id, or may have run it.
            self._answer_unusable_request(client, Failed(call.message_id, "txn"))
        elif call.query_class not in self._deadlines:
            # The settings no longer have the query class, which clients may not know yet.
            self._refuse(client, call, RefusalReason.UNKNOWN_CLASS)
        elif len(client.requests) >= admission.MAX_OPEN_REQUESTS:
            self._answer_unusable_request(client, self._rejection(call))
        elif (reason := self._lacking_capacity(client, call)) is not None:
            self._refuse(client, call, reason)
        else:
            self._accept_request(client, call, received_at)

    def _rejection(self, call: Call) -> Rejected:
        return Rejected(call.message_id, self.settings.max_retry_after)

    def _refuse(self, client: admission.Client[Request], call: Call, reason: RefusalReason) -> None:
        """Reject a request that is not accepted, and log why."""
        self._effects.append(AnswerClient(client.conn, self._rejection(call)))
        line = log_line("router.request.refused", reason=reason, txn=call.txn, connection=client.conn)
        self._effects.append(LogLine(line, limited=True))

    def _lacking_capacity(self, client: admission.Client[Request], call: Call) -> RefusalReason | None:
        """Why a request cannot be accepted now.

        A client, and a statement, may take only a part of what is left for all. When it runs short, clients
        with many open requests and large statements are thus rejected first. A client without an open request
        may always have one, as the number of clients is bounded as well.
        """
        if self.now >= self._accept_until:
            return RefusalReason.SHUTTING_DOWN
        left = min(admission.MAX_OPEN_REQUESTS_OF_ALL, self.limits.max_open) - len(self._requests)
        if len(self._requests) >= self.limits.max_open or len(client.requests) > max(
            0, left // admission.OPEN_SHARE
        ):
            return RefusalReason.OPEN_REQUESTS
        if len(call.body) > (self._bounds.bodies - self._statement_bytes) // admission.STATEMENT_SHARE:
            return RefusalReason.STATEMENT_MEMORY
        return None

    def _accept_request(self, client: admission.Client[Request], call: Call, received_at: float) -> None:
        # The deadline counts from when the request was read, because the client's timeout counts from when
        # the client wrote it. It is at most the deadline of the query class: with client timeouts of hours,
        # records would pile up.
        deadline = received_at + min(call.timeout, self._deadlines[call.query_class]) - TRANSIT_RESERVE
        request = Request(call, client.conn, deadline)
        self._requests[call.txn] = client.requests[call.message_id] = request
        self._statement_bytes += len(call.body)
        request.overdue_timer = self._timers.add(deadline + OVERDUE_GRACE, self._fail_overdue, call.txn)
        self._module_events.append(
            api.Query(
                call.txn,
                call.query_class,
                deadline,
                tenant=call.tenant,
                key=call.key,
                data_set=call.data_set,
                work=call.work,
                memory_mb=call.memory_mb,
                is_client_retry=call.is_client_retry,
                received_at=received_at,
            )
        )

    # --- requests

    def _end_request(self, request: Request, answer: ToClient) -> None:
        """Send the final answer, whatever the decision module would do, and cancel the attempt in flight."""
        self._answer(request, answer)
        self._abandon_request(request)

    def _abandon_request(self, request: Request) -> None:
        """Record that the client no longer waits for the request, and cancel its attempt in flight."""
        self._stop_awaiting_answer(request)
        self._module_events.append(api.ClientDisconnected(request.call.txn))
        if request.in_flight is not None:
            self._abandon_attempt(request.in_flight, api.Outcome.CANCELLED)
        self._forget_if_finished(request)

    def _fail_overdue(self, txn: str) -> None:
        """Fail an overdue request, so that it is answered even if the decision module decides nothing."""
        request = self._requests.get(txn)
        if request is not None and request.awaiting_answer:
            in_flight = request.in_flight
            line = log_line(
                "router.request.overdue",
                txn=txn,
                attempts=request.attempt_count,
                engine="none" if in_flight is None else in_flight.engine,
            )
            self._effects.append(LogLine(line))
            self._end_request(request, Failed(request.call.message_id))
