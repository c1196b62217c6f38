"""Whole statements through a real router process: its CPU per statement against engines and rates."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from statistics import median

import uvloop

from grebeproxy.lab.capacity.measure.peers import Peers, connected, offer, serving, total
from grebeproxy.lab.capacity.measure.process import RouterProcess, configuration
from grebeproxy.lab.capacity.measure.workload import Statements
from grebeproxy.lab.record import Point

RATES = (100, 250, 500, 1000, 2083)
ENGINES = (80, 200, 400, 800, 1600, 3200)
SLOW_RATE = 20  # statements a second that a router can decide also where each decision takes long
ROUTERS_PER_ENGINE = 0.75  # as at the target
FEW_ENGINES, FEW_ROUTERS = (
    16,
    12,
)  # a fleet of which a router keeps to all engines, and the load is the target's
CONNECTIONS = 64
WARM_UP, WINDOW = 1.5, 4.0  # seconds
ENGINE_DELAY = 0.003


def against_rate(rates: Iterable[int] = RATES, seed: int = 1) -> list[Point]:
    """Points at several rates with few engines: what a statement costs where deciding is short."""
    return [_point(FEW_ENGINES, FEW_ROUTERS, rate, seed) for rate in rates]


def against_engines(engines: Iterable[int] = ENGINES, seed: int = 1, rate: int = SLOW_RATE) -> list[Point]:
    """Points at several numbers of engines, with as many routers for each engine as at the target."""
    return [_point(count, round(count * ROUTERS_PER_ENGINE), rate, seed) for count in engines]


def _point(engines: int, routers: int, rate: int, seed: int) -> Point:
    return uvloop.run(_measured(engines, routers, rate, seed))


async def _measured(engines: int, routers: int, rate: int, seed: int) -> Point:
    statements = Statements(seed)
    async with Peers(engines, lambda: ENGINE_DELAY) as peers:
        with RouterProcess(configuration(engines, routers, peers.ports)) as router:
            await serving(router, peers.ports[0])
            clients = await connected(peers.ports[0], CONNECTIONS)
            await offer(clients, statements, rate, WARM_UP)
            (served, refused), cpu = total(clients), router.cpu_seconds()
            for client in clients:
                client.latencies.clear()
            await offer(clients, statements, rate, WINDOW)
            await asyncio.sleep(10 * ENGINE_DELAY)
            spent = router.cpu_seconds() - cpu
            now_served, now_refused = total(clients)
            latencies = [latency for client in clients for latency in client.latencies]
            rss = router.rss_mb()
            for client in clients:
                client.close()
    answered = now_served - served + now_refused - refused
    values = {
        "cpu_us": spent / max(1, answered) * 1e6,
        "cpu_percent": spent / WINDOW * 100,
        "served_per_s": (now_served - served) / WINDOW,
        "refused_per_s": (now_refused - refused) / WINDOW,
        "median_ms": median(latencies) * 1000 if latencies else float("nan"),
        "rss_mb": rss,
    }
    return Point({"engines": engines, "routers": routers, "rate": rate}, values)
