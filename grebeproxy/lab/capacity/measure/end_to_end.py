"""Complete statements through a real router process: CPU per statement by number of engines and by rate."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

import uvloop

from grebeproxy.lab.capacity.measure.clients import (
    ClientConnection,
    open_connections,
    send_at_rate,
    total_answers,
    wait_until_serving,
)
from grebeproxy.lab.capacity.measure.process import RouterProcess, configuration
from grebeproxy.lab.capacity.measure.stub_servers import StubServers
from grebeproxy.lab.capacity.measure.workload import Statements
from grebeproxy.lab.record import Point

RATES = (100, 250, 500, 1000, 2083)  # statements per second
ENGINES = (80, 200, 400, 800, 1600, 3200)
SLOW_RATE = 20  # statements per second; low enough for a router whose decisions are slow
ROUTERS_PER_ENGINE = 0.75  # the ratio at the target size, 2,400 routers to 3,200 engines
FEW_ENGINES = 16  # few enough that a router uses all of them
FEW_ROUTERS = 12  # has the ratio ``ROUTERS_PER_ENGINE`` to ``FEW_ENGINES``
CONNECTIONS = 64
WARM_UP = 1.5  # seconds before the measurement
WINDOW = 4.0  # seconds of the measurement
ENGINE_DELAY = 0.003  # seconds until an engine answers
LAST_ANSWERS_SECONDS = 10 * ENGINE_DELAY  # wait for answers after the last statement is sent


@dataclass(frozen=True, slots=True)
class Load:
    """Numbers of engines and routers of a fleet, and the statements per second sent to one router."""

    engines: int
    routers: int
    rate: int


def against_rate(rates: Iterable[int] = RATES, seed: int = 1) -> list[Point]:
    """Return one point for each rate, with few engines, so that decisions are short."""
    return [_point(Load(FEW_ENGINES, FEW_ROUTERS, rate), seed) for rate in rates]


def against_engines(engines: Iterable[int] = ENGINES, seed: int = 1, rate: int = SLOW_RATE) -> list[Point]:
    """Return one point for each number of engines, with the target's ratio of routers to engines."""
    return [_point(Load(count, round(count * ROUTERS_PER_ENGINE), rate), seed) for count in engines]


def _point(load: Load, seed: int) -> Point:
    values = uvloop.run(_measure(load, seed))
    return Point({"engines": load.engines, "routers": load.routers, "rate": load.rate}, values)


async def _measure(load: Load, seed: int) -> dict[str, float]:
    statements = Statements(seed)
    async with StubServers(load.engines, lambda: ENGINE_DELAY) as servers:
        with RouterProcess(configuration(load.engines, load.routers, servers.ports)) as router:
            await wait_until_serving(router, servers.ports.clients)
            clients = await open_connections(servers.ports.clients, CONNECTIONS)
            await send_at_rate(clients, statements, load.rate, WARM_UP)
            values = await _measure_window(router, clients, statements, load.rate)
            for client in clients:
                client.close()
    return values


async def _measure_window(
    router: RouterProcess, clients: list[ClientConnection], statements: Statements, rate: int
) -> dict[str, float]:
    answers_before = total_answers(clients)
    cpu_before = router.cpu_seconds()
    for client in clients:
        client.latencies.clear()
    await send_at_rate(clients, statements, rate, WINDOW)
    await asyncio.sleep(LAST_ANSWERS_SECONDS)
    cpu_seconds = router.cpu_seconds() - cpu_before
    answers = total_answers(clients).since(answers_before)
    latencies = [latency for client in clients for latency in client.latencies]
    return {
        "cpu_us": cpu_seconds / max(1, answers.served + answers.rejected) * 1e6,
        "cpu_percent": cpu_seconds / WINDOW * 100,
        "served_per_s": answers.served / WINDOW,
        "refused_per_s": answers.rejected / WINDOW,
        "median_ms": median(latencies) * 1000 if latencies else float("nan"),
        "rss_mb": router.rss_mb(),
    }
