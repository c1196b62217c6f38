"""Where the routers' duty takes effect: a stand-in that refuses what comes under a token below one it saw."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from grebeproxy.lab.scale.deployment import Address
from grebeproxy.membership.lease import Fence, Token


@dataclass(frozen=True, slots=True)
class DutyFigures:
    """What took effect until now, who did it, and what was refused."""

    done: int
    refused: int
    holders: tuple[str, ...]  # in the order in which each came first


class DutyTarget:
    """The service: one line for each act, ``do DUTY BALLOT HOLDER``."""

    def __init__(self) -> None:
        self._fence = Fence()
        self._done = self._refused = 0
        self._holders: list[str] = []
        self._server: asyncio.Server | None = None

    async def listen(self) -> Address:
        """Begin to serve; where."""
        self._server = await asyncio.start_server(self._take, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return host, port

    async def close(self) -> None:
        """Take no more."""
        if self._server is not None:
            self._server.close()

    def figures(self) -> DutyFigures:
        """What took effect until now."""
        return DutyFigures(self._done, self._refused, tuple(self._holders))

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        match (await reader.readline()).decode(errors="replace").split():
            case ["do", duty, ballot, holder] if ballot.isdecimal():
                writer.write(self._answer(duty, Token(int(ballot), holder)))
        writer.close()

    def _answer(self, duty: str, token: Token) -> bytes:
        if not self._fence.admit(duty, token):
            self._refused += 1
            highest = self._fence.highest(duty)
            return f"NAK {highest[0]} {highest[1]}\n".encode()
        self._done += 1
        if token[1] not in self._holders:
            self._holders.append(token[1])
        return b"ACK\n"
