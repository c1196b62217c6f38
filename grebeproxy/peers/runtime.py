"""Runs the node on a socket: datagrams, timer, log and tasks of duties. The node makes all decisions."""

from __future__ import annotations

import asyncio
import os
import time
from random import Random

from grebeproxy.membership.lease import Token
from grebeproxy.membership.wire import PacketCodec, WireError
from grebeproxy.peers import interface
from grebeproxy.peers.duty_tasks import DutyTasks
from grebeproxy.peers.event_log import EventLog
from grebeproxy.peers.node import Node
from grebeproxy.peers.operator_file import PeersConfig

INSTANCE_BYTES = 7  # length of the random number that identifies a process among those of one name
MIN_TICK_DELAY = 0.001  # minimum seconds until a tick


class Peers(asyncio.DatagramProtocol):
    """One router's node on the running event loop. Call ``start`` first and ``stop`` at the end."""

    def __init__(self, config: PeersConfig) -> None:
        instance = int.from_bytes(os.urandom(INSTANCE_BYTES), "big")
        self.config = config
        self.node = Node(config, instance, Random(instance), self.now())
        self._packet_codec = PacketCodec(config.key, instance, config.settings_digest)
        self._log = EventLog(self.now)
        self._duty_tasks = DutyTasks(config.duties, self._token, self._on_duty_rejected, self._log.write)
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._rejected_packets: dict[str, int] = {}  # number of rejected packets by reason

    def now(self) -> float:
        """The time in seconds on the monotonic clock that the node uses."""
        return time.monotonic()

    async def start(self) -> None:
        """Listen, and join the other routers. Raises ``OSError`` if the address cannot be bound."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, self.config.listen)
        self._log.write("peers.node.started", name=self.config.member.name, fleet=self.config.member.fleet)
        self._carry_out(self.node.start(self.now()))

    async def stop(self) -> None:
        """Release the leases, announce that this router leaves, and close the socket."""
        self._step(interface.ShutdownRequested())
        if self._timer is not None:
            self._timer.cancel()
        await self._duty_tasks.close()
        # Datagrams that the socket could not accept at once are sent in the loop's next iteration.
        await asyncio.sleep(0.0)
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        """Open a packet; damaged, foreign and replayed packets are counted, and logged at a bounded rate."""
        try:
            payload = self._packet_codec.open(data)
        except WireError as error:
            self._on_rejected_packet(str(error))
            return
        self._step(interface.PayloadReceived(payload))

    def error_received(self, exc: Exception) -> None:
        """Ignore that a member's machine reports a closed port; the health check detects that failure too."""

    def _on_rejected_packet(self, reason: str) -> None:
        count = self._rejected_packets.get(reason, 0) + 1
        self._rejected_packets[reason] = count
        is_power_of_two = count & (count - 1) == 0
        if is_power_of_two:  # This bounds the log for any number of packets.
            self._log.write("peers.packet.rejected", reason=reason, count=count)

    def _step(self, event: interface.Event) -> None:
        self._carry_out(self.node.step(self.now(), [event]))

    def _carry_out(self, effects: list[interface.Effect]) -> None:
        for effect in effects:
            match effect:
                case interface.Datagram(to, payload):
                    if self._transport is not None:
                        self._transport.sendto(self._packet_codec.seal(payload), to)
                case interface.Wake(at):
                    self._schedule_tick(at)
                case interface.LogEvent(event, fields):
                    self._log.write(event, **dict(fields))
                case interface.StartDuty(name):
                    self._duty_tasks.start(name)
                case interface.StopDuty(name):
                    self._duty_tasks.stop(name)

    def _schedule_tick(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay = max(MIN_TICK_DELAY, at - self.now())
        self._timer = asyncio.get_running_loop().call_later(delay, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._step(interface.Tick())

    # --- Duties

    def _token(self, duty: str) -> Token | None:
        return self.node.token(duty, self.now())

    def _on_duty_rejected(self, duty: str, token: Token) -> None:
        self._step(interface.DutyRejected(duty, token))
