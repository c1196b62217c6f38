"""Seconds from a router's start until it answers a client, with a list of engines in its configuration."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import uvloop

from grebeproxy.lab.capacity.measure.clients import wait_until_serving
from grebeproxy.lab.capacity.measure.process import RouterProcess, configuration
from grebeproxy.lab.capacity.measure.stub_servers import StubServers
from grebeproxy.lab.record import Point

ENGINES = (80, 200, 400, 800, 1600, 3200)
ROUTERS = 2400
RUNS = 3


class Start(NamedTuple):
    """One start: seconds until the router serves, with the CPU seconds and resident mebibytes by then."""

    serves_s: float
    cpu_s: float
    rss_mb: float


def measure(engines: Iterable[int] = ENGINES, seed: int = 1) -> list[Point]:
    """Return one point for each number of engines; each value is the minimum of several starts."""
    return [_point(count) for count in engines]


def _point(engines: int) -> Point:
    runs = [uvloop.run(_start(engines)) for _ in range(RUNS)]
    values = {
        "serves_s": min(run.serves_s for run in runs),
        "cpu_s": min(run.cpu_s for run in runs),
        "rss_mb": min(run.rss_mb for run in runs),
    }
    return Point({"engines": engines, "routers": ROUTERS}, values)


async def _start(engines: int) -> Start:
    async with StubServers(0, lambda: 0.0) as servers:
        with RouterProcess(configuration(engines, ROUTERS, servers.ports)) as router:
            serves = await wait_until_serving(router, servers.ports.clients)
            return Start(serves, router.cpu_seconds(), router.rss_mb())
