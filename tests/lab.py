"""Real router processes on loopback, with relays between them that drop, delay, double, cut or stall.

Each router is reached by the others at a port of a relay, which knows who sent what by the port it came from,
and passes it on, or does not. A duty's stand-in keeps an independent record of what took effect.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, cast

import orjson
from exchange import with_changes

from grebeproxy.membership.lease import Fence, Token

PERIOD_MS, LEASE_MS = 200, 1200
KEY = "a key for the lab only"


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as taken:
        taken.bind(("127.0.0.1", 0))
        port: int = taken.getsockname()[1]
        return port


class Relay(asyncio.DatagramProtocol):
    """What the others send to one router."""

    def __init__(self, lab: Lab, to: int) -> None:
        self.lab, self.to = lab, to
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        lab, sender = self.lab, self.lab.by_port.get(addr[1], -1)
        lab.datagrams += 1
        lab.bytes += len(data)
        if lab.cut(sender, self.to) or lab.rng.random() < lab.loss:
            return
        for _ in range(1 + (lab.rng.random() < lab.twice)):
            asyncio.get_running_loop().call_later(lab.rng.uniform(*lab.delay), self.pass_on, data)

    def pass_on(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.sendto(data, ("127.0.0.1", self.lab.ports[self.to]))


class Lab:
    """So many routers. Faults are set from the test; a thread of its own carries the network."""

    def __init__(self, folder: Path, n: int, seed: int = 1) -> None:
        self.folder, self.n, self.rng = folder, n, Random(seed)
        self.ports = [free_port(socket.SOCK_DGRAM) for _ in range(n)]
        self.by_port = {port: m for m, port in enumerate(self.ports)}
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self.loss = self.twice = 0.0
        self.delay = (0.0, 0.005)
        self.datagrams = self.bytes = 0
        self.fence, self.late = Fence(), 0
        self.effects: list[tuple[float, Token]] = []
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.lives = [0] * n
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.relays, self.duty = asyncio.run_coroutine_threadsafe(self.listen(), self.loop).result(10)

    async def listen(self) -> tuple[list[int], int]:
        ports = []
        for m in range(self.n):
            relay = partial(Relay, self, m)
            transport, _ = await self.loop.create_datagram_endpoint(relay, ("127.0.0.1", 0))
            ports.append(transport.get_extra_info("sockname")[1])
        server = await asyncio.start_server(self.take, "127.0.0.1", 0)
        return ports, server.sockets[0].getsockname()[1]

    async def take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A duty takes effect here, or is refused."""
        match (await reader.readline()).decode().split():
            case ["do", duty, ballot, holder]:
                token = Token(int(ballot), holder)
                if self.fence.admit(duty, token):
                    self.effects.append((time.monotonic(), token))
                    writer.write(b"ACK\n")
                else:
                    self.late += 1
                    writer.write("NAK {} {}\n".format(*self.fence.highest(duty)).encode())
        writer.close()

    def start(self, *members: int, fleet: int | None = None) -> None:
        for m in members:
            home = self.folder / f"n{m}"
            home.mkdir(exist_ok=True)
            port, log = free_port(), free_port()
            told = with_changes(
                {"name": f"n{m}", "listen": f"127.0.0.1:{port}", "changelog": f"127.0.0.1:{log}"}
            )
            (home / "config.json").write_bytes(orjson.dumps(told))
            seeds = ", ".join(f'"127.0.0.1:{relay}"' for relay in self.relays)
            (home / "peers.hcl").write_text(f"""
peers {{
  listen    = "127.0.0.1:{self.ports[m]}"
  advertise = "127.0.0.1:{self.relays[m]}"
  fleet     = {fleet or self.n}
  seeds     = [{seeds}]
  key       = "{KEY}"
  period_ms = {PERIOD_MS}
  lease_ms  = {LEASE_MS}
  settle_ms = 500
}}
duty "count" {{
  report   = "127.0.0.1:{self.duty}"
  every_ms = 50
}}
""")
            out = (home / f"log{self.lives[m]}").open("wb")
            self.lives[m] += 1
            self.processes[m] = subprocess.Popen(
                [sys.executable, "-m", "grebeproxy"],
                stdout=out,
                stderr=subprocess.DEVNULL,
                env={
                    **os.environ,
                    "BALANCER_CONFIG": str(home / "config.json"),
                    "BALANCER_PEERS": str(home / "peers.hcl"),
                },
            )

    def signal(self, number: signal.Signals, *members: int) -> None:
        for m in members:
            self.processes[m].send_signal(number)

    def kill(self, *members: int) -> None:
        for m in members:
            process = self.processes.pop(m)
            process.kill()
            process.wait()

    def lines(self, m: int) -> list[dict[str, Any]]:
        """What the router's latest process has logged of what routers share."""
        text = (self.folder / f"n{m}" / f"log{self.lives[m] - 1}").read_text()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    def view(self, m: int) -> dict[str, Any]:
        views = [line for line in self.lines(m) if line["event"] == "view"]
        return views[-1] if views else {"members": "", "condition": "none"}

    def agree(self, members: list[int]) -> bool:
        names = " ".join(f"n{m}" for m in members)
        return all(self.view(m)["members"] == names for m in members)

    def until(self, wanted: Callable[[], bool], most: float) -> float:
        began = time.monotonic()
        while not wanted():
            assert time.monotonic() - began < most, f"not within {most} s"
            time.sleep(0.1)
        return time.monotonic() - began

    def acts_on(self, most: float) -> None:
        """The duty is done again, by somebody."""
        before = len(self.effects)
        self.until(lambda: len(self.effects) > before + 5, most)

    def end(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)

    def check(self) -> None:
        """Of what took effect nothing came after something under a higher token."""
        tokens = [token for _, token in self.effects]
        assert tokens == sorted(tokens) and tokens
