"""Admission: how many connections clients may have, how long they may be silent, how much they may hold.

Plain state and functions without input or output; the router calls them, keeps the timers and emits effects.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

# --- limits on each client connection

MAX_OPEN_REQUESTS = 32
MAX_UNUSABLE_REQUESTS = 8  # requests that cannot be used, after which the connection is closed
# Seconds until a first request, or the rest of a message that has begun. Such connections have to be closed
# within 3 s.
FIRST_REQUEST_TIMEOUT = 2.0
IDLE_TIMEOUT = 8.0  # seconds; clients close connections themselves after half of that
HALF_CLOSE_TIMEOUT = 0.5  # seconds for a client to close its side after the router has closed its own
SWEEP_INTERVAL = 0.25  # seconds between checks for connections that timed out
# Seconds from standby on for which requests on connections that are still open are accepted.
DRAIN_ACCEPT_PERIOD = 1.5

# --- limits on operators' connections

MAX_ADMIN_CONNECTIONS = 16
ADMIN_CALL_TIMEOUT = 6.0  # seconds for a call to be complete

# --- how descriptors and memory are divided

# Descriptors beside clients and engines: the change log, the event loop's own, connections being closed.
RESERVED_DESCRIPTORS = 48
ADMIN_DESCRIPTORS = MAX_ADMIN_CONNECTIONS + 1  # with the listening socket
LINK_SHARE = 3  # a third of the descriptors may be connections to engines
MB = 1024 * 1024
PROGRAM_MB = 24.0  # memory of the idle program, with some margin
MIN_FREE_MB = 4.0  # memory taken to be free beside the program, however little is configured

R = TypeVar("R")


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much may be held at once, derived from the limits in the configuration."""

    clients: int  # connections
    links: int  # connections to engines
    bodies: int  # bytes of the statements of all open requests
    partial: int  # bytes of all incomplete messages
    unsent: int  # bytes of all answers that clients have not read
    pages: int  # bytes of all results whose pages are incomplete


def bounds(sockets: int, memory_mb: float, *, shared: bool = False, admin: bool = False) -> Bounds:
    """Divide ``sockets`` descriptors and ``memory_mb`` MB of memory.

    Half of the memory beside the program is for what peers make the router hold; the rest is for working on
    it. ``shared`` limits hold for two processes together, one of which is replacing the other. Client
    connections are not halved: the two processes together accept no more than one alone. ``admin`` says that
    there is an admin endpoint, whose descriptors are taken from those for clients.
    """
    processes = 1 + shared
    links = max(1, sockets // (LINK_SHARE * processes))
    others = links + RESERVED_DESCRIPTORS + admin * ADMIN_DESCRIPTORS
    clients = max(1, sockets - processes * others)
    free_mb = max(MIN_FREE_MB, memory_mb / processes - PROGRAM_MB)
    quarter = int(free_mb / 2 * MB) // 4
    return Bounds(clients, links, bodies=quarter, partial=quarter, unsent=quarter, pages=quarter)


@dataclass(slots=True)
class Client(Generic[R]):
    """A client's connection, and the requests that are open on it by their message ids."""

    conn: int
    idle_since: float  # the last time it sent a message or was sent an answer
    has_requested: bool = False
    message_started_at: float | None = None  # when a message began that is still incomplete
    unusable_requests: int = 0
    half_closed_at: float | None = None  # when the router closed its side; later input is dropped
    requests: dict[int, R] = field(default_factory=dict)

    def timed_out(self, now: float) -> bool:
        """Whether it never sent a request, stopped in the middle of a message, or was idle for too long."""
        if self.message_started_at is not None and now - self.message_started_at >= FIRST_REQUEST_TIMEOUT:
            return True
        if self.half_closed_at is not None and now - self.half_closed_at >= HALF_CLOSE_TIMEOUT:
            return True
        if self.requests:
            return False
        return now - self.idle_since >= (IDLE_TIMEOUT if self.has_requested else FIRST_REQUEST_TIMEOUT)

    def closable(self) -> bool:
        """Whether it is between requests. One that has sent no request yet may be about to."""
        return (
            self.has_requested
            and not self.requests
            and self.message_started_at is None
            and self.half_closed_at is None
        )


def connection_to_evict(clients: dict[int, Client[R]]) -> int | None:
    """The connection to close for a new one: one that never sent a request, else the longest idle.

    ``None`` if all have open requests: those are never closed, so that nobody can push out working clients by
    opening connections.
    """
    without_requests = [client for client in clients.values() if not client.requests]
    if not without_requests:
        return None
    return min(
        without_requests,
        key=lambda client: (
            client.half_closed_at is None,
            client.has_requested and client.message_started_at is None,
            client.idle_since,
        ),
    ).conn


def timed_out_connections(clients: dict[int, Client[R]], now: float) -> list[int]:
    """Connections to close because nothing is to be expected on them."""
    return [client.conn for client in clients.values() if client.timed_out(now)]


def closable_clients(clients: dict[int, Client[R]]) -> list[Client[R]]:
    """Connections that a draining router may close now."""
    return [client for client in clients.values() if client.closable()]
