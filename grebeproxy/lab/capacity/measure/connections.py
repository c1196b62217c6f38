"""Memory and CPU of client connections at a real router process, idle and when all ask at once."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable

import uvloop

from grebeproxy.lab.capacity.measure.peers import (
    ClientConnection,
    Peers,
    connected,
    serving,
    total,
)
from grebeproxy.lab.capacity.measure.process import RouterProcess, configuration
from grebeproxy.lab.capacity.measure.workload import Statements
from grebeproxy.lab.record import Point

CONNECTIONS = (500, 1000, 2000, 4000, 7500)
ENGINES, ROUTERS = 16, 12
IDLE_WINDOW = 2.0  # seconds, below the router's patience with clients that have asked once
ENGINE_DELAY = 0.003
BUSY_WINDOW = (
    6.0  # seconds for which memory is looked at while all ask; what is held longer is not waited for
)
LOOK = 0.02  # seconds between looks at the memory


def measure(connections: Iterable[int] = CONNECTIONS, seed: int = 1) -> list[Point]:
    """One point for each number of connections, against the same process with none."""
    return [uvloop.run(_point(count, seed)) for count in connections]


async def _point(count: int, seed: int) -> Point:
    async with Peers(ENGINES, lambda: ENGINE_DELAY) as peers:
        with RouterProcess(configuration(ENGINES, ROUTERS, peers.ports)) as router:
            await serving(router, peers.ports[0])
            empty = router.rss_mb()
            began = time.monotonic()
            clients = await connected(peers.ports[0], count)
            took = time.monotonic() - began
            idle = router.rss_mb() - empty
            cpu = router.cpu_seconds()
            await asyncio.sleep(IDLE_WINDOW)
            idle_cpu = (router.cpu_seconds() - cpu) / IDLE_WINDOW
            open_clients = sum(not client.closed for client in clients)
            busy = await _busy(router, clients, Statements(seed)) - empty
            served, refused = total(clients)
            for client in clients:
                client.close()
    values = {
        "connect_s": took,
        "idle_mb": idle,
        "idle_kb_each": idle * 1024 / count,
        "idle_cpu_percent": idle_cpu * 100,
        "busy_mb": busy,
        "busy_kb_each": busy * 1024 / count,
        "open": open_clients,
        "served": served - count,
        "refused": refused,
        "unanswered": 2 * count - served - refused,
    }
    return Point({"connections": count}, values)


async def _busy(router: RouterProcess, clients: list[ClientConnection], statements: Statements) -> float:
    """The most memory while each connection has a statement open, in MB."""
    for client in clients:
        client.ask(statements)
    most, until = router.rss_mb(), time.monotonic() + BUSY_WINDOW
    while any(client.open and not client.closed for client in clients) and time.monotonic() < until:
        await asyncio.sleep(LOOK)
        most = max(most, router.rss_mb())
    return most
