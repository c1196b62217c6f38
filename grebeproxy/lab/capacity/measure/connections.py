"""Memory and CPU that client connections take in a real router process, idle and all busy."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from dataclasses import dataclass

import uvloop

from grebeproxy.lab.capacity.measure.clients import (
    Answers,
    ClientConnection,
    any_pending,
    open_connections,
    total_answers,
    wait_until_serving,
)
from grebeproxy.lab.capacity.measure.process import RouterProcess, configuration
from grebeproxy.lab.capacity.measure.stub_servers import StubServers
from grebeproxy.lab.capacity.measure.workload import Statements
from grebeproxy.lab.record import KIBIBYTE, Point

CONNECTIONS = (500, 1000, 2000, 4000, 7500)
ENGINES = 16
ROUTERS = 12
IDLE_WINDOW = 2.0  # seconds, below the router's idle timeout for a client that has sent a request
ENGINE_DELAY = 0.003  # seconds until an engine answers
BUSY_WINDOW = 6.0  # seconds of reading memory while statements are pending; later answers are not counted
MEMORY_POLL_SECONDS = 0.02  # between two readings of memory


@dataclass(frozen=True, slots=True)
class Readings:
    """Readings of one process; memory is in mebibytes above that of the process without connections."""

    connect_seconds: float
    idle_mb: float
    idle_cpu: float  # CPU seconds per second
    open_connections: int
    busy_mb: float
    answers: Answers


def measure(connections: Iterable[int] = CONNECTIONS, seed: int = 1) -> list[Point]:
    """Return one point for each number of connections, relative to the process without connections."""
    return [_point(count, seed) for count in connections]


def _point(count: int, seed: int) -> Point:
    readings = uvloop.run(_read(count, seed))
    answers = readings.answers
    values = {
        "connect_s": readings.connect_seconds,
        "idle_mb": readings.idle_mb,
        "idle_kb_each": readings.idle_mb * KIBIBYTE / count,
        "idle_cpu_percent": readings.idle_cpu * 100,
        "busy_mb": readings.busy_mb,
        "busy_kb_each": readings.busy_mb * KIBIBYTE / count,
        "open": readings.open_connections,
        "served": answers.served - count,  # each connection's first request was a health check
        "refused": answers.rejected,
        "unanswered": 2 * count - answers.served - answers.rejected,
    }
    return Point({"connections": count}, values)


async def _read(count: int, seed: int) -> Readings:
    async with StubServers(ENGINES, lambda: ENGINE_DELAY) as servers:
        with RouterProcess(configuration(ENGINES, ROUTERS, servers.ports)) as router:
            await wait_until_serving(router, servers.ports.clients)
            empty_mb = router.rss_mb()
            started_at = time.monotonic()
            clients = await open_connections(servers.ports.clients, count)
            connect_seconds = time.monotonic() - started_at
            idle_mb = router.rss_mb() - empty_mb
            cpu_before = router.cpu_seconds()
            await asyncio.sleep(IDLE_WINDOW)
            idle_cpu = (router.cpu_seconds() - cpu_before) / IDLE_WINDOW
            still_open = sum(not client.closed for client in clients)
            busy_mb = await _peak_memory_mb(router, clients, Statements(seed)) - empty_mb
            answers = total_answers(clients)
            for client in clients:
                client.close()
    return Readings(connect_seconds, idle_mb, idle_cpu, still_open, busy_mb, answers)


async def _peak_memory_mb(
    router: RouterProcess, clients: list[ClientConnection], statements: Statements
) -> float:
    """Send a statement on each connection; return the peak resident memory while answers are pending."""
    for client in clients:
        client.send_statement(statements)
    peak = router.rss_mb()
    deadline = time.monotonic() + BUSY_WINDOW
    while any_pending(clients) and time.monotonic() < deadline:
        await asyncio.sleep(MEMORY_POLL_SECONDS)
        peak = max(peak, router.rss_mb())
    return peak
