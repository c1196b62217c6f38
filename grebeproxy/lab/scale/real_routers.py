"""Real routers, ``python -m grebeproxy``, started and ended by a service in a process of its own."""

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

from grebeproxy.errors import GrebeproxyError
from grebeproxy.lab.scale.addresses import Address, address_text
from grebeproxy.lab.scale.deployment import settings_document
from grebeproxy.lab.scale.meter import process_cpu_s, resident_bytes
from grebeproxy.lab.scale.plans import DUTY, DUTY_INTERVAL_S, KEY, MembershipPlan
from grebeproxy.units import MS_PER_SECOND

SOCKETS = 1024
MEMORY_MB = 192
START_TIMEOUT_S = 30.0
END_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05
SHOWN_LOG_CHARACTERS = 200


class RouterStartError(GrebeproxyError):
    """A real router did not accept clients in time. The text ends with the last characters of its log."""


@dataclass(frozen=True, slots=True)
class RealRouterPlan:
    """How one real router takes part; ``index`` is its number among all ``total`` routers."""

    name: str
    index: int
    total: int
    listen: Address  # for clients
    changelog: Address
    member: Address  # for membership packets
    advertise: Address  # where other members reach it
    seeds: tuple[Address, ...]
    membership: MembershipPlan


@dataclass(frozen=True, slots=True)
class RealRouterTotals:
    """What one real router has used since its start. CPU in seconds, ``taken_at`` on the monotonic clock."""

    taken_at: float
    cpu_s: float
    resident_bytes: int
    is_running: bool


@dataclass(frozen=True, slots=True)
class LoggedView:
    """The membership that a real router has logged last: the first 16 names, the count, and the condition."""

    members: str
    count: int
    condition: str


NO_VIEW = LoggedView("", 0, "none")


def config_json(plan: RealRouterPlan) -> bytes:
    """The router's configuration file."""
    return orjson.dumps(
        {
            "name": plan.name,
            "listen": address_text(plan.listen),
            "seed": f"{plan.index + 1:x}",
            "changelog": address_text(plan.changelog),
            "limits": {"sockets": SOCKETS, "memory_mb": MEMORY_MB},
            "settings": settings_document(plan.total, plan.index),
        }
    )


def peers_hcl(plan: RealRouterPlan) -> str:
    """The router's operator file, with the same membership settings as the hollow routers."""
    membership = plan.membership
    seeds = ", ".join(f'"{address_text(seed)}"' for seed in plan.seeds)
    lines = [
        "peers {",
        f'  listen    = "{address_text(plan.member)}"',
        f'  advertise = "{address_text(plan.advertise)}"',
        f"  fleet     = {membership.fleet}",
        f"  seeds     = [{seeds}]",
        f'  key       = "{KEY.decode()}"',
        f"  period_ms = {membership.period_s * MS_PER_SECOND:g}",
        f"  lease_ms  = {membership.lease_s * MS_PER_SECOND:g}",
        f"  settle_ms = {membership.settle_s * MS_PER_SECOND:g}",
        "}",
    ]
    if membership.duty_report is not None:
        lines += [
            f'duty "{DUTY}" {{',
            f'  report   = "{address_text(membership.duty_report)}"',
            f"  every_ms = {DUTY_INTERVAL_S * MS_PER_SECOND:g}",
            "}",
        ]
    return "\n".join(lines) + "\n"


class RouterProcess:
    """One real router, with its configuration and logs in a folder of its own."""

    def __init__(self, plan: RealRouterPlan, folder: Path) -> None:
        self.name = plan.name
        self._folder = folder
        folder.mkdir()
        config_path, peers_path = folder / "config.json", folder / "peers.hcl"
        config_path.write_bytes(config_json(plan))
        peers_path.write_text(peers_hcl(plan))
        environment = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        environment |= {"BALANCER_CONFIG": str(config_path), "BALANCER_PEERS": str(peers_path)}
        command = [sys.executable, "-m", "grebeproxy"]
        with (folder / "out").open("wb") as out, (folder / "log").open("wb") as log:
            self._process = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=out, stderr=log, env=environment
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    async def wait_until_serving(self) -> None:
        """Wait until the router accepts clients. Raises ``RouterStartError``."""
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while "router.listener.opened" not in self._log():
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            shown = self._log()[-SHOWN_LOG_CHARACTERS:]
            raise RouterStartError(f"{self.name} does not serve: {shown}") from None

    def _log(self) -> str:
        return (self._folder / "log").read_text()

    def view(self) -> LoggedView:
        """The membership that the router has logged last."""
        lines = (self._folder / "out").read_text().splitlines()
        seen = [line for line in map(orjson.loads, lines) if line["event"] == "peers.view.changed"]
        if not seen:
            return NO_VIEW
        return LoggedView(seen[-1]["members"], seen[-1]["count"], seen[-1]["condition"])

    def totals(self) -> RealRouterTotals:
        """What the router has used until now."""
        is_running = self._process.poll() is None
        return RealRouterTotals(
            time.monotonic(), process_cpu_s(self.pid), resident_bytes(self.pid), is_running
        )

    def terminate(self) -> None:
        """Send SIGTERM to the router."""
        self._process.terminate()

    def wait(self) -> None:
        """Wait until the router has ended, and kill it if that takes too long."""
        try:
            self._process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()


class RealRouters:
    """The service of one process: the real routers of one run, which end with it."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="grebeproxy-scale-")
        self._routers: list[RouterProcess] = []

    async def start(self, plans: list[RealRouterPlan]) -> list[int]:
        """Start the routers and wait until all serve; returns their process ids."""
        for plan in plans:
            self._routers.append(RouterProcess(plan, Path(self._folder.name) / plan.name))
        for router in self._routers:
            await router.wait_until_serving()
        return [router.pid for router in self._routers]

    async def close(self) -> None:
        """End all routers and remove their files."""
        for router in self._routers:
            router.terminate()
        for router in self._routers:
            router.wait()
        self._folder.cleanup()

    def totals(self) -> list[RealRouterTotals]:
        """What each router has used until now."""
        return [router.totals() for router in self._routers]

    def views(self) -> dict[str, LoggedView]:
        """The membership that each router has logged last, by its name."""
        return {router.name: router.view() for router in self._routers}
