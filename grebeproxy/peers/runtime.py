"""Datagrams, timers and the log of what routers share; and duties, done over a connection of their own.

Nothing is decided here. A duty is one line, ``do NAME BALLOT HOLDER``, to where the operator file says; the
answer is a line that starts with ``ACK``, or ``NAK BALLOT HOLDER`` with the highest token that was seen
there.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from random import Random

import structlog

from grebeproxy.errors import GrebeproxyError
from grebeproxy.membership.lease import Token
from grebeproxy.membership.wire import Sealed, WireError
from grebeproxy.peers import node
from grebeproxy.peers.operator_file import Duty, PeersConfig

LINES_A_SECOND = 20  # of the log, beyond which they are counted and left out
DUTY_WITHIN = 2.0  # seconds for one report
MAX_BALLOT_DIGITS = 16


class DutyAnswerError(GrebeproxyError, OSError):
    """The place where a duty takes effect answered with a line that is neither ``ACK`` nor ``NAK``.

    Derives from ``OSError`` as well, so that it is logged as ``duty not reported`` like a lost connection.
    """


class Log:
    """Structured lines, bounded in rate."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._log = structlog.wrap_logger(
            structlog.WriteLogger(), processors=[structlog.processors.JSONRenderer()]
        )
        self._now, self._second, self._lines, self.left_out = now, 0, 0, 0

    def line(self, event: str, **fields: object) -> None:
        """Write a line, unless there were too many in this second."""
        second = int(self._now())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > LINES_A_SECOND:
            self.left_out += 1
            return
        if self.left_out:
            fields["left_out"], self.left_out = self.left_out, 0
        self._log.info(event, **fields)


class Peers(asyncio.DatagramProtocol):
    """One router's part, on a running loop: ``start``, and ``stop`` at the end."""

    def __init__(self, config: PeersConfig) -> None:
        self.config, self._log = config, Log(self.now)
        instance = int.from_bytes(os.urandom(7), "big")
        self._sealed = Sealed(config.key, instance, config.mark)
        self.node = node.Node(config, instance, Random(instance), self.now())
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._duties: dict[str, asyncio.Task[None]] = {}
        self._rejected: dict[str, int] = {}

    def now(self) -> float:
        """The clock that all goes by."""
        return time.monotonic()

    async def start(self) -> None:
        """Listen and join. Raises ``OSError`` where the address cannot be had."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, self.config.listen)
        self._log.line("peers", name=self.config.member.name, fleet=self.config.member.fleet)
        self._carry_out(self.node.begin(self.now()))

    async def stop(self) -> None:
        """Say that this router ends, and end."""
        self._carry_out(self.node.step(self.now(), [node.Ending()]))
        for task in list(self._duties.values()):
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        await asyncio.sleep(0.0)
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        """Open a packet; what is damaged, foreign or a repeat is counted and logged now and then."""
        try:
            payload = self._sealed.open(data)
        except WireError as error:
            reason = str(error)
            self._rejected[reason] = count = self._rejected.get(reason, 0) + 1
            if count & (count - 1) == 0:  # 1, 2, 4, 8 …: bounded, however many come
                self._log.line("packet not taken", reason=reason, count=count)
            return
        self._carry_out(self.node.step(self.now(), [node.PayloadReceived(payload)]))

    def error_received(self, exc: Exception) -> None:
        """A member's machine reports that nobody listens: its probe shows as much."""

    def _carry_out(self, effects: list[node.Effect]) -> None:
        for effect in effects:
            match effect:
                case node.Datagram(to, payload):
                    if self._transport is not None:
                        self._transport.sendto(self._sealed.seal(payload), to)
                case node.Wake(at):
                    if self._timer is not None:
                        self._timer.cancel()
                    delay = max(0.001, at - self.now())
                    self._timer = asyncio.get_running_loop().call_later(delay, self._tick)
                case node.Line(event, fields):
                    self._log.line(event, **dict(fields))
                case node.Begin(name):
                    duty = next(duty for duty in self.config.duties if duty.name == name)
                    self._end(name)
                    self._duties[name] = asyncio.get_running_loop().create_task(self._do(duty))
                case node.Stop(name):
                    self._end(name)

    def _tick(self) -> None:
        self._timer = None
        self._carry_out(self.node.step(self.now(), [node.Tick()]))

    def _end(self, name: str) -> None:
        if (task := self._duties.pop(name, None)) is not None:
            task.cancel()

    async def _do(self, duty: Duty) -> None:
        """Do a duty for as long as it is held; the clock is asked before each time."""
        while (token := self.node.token(duty.name, self.now())) is not None:
            try:
                answer = await asyncio.wait_for(report(duty, token), DUTY_WITHIN)
            except (TimeoutError, OSError) as error:
                self._log.line("duty not reported", duty=duty.name, reason=str(error) or "no answer in time")
            else:
                if answer is not None:
                    self._log.line("duty refused", duty=duty.name, ballot=token[0], seen=answer[0])
                    # Not from within this task, which the answer ends.
                    asyncio.get_running_loop().call_soon(self._declined, duty.name, answer)
            await asyncio.sleep(duty.every)

    def _declined(self, duty: str, token: Token) -> None:
        self._carry_out(self.node.step(self.now(), [node.Declined(duty, token)]))


async def report(duty: Duty, token: Token) -> Token | None:
    """Do a duty once over a connection of its own; ``None`` where it was acknowledged.

    Gives the higher ``(ballot, lease holder)`` token where it was rejected. Raises ``OSError`` where the
    connection fails and ``DutyAnswerError`` for any other answer.
    """
    reader, writer = await asyncio.open_connection(*duty.report)
    try:
        writer.write(f"do {duty.name} {token[0]} {token[1]}\n".encode())
        line = await reader.readline()
    finally:
        writer.close()
    match line.decode("utf-8", "replace").split():
        case ["ACK", *_]:
            return None
        case ["NAK", ballot, lease_holder] if ballot.isdecimal() and len(ballot) <= MAX_BALLOT_DIGITS:
            return Token(int(ballot), lease_holder)
    raise DutyAnswerError(f"not an answer: {line[:40]!r}")
