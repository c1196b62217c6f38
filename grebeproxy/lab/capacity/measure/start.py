"""Seconds from a router's start until it answers a client, with a list of engines in its configuration."""

from __future__ import annotations

from collections.abc import Iterable

import uvloop

from grebeproxy.lab.capacity.measure.peers import Peers, serving
from grebeproxy.lab.capacity.measure.process import RouterProcess, configuration
from grebeproxy.lab.record import Point

ENGINES = (80, 200, 400, 800, 1600, 3200)
ROUTERS = 2400
RUNS = 3


def measure(engines: Iterable[int] = ENGINES, seed: int = 1) -> list[Point]:
    """One point for each number of engines: the least of several starts, and memory when it serves."""
    return [_point(count) for count in engines]


def _point(engines: int) -> Point:
    runs = [uvloop.run(_start(engines)) for _ in range(RUNS)]
    names = ("serves_s", "cpu_s", "rss_mb")
    values = {name: min(run[position] for run in runs) for position, name in enumerate(names)}
    return Point({"engines": engines, "routers": ROUTERS}, values)


async def _start(engines: int) -> tuple[float, float, float]:
    async with Peers(0, lambda: 0.0) as peers:
        with RouterProcess(configuration(engines, ROUTERS, peers.ports)) as router:
            serves = await serving(router, peers.ports[0])
            return serves, router.cpu_seconds(), router.rss_mb()
