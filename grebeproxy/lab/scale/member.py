"""The membership part of a hollow router: the product's node and packets on a socket of the lab."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import cast

from grebeproxy.lab.scale.addresses import Address
from grebeproxy.lab.scale.clock import SkewedClock
from grebeproxy.lab.scale.meter import Meter
from grebeproxy.membership.lease import Token
from grebeproxy.membership.wire import Sealed, WireError
from grebeproxy.peers import Node, PeersConfig, node
from grebeproxy.peers.runtime import DUTY_WITHIN, report
from grebeproxy.peers.operator_file import Duty

MIN_DELAY_S = 0.001  # of a timer, as in the product
INSTANCE_BITS = 56


@dataclass(frozen=True, slots=True)
class MemberChange:
    """What was last learned of a member, such as ``joined``, and when on the machine's clock."""

    learned_at: float
    event: str


class Member(asyncio.DatagramProtocol):
    """One member with a socket of its own."""

    def __init__(self, config: PeersConfig, seed: int, clock: SkewedClock, meter: Meter) -> None:
        rng = Random(seed)
        instance = rng.getrandbits(INSTANCE_BITS)
        self.name = config.member.name
        self.node = Node(config, instance, rng, clock.now())
        self.changes: dict[str, MemberChange] = {}  # by member
        self._config = config
        self._clock = clock
        self._meter = meter
        self._sealed = Sealed(config.key, instance, config.mark)
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._wake_at = 0.0  # on the router's clock
        self._duties: dict[str, asyncio.Task[None]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Be ready to send."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    async def open(self, bound: socket.socket) -> None:
        """Use a socket that is bound to the member's address; ``close`` closes it."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, sock=bound)

    def start(self) -> None:
        """Join the other members."""
        with self._meter:
            self._carry_out(self.node.begin(self._clock.now()))

    def close(self) -> None:
        """Stop at once, as a process that is killed: nobody is notified."""
        for task in self._duties.values():
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        """Verify a packet and pass its payload to the node; packets that fail are dropped."""
        self._meter.received(len(data))
        with self._meter:
            try:
                payload = self._sealed.open(data)
            except WireError:
                return
            self._carry_out(self.node.step(self._clock.now(), [node.PayloadReceived(payload)]))

    def error_received(self, exc: Exception) -> None:
        """Ignore an unreachable member: the node notices by the missing answer to its ping."""

    def _carry_out(self, effects: list[node.Effect]) -> None:
        for effect in effects:
            match effect:
                case node.Datagram(to, payload):
                    self._send(to, payload)
                case node.Wake(at):
                    self._wake(at)
                case node.Line("member", fields):
                    change = dict(fields)
                    self.changes[str(change["name"])] = MemberChange(time.monotonic(), str(change["what"]))
                case node.Begin(name):
                    self._start_duty(name)
                case node.Stop(name):
                    self._stop_duty(name)

    def _send(self, to: Address, payload: object) -> None:
        if self._transport is not None:
            packet = self._sealed.seal(payload)
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

    def _start_duty(self, name: str) -> None:
        duty = next(duty for duty in self._config.duties if duty.name == name)
        self._stop_duty(name)
        self._duties[name] = asyncio.get_running_loop().create_task(self._perform(duty))

    def _stop_duty(self, name: str) -> None:
        if (task := self._duties.pop(name, None)) is not None:
            task.cancel()

    async def _perform(self, duty: Duty) -> None:
        """Report for as long as the lease is held, at the duty's interval."""
        while (token := self.node.token(duty.name, self._clock.now())) is not None:
            higher: Token | None = None
            with suppress(TimeoutError, OSError):  # the next report follows after the interval
                async with asyncio.timeout(DUTY_WITHIN):
                    higher = await report(duty, token)
            if higher is not None:
                # Not from within this task: the node answers by stopping it.
                asyncio.get_running_loop().call_soon(self._report_rejected, duty.name, higher)
            await asyncio.sleep(duty.every)

    def _report_rejected(self, duty: str, higher: Token) -> None:
        with self._meter:
            self._carry_out(self.node.step(self._clock.now(), [node.Declined(duty, higher)]))


def bound_socket(address: Address) -> socket.socket:
    """A non-blocking datagram socket bound to an address; port 0 takes any. Raises ``OSError``."""
    created = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        created.setblocking(False)
        created.bind(address)
    except OSError:
        created.close()
        raise
    return created
