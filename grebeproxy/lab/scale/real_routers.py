"""Real routers, ``python -m grebeproxy``, started and ended by a process of their own."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import orjson

from grebeproxy.lab.scale.deployment import Address, settings_json
from grebeproxy.lab.scale.hollow_routers import DUTY, DUTY_EVERY_S, KEY, MembershipPlan
from grebeproxy.lab.scale.meter import process_cpu_s, resident_bytes

SOCKETS = 1024
MEMORY_MB = 192
START_TIMEOUT_S = 30.0
END_TIMEOUT_S = 5.0
MILLISECONDS = 1000.0


@dataclass(frozen=True, slots=True)
class RealRouter:
    """How one real router takes part. ``index`` is its number among all routers."""

    name: str
    index: int
    total: int
    listen: Address
    changelog: Address
    member: Address
    advertise: Address
    seeds: tuple[Address, ...]
    membership: MembershipPlan


@dataclass(frozen=True, slots=True)
class RealFigures:
    """What one real router has used until now."""

    at: float
    cpu_s: float
    resident_bytes: int
    alive: bool


def config_json(router: RealRouter) -> bytes:
    """The router's configuration file."""
    return orjson.dumps(
        {
            "name": router.name,
            "listen": _text(router.listen),
            "seed": f"{router.index + 1:x}",
            "changelog": _text(router.changelog),
            "limits": {"sockets": SOCKETS, "memory_mb": MEMORY_MB},
            "settings": settings_json(router.total, router.index),
        }
    )


def peers_hcl(router: RealRouter) -> str:
    """The router's operator file: the same membership as the hollow ones'."""
    plan = router.membership
    seeds = ", ".join(f'"{_text(seed)}"' for seed in router.seeds)
    lines = [
        "peers {",
        f'  listen    = "{_text(router.member)}"',
        f'  advertise = "{_text(router.advertise)}"',
        f"  fleet     = {plan.fleet}",
        f"  seeds     = [{seeds}]",
        f'  key       = "{KEY.decode()}"',
        f"  period_ms = {plan.period_s * MILLISECONDS:g}",
        f"  lease_ms  = {plan.lease_s * MILLISECONDS:g}",
        f"  settle_ms = {plan.settle_s * MILLISECONDS:g}",
        "}",
    ]
    if plan.duty_report is not None:
        lines += [
            f'duty "{DUTY}" {{',
            f'  report   = "{_text(plan.duty_report)}"',
            f"  every_ms = {DUTY_EVERY_S * MILLISECONDS:g}",
            "}",
        ]
    return "\n".join(lines) + "\n"


class RealRouters:
    """The service: the routers of one run; they end with it."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="grebeproxy-scale-")
        self._routers: list[RealRouter] = []
        self._processes: list[subprocess.Popen[bytes]] = []

    async def start(self, routers: list[RealRouter]) -> list[int]:
        """Start these and wait until they serve; their process ids."""
        self._routers = routers
        self._processes = [self._launch(router) for router in self._routers]
        for router in self._routers:
            await self._serving(router)
        return [process.pid for process in self._processes]

    def _home(self, router: RealRouter) -> Path:
        return Path(self._folder.name) / router.name

    def _launch(self, router: RealRouter) -> subprocess.Popen[bytes]:
        home = self._home(router)
        home.mkdir()
        (home / "config.json").write_bytes(config_json(router))
        (home / "peers.hcl").write_text(peers_hcl(router))
        environ = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        environ |= {"BALANCER_CONFIG": str(home / "config.json"), "BALANCER_PEERS": str(home / "peers.hcl")}
        with (home / "out").open("wb") as out, (home / "log").open("wb") as log:
            command = [sys.executable, "-m", "grebeproxy"]
            return subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=out, stderr=log, env=environ)

    async def _serving(self, router: RealRouter) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while "router.listener.opened" not in (text := (self._home(router) / "log").read_text()):
            if time.monotonic() > deadline:
                raise TimeoutError(f"{router.name} does not serve: {text[-200:]}")
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        """End all by their ids."""
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            try:
                process.wait(END_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._folder.cleanup()

    def figures(self) -> list[RealFigures]:
        """What each has used until now."""
        return [
            RealFigures(
                time.monotonic(),
                process_cpu_s(process.pid),
                resident_bytes(process.pid),
                process.poll() is None,
            )
            for process in self._processes
        ]

    def views(self) -> dict[str, tuple[str, int, str]]:
        """The members (the first 16), their count and the condition that each has last told of."""
        return {router.name: self._view(router) for router in self._routers}

    def _view(self, router: RealRouter) -> tuple[str, int, str]:
        lines = (self._home(router) / "out").read_text().splitlines()
        seen = [line for line in map(orjson.loads, lines) if line["event"] == "view"]
        if not seen:
            return "", 0, "none"
        return seen[-1]["members"], seen[-1]["count"], seen[-1]["condition"]


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
