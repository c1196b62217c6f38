"""Who is let in: how many connections clients may have, how long they may be silent, what they may hold.

Plain state and functions; the reducer calls them and carries the times and effects.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

OPEN_PER_CLIENT = 32
MOST_FAULTS = 8  # requests that cannot be used, on one connection; a client that goes on so is closed on
NEVER_ASKED = 2.0  # seconds; one that never asks, or never ends what it has begun, is owed a close within 3 s
IDLE = 8.0  # seconds; clients themselves close connections that were idle for half of that
SWEEP = 0.25  # seconds between looks at who is silent
SPARE = 48  # descriptors beside clients and engines: the log, the loop's own, and those that are closed on
LINK_SHARE = 3  # a third of the descriptors may be connections to engines
MOST_DOORS = 16  # connections of operators, which come from the descriptors for clients
DOOR_PATIENCE = 6.0  # seconds in which a call is to be whole
DRAIN_TAKES = 1.5  # seconds from the call to drain on for which requests on connections still open are taken
LINGER = 0.5  # seconds for which a client that was told of the end may take to close
MB = 1024 * 1024
PROGRAM_MB = 24.0  # what the program takes with nothing to do, and some more

R = TypeVar("R")


@dataclass(frozen=True, slots=True)
class Bounds:
    """What may be held at once, from the limits that the configuration tells."""

    clients: int  # connections
    links: int  # connections to engines
    bodies: int  # bytes of all statements that are open
    begun: int  # bytes of all messages that are not whole
    unsent: int  # bytes of all answers that clients have not read
    pages: int  # bytes of all results whose pages are not all there


def bounds(sockets: int, memory_mb: float, *, shared: bool = False, door: bool = False) -> Bounds:
    """Half of what the program leaves free is for what peers make it hold; the rest is for working on it.

    ``shared`` limits hold for two processes together, of which one is taking over from the other. Clients are
    the same for both: together they hold no more than their third.
    """
    links = max(1, sockets // (LINK_SHARE * (1 + shared)))
    clients = max(1, sockets - (1 + shared) * (links + SPARE + door * (MOST_DOORS + 1)))
    free = int(max(4.0, memory_mb / (1 + shared) - PROGRAM_MB) / 2 * MB)
    return Bounds(clients, links, free // 4, free // 4, free // 4, free // 4)


@dataclass(slots=True)
class Client(Generic[R]):
    """A client's connection, and the requests that are open on it, by their numbers."""

    conn: int
    quiet: float  # since when it has neither asked nor been answered
    asked: bool = False
    begun: float | None = None  # since when a message has begun and is not whole
    faults: int = 0
    parted: float | None = None  # since when it knows that nothing more comes; what it says is not heard
    requests: dict[int, R] = field(default_factory=dict)


def to_close_for(clients: dict[int, Client[R]]) -> int | None:
    """The connection that makes room for a new one: one that never asked, else the longest idle.

    Guards the usual clients against those that hold connections: who has something open is never closed on.
    """
    free = [client for client in clients.values() if not client.requests]
    if not free:
        return None
    return min(
        free, key=lambda client: (client.parted is None, client.asked and client.begun is None, client.quiet)
    ).conn


def too_silent(clients: dict[int, Client[R]], now: float) -> list[int]:
    """Connections no longer waited for: they never asked, stopped in a message, or were left idle."""
    return [
        client.conn
        for client in clients.values()
        if (client.begun is not None and now - client.begun >= NEVER_ASKED)
        or (client.parted is not None and now - client.parted >= LINGER)
        or (not client.requests and now - client.quiet >= (IDLE if client.asked else NEVER_ASKED))
    ]


def to_part(clients: dict[int, Client[R]]) -> list[Client[R]]:
    """Connections that a router which is leaving ends now: between requests, and not before the first.

    Guards what a client has sent and is not read yet: its first request is waited for.
    """
    return [
        client
        for client in clients.values()
        if client.asked and not client.requests and client.begun is None and client.parted is None
    ]
