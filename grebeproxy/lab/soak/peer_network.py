"""What routers that know each other need: relays that count their datagrams, and the target of a duty."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any, cast

from grebeproxy.lab.scale.addresses import LOOPBACK_HOST, Address, free_address
from grebeproxy.lab.scale.duty_target import DutyTarget
from grebeproxy.lab.scale.plans import MembershipPlan
from grebeproxy.lab.scale.real_routers import RealRouterPlan, peers_hcl
from grebeproxy.lab.soak.recording import DutyReport
from grebeproxy.membership.lease import Token

PERIOD_S = 0.2
LEASE_S = 1.2
SETTLE_S = 0.5


class Relay(asyncio.DatagramProtocol):
    """Receives what the others send to one router, and passes it on."""

    def __init__(self, to: Address, sent: list[float]) -> None:
        self._to = to
        self._sent = sent
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Be ready to pass on."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass one datagram on, and record when."""
        self._sent.append(time.monotonic())
        if self._transport is not None:
            self._transport.sendto(data, self._to)

    def error_received(self, exc: Exception) -> None:
        """The router is down: datagrams to it are lost."""


class RecordingDutyTarget(DutyTarget):
    """Records each report of a duty, also those that are rejected."""

    def __init__(self, reports: list[DutyReport]) -> None:
        super().__init__()
        self._reports = reports

    def _answer(self, duty: str, token: Token) -> bytes:
        self._reports.append(DutyReport(time.monotonic(), token[0], token[1]))
        return super()._answer(duty, token)


class PeerNetwork:
    """The relays and the duty target of one run.

    ``sent`` receives the times of all datagrams between routers, ``reports`` all reports of the duty.
    """

    def __init__(self, routers: int, sent: list[float], reports: list[DutyReport]) -> None:
        self._routers = routers
        self._sent = sent
        self._target = RecordingDutyTarget(reports)
        self._transports: list[asyncio.DatagramTransport] = []

    async def open(self) -> list[str]:
        """Listen; gives the operator file of each router."""
        loop = asyncio.get_running_loop()
        membership = MembershipPlan(
            self._routers, PERIOD_S, LEASE_S, SETTLE_S, duty_report=await self._target.listen()
        )
        members = [free_address(socket.SOCK_DGRAM) for _ in range(self._routers)]
        relays: list[Address] = []
        for member in members:
            transport, _ = await loop.create_datagram_endpoint(
                lambda member=member: Relay(member, self._sent),  # type: ignore[misc]
                (LOOPBACK_HOST, 0),
            )
            self._transports.append(transport)
            relays.append((LOOPBACK_HOST, int(transport.get_extra_info("sockname")[1])))
        unused = (LOOPBACK_HOST, 0)  # the plan's addresses that an operator file does not hold
        return [
            peers_hcl(
                RealRouterPlan(
                    f"r{index}",
                    index,
                    self._routers,
                    unused,
                    unused,
                    members[index],
                    relays[index],
                    tuple(relays),
                    membership,
                )
            )
            for index in range(self._routers)
        ]

    async def close(self) -> None:
        """Stop listening."""
        for transport in self._transports:
            transport.close()
        await self._target.close()
