"""Graceful shutdown: moves clients to other routers, answers accepted requests, and exits."""

from __future__ import annotations

from grebeproxy.net import admission
from grebeproxy.net.events import Exit, HalfCloseClient
from grebeproxy.net.messages import Failed, Rejected
from grebeproxy.net.router.clients import OVERDUE_GRACE
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.net.router.reload import Reload
from grebeproxy.policy import interface as api

# Seconds after a stop for which the process keeps accepting connections, if no other process shares its
# listening socket. The platform sends new connections for 0.4 s after the stop.
ACCEPT_AFTER_STOP = 0.5
MIN_TIME_TO_EXIT = 0.7  # seconds between a stop and the exit, even if all requests are answered earlier
# The platform kills the process 0.7 s after the longest deadline, counted from the stop, but at most 0.7 s
# after these delays.
MAX_KILL_DELAY = 3.0  # seconds
MAX_KILL_DELAY_SHARED_SOCKET = 5.0  # seconds, if another process takes over the socket
KILL_MARGIN = 0.6  # seconds, 0.1 s less than the platform's margin
LAST_ACCEPT_MARGIN = 0.25  # seconds before the last answers are due from which requests are rejected


class GracefulShutdown(Reload):
    """Graceful shutdown: moves clients to other routers, answers accepted requests, and exits.

    Standby consists of the first part alone: clients are moved to other routers, and the process keeps
    running.
    """

    def __init__(self, options: RouterOptions, now: float) -> None:
        super().__init__(options, now)
        self._shared = options.shared
        self._exit_when_answered = False
        self._exited = False
        # Clients that had no open request when the sockets were last read.
        self._idle_clients: set[int] = set()

    def _enter_standby(self) -> None:
        if self._standby_since is None:
            self._standby_since = self.now
            self._accept_until = min(self._accept_until, self.now + admission.DRAIN_ACCEPT_PERIOD)

    def _leave_standby(self) -> None:
        self._standby_since = None
        self._accept_until = float("inf")

    def _stop(self, requested_at: float) -> None:
        """Begin the shutdown. Further stop requests change nothing.

        Times count from when the stop was requested, because the platform's time until the kill counts from
        then.
        """
        if self._stopping:
            return
        self._stopping = True
        longest_deadline = max(self._deadlines.values())
        killed_after = min(longest_deadline, MAX_KILL_DELAY_SHARED_SOCKET if self._shared else MAX_KILL_DELAY)
        last_answers_due = requested_at + killed_after + KILL_MARGIN - OVERDUE_GRACE
        self._accept_until = min(self._accept_until, last_answers_due - LAST_ACCEPT_MARGIN)
        self._timers.add(last_answers_due, self._answer_all)
        if self._shared:
            # The process that takes over accepts the connections that are still queued.
            self._stop_listening()
        else:
            self._timers.add(requested_at + ACCEPT_AFTER_STOP, self._stop_listening)
        self._timers.add(requested_at + MIN_TIME_TO_EXIT, self._allow_exit)

    def _allow_exit(self) -> None:
        self._exit_when_answered = True

    def _answer_all(self) -> None:
        """Answer all open requests shortly before the process is killed."""
        idempotent = {
            query_class.name
            for query_class in self.settings.classes
            if query_class.idempotency is api.Idempotency.IDEMPOTENT
        }
        for request in [request for request in self._requests.values() if request.awaiting_answer]:
            message_id = request.call.message_id
            if request.call.query_class in idempotent:
                self._end_request(request, Rejected(message_id, self.settings.max_retry_after))
            else:
                self._end_request(request, Failed(message_id))

    def _half_close_idle_clients(self) -> None:
        """Half-close idle connections while clients are moved to other routers.

        An idle client may have sent a request that is not read yet. A connection is therefore half-closed
        only if it is still idle after the sockets were read once more.
        """
        idle: set[int] = set()
        if self._draining():
            idle = {client.conn for client in admission.closable_clients(self._clients)}
        if self._sockets_read:
            for conn in sorted(idle & self._idle_clients):
                self._clients[conn].half_closed_at = self.now
                self._effects.append(HalfCloseClient(conn))
            idle -= self._idle_clients
        self._idle_clients = idle

    def _may_exit(self) -> bool:
        return self._exit_when_answered and not self._exited and self._all_answered()

    def _exit_if_answered(self) -> None:
        """Exit if all requests are answered and the sockets were read once more.

        The sockets are read once more because a request may have arrived in the meantime.
        """
        if self._sockets_read and self._may_exit():
            self._exited = True
            self._accept_until = self.now
            self._effects.append(Exit())
