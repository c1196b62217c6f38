"""Who is let in: how many connections clients may have, how long they may be silent, what they may hold.

Plain state and functions; the reducer calls them and carries the times and effects.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

MAX_OPEN_REQUESTS = 32
MAX_FAULTS = 8  # requests that cannot be used, on one connection; a client that goes on so is closed on
# Seconds; one that never asks, or never ends what it has begun, is owed a close within 3 s.
FIRST_REQUEST_TIMEOUT = 2.0
IDLE_TIMEOUT = 8.0  # seconds; clients themselves close connections that were idle for half of that
SWEEP_INTERVAL = 0.25  # seconds between looks at who is silent
# Descriptors beside clients and engines: the change log, the loop's own, and lingering closes.
RESERVED_DESCRIPTORS = 48
LINK_SHARE = 3  # a third of the descriptors may be connections to engines
MAX_ADMIN_CONNECTIONS = 16  # connections of operators, which come from the descriptors for clients
ADMIN_CALL_TIMEOUT = 6.0  # seconds in which a call is to be whole
# Seconds from the call to drain on for which requests on connections still open are taken.
DRAIN_ACCEPT_PERIOD = 1.5
HALF_CLOSE_TIMEOUT = 0.5  # seconds that a client has to close its side after the router has closed its own
MB = 1024 * 1024
PROGRAM_MB = 24.0  # what the program takes with nothing to do, and some more

R = TypeVar("R")


@dataclass(frozen=True, slots=True)
class Bounds:
    """What may be held at once, from the limits in the configuration."""

    clients: int  # connections
    links: int  # connections to engines
    bodies: int  # bytes of all statements that are open
    partial: int  # bytes of all messages that are not whole
    unsent: int  # bytes of all answers that clients have not read
    pages: int  # bytes of all results whose pages are not all there


def bounds(sockets: int, memory_mb: float, *, shared: bool = False, admin: bool = False) -> Bounds:
    """Half of what the program leaves free is for what peers make it hold; the rest is for working on it.

    ``shared`` limits hold for two processes together, of which one is taking over from the other. Clients are
    the same for both: together they hold no more than their third.
    """
    links = max(1, sockets // (LINK_SHARE * (1 + shared)))
    clients = max(
        1, sockets - (1 + shared) * (links + RESERVED_DESCRIPTORS + admin * (MAX_ADMIN_CONNECTIONS + 1))
    )
    free = int(max(4.0, memory_mb / (1 + shared) - PROGRAM_MB) / 2 * MB)
    return Bounds(clients, links, free // 4, free // 4, free // 4, free // 4)


@dataclass(slots=True)
class Client(Generic[R]):
    """A client's connection, and the requests that are open on it, by their numbers."""

    conn: int
    idle_since: float  # since when it has neither asked nor been answered
    has_requested: bool = False
    message_started_at: float | None = None  # since when a message has begun and is not whole
    faults: int = 0
    half_closed_at: float | None = None  # when the router ended its side; what comes since is not read
    requests: dict[int, R] = field(default_factory=dict)


def to_close_for(clients: dict[int, Client[R]]) -> int | None:
    """The connection that makes room for a new one: one that never asked, else the longest idle.

    Guards the usual clients against those that hold connections: who has something open is never closed on.
    """
    free = [client for client in clients.values() if not client.requests]
    if not free:
        return None
    return min(
        free,
        key=lambda client: (
            client.half_closed_at is None,
            client.has_requested and client.message_started_at is None,
            client.idle_since,
        ),
    ).conn


def too_silent(clients: dict[int, Client[R]], now: float) -> list[int]:
    """Connections no longer waited for: they never asked, stopped in a message, or were left idle."""
    return [
        client.conn
        for client in clients.values()
        if (
            client.message_started_at is not None and now - client.message_started_at >= FIRST_REQUEST_TIMEOUT
        )
        or (client.half_closed_at is not None and now - client.half_closed_at >= HALF_CLOSE_TIMEOUT)
        or (
            not client.requests
            and now - client.idle_since >= (IDLE_TIMEOUT if client.has_requested else FIRST_REQUEST_TIMEOUT)
        )
    ]


def to_half_close(clients: dict[int, Client[R]]) -> list[Client[R]]:
    """Connections that a router which is leaving ends now: between requests, and not before the first.

    Guards what a client has sent and is not read yet: its first request is waited for.
    """
    return [
        client
        for client in clients.values()
        if client.has_requested
        and not client.requests
        and client.message_started_at is None
        and client.half_closed_at is None
    ]
