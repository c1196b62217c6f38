"""The service that the routers' duty acts on: it rejects a fencing token below one that it has seen."""

from __future__ import annotations

import asyncio
from contextlib import closing
from dataclasses import dataclass

from grebeproxy.lab.scale.addresses import LOOPBACK_HOST, Address
from grebeproxy.membership.lease import Fence, Token


@dataclass(frozen=True, slots=True)
class DutyTotals:
    """Numbers of reports until now, and the lease holders in the order of their first accepted report."""

    accepted: int
    rejected: int
    lease_holders: tuple[str, ...]


class DutyTarget:
    """The service of one process. Each report is a line ``do DUTY BALLOT HOLDER`` on its own connection."""

    def __init__(self) -> None:
        self._fence = Fence()
        self._accepted = 0
        self._rejected = 0
        self._lease_holders: list[str] = []
        self._server: asyncio.Server | None = None

    async def listen(self) -> Address:
        """Begin to serve; returns the address."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK_HOST, 0)
        host, port = self._server.sockets[0].getsockname()
        return host, port

    async def close(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    def totals(self) -> DutyTotals:
        """The reports until now."""
        return DutyTotals(self._accepted, self._rejected, tuple(self._lease_holders))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with closing(writer):
            line = await reader.readline()
            match line.decode(errors="replace").split():
                case ["do", duty, ballot, lease_holder] if ballot.isdecimal():
                    writer.write(self._answer(duty, Token(int(ballot), lease_holder)))

    def _answer(self, duty: str, token: Token) -> bytes:
        if not self._fence.admit(duty, token):
            self._rejected += 1
            highest = self._fence.highest(duty)
            return f"NAK {highest[0]} {highest[1]}\n".encode()
        self._accepted += 1
        lease_holder = token[1]
        if lease_holder not in self._lease_holders:
            self._lease_holders.append(lease_holder)
        return b"ACK\n"
