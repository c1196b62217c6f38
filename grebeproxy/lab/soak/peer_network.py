"""The network of routers that are peers: relays that record their datagrams, and the target of a duty."""

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
    """Receives the datagrams that other routers send to one router, and forwards them."""

    def __init__(self, to: Address, sent: list[float]) -> None:
        self._to = to
        self._sent = sent
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, so that datagrams can be forwarded."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Forward one datagram, and record its time."""
        self._sent.append(time.monotonic())
        if self._transport is not None:
            self._transport.sendto(data, self._to)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: datagrams to a router that is down are lost."""


class RecordingDutyTarget(DutyTarget):
    """A duty target that records each report, including those that it rejects."""

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
        """Start listening, and return the text of each router's operator file."""
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
        unused = (LOOPBACK_HOST, 0)  # placeholder for addresses that an operator file does not contain
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
