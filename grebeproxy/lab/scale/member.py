"""The part of a hollow router that knows the others: the product's node and wire, timers and duties."""

from __future__ import annotations

import asyncio
import socket
import time
from random import Random
from typing import cast

from grebeproxy.lab.scale.clock import SlackClock
from grebeproxy.lab.scale.meter import Meter
from grebeproxy.membership.lease import Token
from grebeproxy.membership.wire import Sealed, WireError
from grebeproxy.peers import Node, PeersConfig, node
from grebeproxy.peers.duty_client import REPORT_TIMEOUT, report
from grebeproxy.peers.operator_file import Duty

SHORTEST_DELAY_S = 0.001  # as in the product's edge
INSTANCE_BITS = 56


class Member(asyncio.DatagramProtocol):
    """One member on a socket of its own."""

    def __init__(self, config: PeersConfig, seed: int, clock: SlackClock, meter: Meter) -> None:
        rng = Random(seed)
        instance = rng.getrandbits(INSTANCE_BITS)
        self.config, self._clock, self._meter = config, clock, meter
        self._sealed = Sealed(config.key, instance, config.settings_digest)
        self.node = Node(config, instance, rng, clock.now())
        self.refused = 0
        self.changes: dict[str, tuple[float, str]] = {}  # by member: when something was told of it, and what
        self.duties_done = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._wake_at = 0.0
        self._duties: dict[str, asyncio.Task[None]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is there."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    async def open(self, bound: socket.socket) -> None:
        """Use a socket that is bound to the member's address."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, sock=bound)

    def start(self) -> None:
        """Join."""
        with self._meter:
            self._carry_out(self.node.start(self._clock.now()))

    def close(self) -> None:
        """End without a word, as a process that is killed."""
        for task in self._duties.values():
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        """Open a packet and let the node take it."""
        self._meter.received(len(data))
        with self._meter:
            try:
                payload = self._sealed.open(data)
            except WireError:
                self.refused += 1
                return
            self._carry_out(self.node.step(self._clock.now(), [node.PayloadReceived(payload)]))

    def error_received(self, exc: Exception) -> None:
        """A member's machine said that nobody listens: its probe tells as much."""

    def _carry_out(self, effects: list[node.Effect]) -> None:
        for effect in effects:
            match effect:
                case node.Datagram(to, payload):
                    self._send(to, payload)
                case node.Wake(at):
                    self._wake(at)
                case node.LogEvent(event, (("name", str(member)),)) if event.startswith("peers.member."):
                    self.changes[member] = (time.monotonic(), event.removeprefix("peers.member."))
                case node.StartDuty(name):
                    self._begin(name)
                case node.StopDuty(name):
                    self._stop(name)

    def _send(self, to: tuple[str, int], payload: object) -> None:
        if self._transport is not None:
            packet = self._sealed.seal(payload)
            self._transport.sendto(packet, to)
            self._meter.sent(len(packet))

    def _wake(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._wake_at = at
        delay = max(SHORTEST_DELAY_S, self._clock.delay(at))
        self._timer = asyncio.get_running_loop().call_later(delay, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._meter.woken(self._clock.now() - self._wake_at)
        with self._meter:
            self._carry_out(self.node.step(self._clock.now(), [node.Tick()]))

    # --- duties

    def _begin(self, name: str) -> None:
        duty = next(duty for duty in self.config.duties if duty.name == name)
        self._stop(name)
        self._duties[name] = asyncio.get_running_loop().create_task(self._do(duty))

    def _stop(self, name: str) -> None:
        if (task := self._duties.pop(name, None)) is not None:
            task.cancel()

    async def _do(self, duty: Duty) -> None:
        while (token := self.node.token(duty.name, self._clock.now())) is not None:
            try:
                higher = await asyncio.wait_for(report(duty, token), REPORT_TIMEOUT)
            except (TimeoutError, OSError):
                higher = None
            else:
                self.duties_done += 1
            if higher is not None:
                asyncio.get_running_loop().call_soon(self._declined, duty.name, higher)
            await asyncio.sleep(duty.interval)

    def _declined(self, duty: str, token: Token) -> None:
        with self._meter:
            self._carry_out(self.node.step(self._clock.now(), [node.DutyRejected(duty, token)]))


def bound_socket(address: tuple[str, int]) -> socket.socket:
    """A datagram socket at an address; port 0 takes any."""
    made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        made.setblocking(False)
        made.bind(address)
    except OSError:
        made.close()
        raise
    return made
