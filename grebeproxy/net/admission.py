"""Admission control: limits on the number, the idle time and the memory of client connections.

The module holds plain state and functions without input or output. The router calls them, keeps the timers
and emits the effects.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Generic, TypeVar

# --- limits on each client connection

MAX_OPEN_REQUESTS = 32
MAX_UNUSABLE_REQUESTS = 8  # invalid requests after which the connection is closed
# The router has to close connections that send no request, or only a part of one, within 3 s.
FIRST_REQUEST_TIMEOUT = 2.0  # seconds from the connect until the first request was sent in full
MESSAGE_TIMEOUT = 2.0  # seconds for the rest of a later message, from its start or from the last answer
IDLE_TIMEOUT = 8.0  # seconds; clients close their idle connections after half of this time
HALF_CLOSE_TIMEOUT = 0.5  # seconds in which a client has to close its side after the router closed its own
SWEEP_INTERVAL = 0.25  # seconds between two checks for timed-out connections
# Seconds after the change to standby in which requests on open connections are still accepted.
DRAIN_ACCEPT_PERIOD = 1.5

# --- limits on all clients together

MAX_OPEN_REQUESTS_OF_ALL = 2048  # a client without an open request may have one more
OPEN_SHARE = 16  # a client may have this part of the open requests that are left
STATEMENT_SHARE = 16  # one statement may take this part of the memory that is left for statements

# --- limits on operators' connections

MAX_ADMIN_CONNECTIONS = 16
ADMIN_CALL_TIMEOUT = 6.0  # seconds in which an operator has to send a complete call

# --- how descriptors and memory are divided

# Descriptors for other uses than clients and engines: the change log, the event loop, closing connections.
RESERVED_DESCRIPTORS = 48
ADMIN_DESCRIPTORS = MAX_ADMIN_CONNECTIONS + 1  # one more for the listening socket
LINK_SHARE = 3  # one descriptor in three may be a connection to an engine
MB = 1024 * 1024
PROGRAM_MB = 24.0  # memory of the idle program, with a margin
MIN_FREE_MB = 4.0  # memory assumed to be free beside the program, however little is configured

RequestT = TypeVar("RequestT")


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much the router may hold at once, derived from the limits in the configuration."""

    clients: int  # connections to clients
    links: int  # connections to engines
    bodies: int  # bytes of the statements of all open requests
    partial: int  # bytes of all incomplete messages
    unsent: int  # bytes of all answers that clients have not read
    pages: int  # bytes of all results whose pages are incomplete


def bounds(sockets: int, memory_mb: float, *, shared: bool = False, admin: bool = False) -> Bounds:
    """Divide ``sockets`` descriptors and ``memory_mb`` MB of memory.

    Half of the memory that the program itself does not need is for data that peers make the router hold; the
    rest is for processing that data. ``shared`` says that the limits hold for two processes together, one of
    which is replacing the other. The limit on client connections is not halved, because the two processes
    together accept no more connections than one process alone. ``admin`` says that there is an admin
    endpoint, whose descriptors are taken from those for clients.
    """
    processes = 1 + shared
    links = max(1, sockets // (LINK_SHARE * processes))
    per_process = links + RESERVED_DESCRIPTORS + admin * ADMIN_DESCRIPTORS
    clients = max(1, sockets - processes * per_process)
    free_mb = max(MIN_FREE_MB, memory_mb / processes - PROGRAM_MB)
    quarter_bytes = int(free_mb / 2 * MB) // 4
    return Bounds(
        clients, links, bodies=quarter_bytes, partial=quarter_bytes, unsent=quarter_bytes, pages=quarter_bytes
    )


class CloseReason(StrEnum):
    """Why the router closes a connection without an open request."""

    NO_DESCRIPTOR = "no descriptor is left"
    NO_REQUEST = "no request"
    INCOMPLETE_MESSAGE = "an incomplete message"
    HALF_CLOSED = "half-closed"
    IDLE = "idle"


EXPECTED_CLOSE_REASONS = (CloseReason.HALF_CLOSED, CloseReason.IDLE)  # not logged


@dataclass(slots=True)
class Client(Generic[RequestT]):
    """A client's connection, and its open requests by message id."""

    conn: int
    idle_since: float  # when the client last sent a message or was sent an answer
    has_requested: bool = False
    input_queued: bool = False  # whether bytes of the client wait to be decoded
    message_started_at: float | None = None  # when the message that is still incomplete began
    unusable_requests: int = 0
    half_closed_at: float | None = None  # when the router closed its side; later input is discarded
    requests: dict[int, RequestT] = field(default_factory=dict)

    def timeout(self, now: float) -> CloseReason | None:
        """Why the connection is to be closed now: it sent no request, stopped within a message, or was idle.

        A connection with an open request never times out, because its client is owed the answer. Its open
        requests end by their deadlines, and no further one can begin while a message is incomplete. Queued
        input may hold a request as well.
        """
        if self.half_closed_at is not None and now - self.half_closed_at >= HALF_CLOSE_TIMEOUT:
            return CloseReason.HALF_CLOSED
        if self.requests or self.input_queued:
            return None
        if not self.has_requested:
            return CloseReason.NO_REQUEST if now - self.idle_since >= FIRST_REQUEST_TIMEOUT else None
        if self.message_started_at is not None:
            # Until the last answer, the open request kept the connection from timing out.
            waited = now - max(self.message_started_at, self.idle_since)
            return CloseReason.INCOMPLETE_MESSAGE if waited >= MESSAGE_TIMEOUT else None
        return CloseReason.IDLE if now - self.idle_since >= IDLE_TIMEOUT else None

    def closable(self) -> bool:
        """Whether the connection is idle after a request; without one, the first may be about to arrive."""
        return (
            self.has_requested
            and not self.requests
            and not self.input_queued
            and self.message_started_at is None
            and self.half_closed_at is None
        )


def connection_to_evict(clients: dict[int, Client[RequestT]]) -> int | None:
    """The connection to close to make room: one that never sent a request, otherwise the longest idle.

    ``None`` if all connections have open requests. Such connections are never closed, so nobody can evict
    working clients by opening connections.
    """
    without_requests = [client for client in clients.values() if not client.requests]
    if not without_requests:
        return None
    return min(
        without_requests,
        key=lambda client: (
            client.input_queued,
            client.half_closed_at is None,
            client.has_requested and client.message_started_at is None,
            client.idle_since,
        ),
    ).conn


def timed_out_clients(clients: dict[int, Client[RequestT]], now: float) -> list[Client[RequestT]]:
    """The clients that exceeded one of their timeouts."""
    return [client for client in clients.values() if client.timeout(now) is not None]


def closable_clients(clients: dict[int, Client[RequestT]]) -> list[Client[RequestT]]:
    """The clients whose connections a draining router may close now."""
    return [client for client in clients.values() if client.closable()]
