"""The membership part of a hollow router: the product's node and packets on a socket of the lab."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import dataclass
from random import Random
from typing import cast

from grebeproxy.lab.scale.addresses import Address
from grebeproxy.lab.scale.clock import SkewedClock
from grebeproxy.lab.scale.meter import Meter
from grebeproxy.membership.lease import Token
from grebeproxy.membership.wire import PacketCodec, WireError
from grebeproxy.peers import Node, PeersConfig, node
from grebeproxy.peers.duty_tasks import DutyTasks

MIN_DELAY_S = 0.001  # the shortest delay of a timer, as in the product
INSTANCE_BITS = 56


@dataclass(frozen=True, slots=True)
class MemberChange:
    """The last event learned of a member, such as ``joined``, and its time on the machine's clock."""

    learned_at: float
    event: str


class Member(asyncio.DatagramProtocol):
    """One member with a socket of its own."""

    def __init__(self, config: PeersConfig, seed: int, clock: SkewedClock, meter: Meter) -> None:
        rng = Random(seed)
        instance = rng.getrandbits(INSTANCE_BITS)
        self.name = config.member.name
        self.node = Node(config, instance, rng, clock.now())
        self.changes: dict[str, MemberChange] = {}  # by the member's name
        self._clock = clock
        self._meter = meter
        self._codec = PacketCodec(config.key, instance, config.settings_digest)
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._wake_at = 0.0  # on the router's clock
        self._duty_tasks = DutyTasks(config.duties, self._token, self._report_rejected, _log_nothing)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, on which packets are sent."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    async def open(self, bound: socket.socket) -> None:
        """Use a socket that is bound to the member's address; ``close`` closes it."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, sock=bound)

    def start(self) -> None:
        """Join the other members."""
        with self._meter:
            self._carry_out(self.node.start(self._clock.now()))

    def close(self) -> None:
        """Stop at once, as if the process were killed: no other member is notified."""
        self._duty_tasks.stop_all()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        """Verify a packet and pass its payload to the node. A packet that fails verification is dropped."""
        self._meter.received(len(data))
        with self._meter:
            try:
                payload = self._codec.open(data)
            except WireError:
                return
            self._carry_out(self.node.step(self._clock.now(), [node.PayloadReceived(payload)]))

    def error_received(self, exc: Exception) -> None:
        """Ignore the error for an unreachable member: the node notices that its ping is not answered."""

    def _carry_out(self, effects: list[node.Effect]) -> None:
        for effect in effects:
            match effect:
                case node.Datagram(to, payload):
                    self._send(to, payload)
                case node.Wake(at):
                    self._wake(at)
                case node.LogEvent(event, (("name", str(name)),)) if event.startswith("peers.member."):
                    change = event.removeprefix("peers.member.")
                    self.changes[name] = MemberChange(time.monotonic(), change)
                case node.StartDuty(name):
                    self._duty_tasks.start(name)
                case node.StopDuty(name):
                    self._duty_tasks.stop(name)

    def _send(self, to: Address, payload: object) -> None:
        if self._transport is not None:
            packet = self._codec.seal(payload)
            self._transport.sendto(packet, to)
            self._meter.sent(len(packet))

    def _wake(self, wake_at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._wake_at = wake_at
        delay = max(MIN_DELAY_S, self._clock.delay_until(wake_at))
        self._timer = asyncio.get_running_loop().call_later(delay, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._meter.timer_fired(self._clock.now() - self._wake_at)
        with self._meter:
            self._carry_out(self.node.step(self._clock.now(), [node.Tick()]))

    # --- duties

    def _token(self, duty: str) -> Token | None:
        return self.node.token(duty, self._clock.now())

    def _report_rejected(self, duty: str, higher: Token) -> None:
        with self._meter:
            self._carry_out(self.node.step(self._clock.now(), [node.DutyRejected(duty, higher)]))


def _log_nothing(event: str, **fields: object) -> None:
    """Write nothing: a hollow router has no log, and a failed report is followed by the next one."""


def bound_socket(address: Address) -> socket.socket:
    """A non-blocking datagram socket bound to an address; port 0 binds any free port. Raises ``OSError``."""
    created = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        created.setblocking(False)
        created.bind(address)
    except OSError:
        created.close()
        raise
    return created
