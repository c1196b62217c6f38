"""Real router processes on loopback, with relays between them that lose, delay, duplicate or block packets.

Each router advertises the port of its own relay. The relay identifies the sender of a packet by its source
port, and forwards or drops the packet. A server that receives the duty's reports keeps an independent record
of those that took effect.
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
    with socket.socket(socket.AF_INET, kind) as bound:
        bound.bind(("127.0.0.1", 0))
        port: int = bound.getsockname()[1]
        return port


class Relay(asyncio.DatagramProtocol):
    """Receives the packets that the other routers send to one router."""

    def __init__(self, lab: Lab, to: int) -> None:
        self.lab, self.to = lab, to
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        lab, sender = self.lab, self.lab.router_by_port.get(addr[1], -1)
        lab.datagrams += 1
        lab.datagram_bytes += len(data)
        if lab.is_cut(sender, self.to) or lab.rng.random() < lab.loss:
            return
        for _ in range(1 + (lab.rng.random() < lab.duplication)):
            asyncio.get_running_loop().call_later(lab.rng.uniform(*lab.delay), self.forward, data)

    def forward(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.sendto(data, ("127.0.0.1", self.lab.ports[self.to]))


class Lab:
    """``size`` routers. Tests set the faults; the relays and the duty's server run on another thread."""

    def __init__(self, folder: Path, size: int, seed: int = 1) -> None:
        self.folder, self.size, self.rng = folder, size, Random(seed)
        self.ports = [free_port(socket.SOCK_DGRAM) for _ in range(size)]
        self.router_by_port = {port: router for router, port in enumerate(self.ports)}
        self.is_cut: Callable[[int, int], bool] = lambda sender, receiver: False
        self.loss = self.duplication = 0.0
        self.delay = (0.0, 0.005)
        self.datagrams = self.datagram_bytes = 0
        self.fence = Fence()
        self.rejected = 0  # number of reports under a token that is no longer the highest
        self.duty_effects: list[tuple[float, Token]] = []
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.starts = [0] * size
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.relay_ports, self.duty_port = asyncio.run_coroutine_threadsafe(self.listen(), self.loop).result(
            10
        )

    async def listen(self) -> tuple[list[int], int]:
        ports = []
        for router in range(self.size):
            relay = partial(Relay, self, router)
            transport, _ = await self.loop.create_datagram_endpoint(relay, ("127.0.0.1", 0))
            ports.append(transport.get_extra_info("sockname")[1])
        server = await asyncio.start_server(self.serve_duty, "127.0.0.1", 0)
        return ports, server.sockets[0].getsockname()[1]

    async def serve_duty(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one report, which takes effect or is rejected."""
        match (await reader.readline()).decode().split():
            case ["do", duty, ballot, holder]:
                token = Token(int(ballot), holder)
                if self.fence.admit(duty, token):
                    self.duty_effects.append((time.monotonic(), token))
                    writer.write(b"ACK\n")
                else:
                    self.rejected += 1
                    writer.write("NAK {} {}\n".format(*self.fence.highest(duty)).encode())
        writer.close()

    def start(self, *routers: int, fleet: int | None = None) -> None:
        for router in routers:
            home = self.folder / f"n{router}"
            home.mkdir(exist_ok=True)
            port, log = free_port(), free_port()
            config = with_changes(
                {"name": f"n{router}", "listen": f"127.0.0.1:{port}", "changelog": f"127.0.0.1:{log}"}
            )
            (home / "config.json").write_bytes(orjson.dumps(config))
            seeds = ", ".join(f'"127.0.0.1:{relay}"' for relay in self.relay_ports)
            (home / "peers.hcl").write_text(f"""
peers {{
  listen    = "127.0.0.1:{self.ports[router]}"
  advertise = "127.0.0.1:{self.relay_ports[router]}"
  fleet     = {fleet or self.size}
  seeds     = [{seeds}]
  key       = "{KEY}"
  period_ms = {PERIOD_MS}
  lease_ms  = {LEASE_MS}
  settle_ms = 500
}}
duty "count" {{
  report   = "127.0.0.1:{self.duty_port}"
  every_ms = 50
}}
""")
            out = (home / f"log{self.starts[router]}").open("wb")
            self.starts[router] += 1
            self.processes[router] = subprocess.Popen(
                [sys.executable, "-m", "grebeproxy"],
                stdout=out,
                stderr=subprocess.DEVNULL,
                env={
                    **os.environ,
                    "BALANCER_CONFIG": str(home / "config.json"),
                    "BALANCER_PEERS": str(home / "peers.hcl"),
                },
            )

    def send_signal(self, number: signal.Signals, *routers: int) -> None:
        for router in routers:
            self.processes[router].send_signal(number)

    def kill(self, *routers: int) -> None:
        for router in routers:
            process = self.processes.pop(router)
            process.kill()
            process.wait()

    def log_events(self, router: int) -> list[dict[str, Any]]:
        """The log events of the router's latest process."""
        text = (self.folder / f"n{router}" / f"log{self.starts[router] - 1}").read_text()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    def view(self, router: int) -> dict[str, Any]:
        views = [line for line in self.log_events(router) if line["event"] == "peers.view.changed"]
        return views[-1] if views else {"members": "", "condition": "none"}

    def views_agree(self, routers: list[int]) -> bool:
        names = " ".join(f"n{router}" for router in routers)
        return all(self.view(router)["members"] == names for router in routers)

    def wait_until(self, condition: Callable[[], bool], timeout: float) -> float:
        began = time.monotonic()
        while not condition():
            assert time.monotonic() - began < timeout, f"not within {timeout} s"
            time.sleep(0.1)
        return time.monotonic() - began

    def wait_until_duty_is_done(self, timeout: float) -> None:
        """Wait until the duty has taken effect several more times, whichever router holds its lease."""
        before = len(self.duty_effects)
        self.wait_until(lambda: len(self.duty_effects) > before + 5, timeout)

    def stop(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)

    def check_token_order(self) -> None:
        """Fail unless the tokens of all reports that took effect are in order."""
        tokens = [token for _, token in self.duty_effects]
        assert tokens == sorted(tokens) and tokens
