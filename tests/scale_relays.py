"""Relays before the sockets of routers: they pass on every datagram and note who sent what to whom."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any, cast

import msgpack

from grebeproxy.peers.node import DELTA, DIGEST, MEMBER, VOTE

Address = tuple[str, int]
BODY_AT = 17  # behind the version and the digest of a packet
GROUPS = {MEMBER: "membership", VOTE: "leases", DELTA: "replies"}
ASK, GRANT, DENY = 1, 2, 3  # votes on the wire
ASKS_AT = 4  # in a digest's payload: whether it begins an exchange, or replies in one


@dataclass(frozen=True, slots=True)
class Packet:
    """One datagram. ``payload`` is what the node packed."""

    at: float
    sender: int
    receiver: int
    size: int
    payload: list[Any]

    @property
    def group(self) -> str:
        if self.payload[0] == DIGEST:
            return "digests" if self.payload[ASKS_AT] else "replies"
        return GROUPS[self.payload[0]]


class Relay(asyncio.DatagramProtocol):
    def __init__(self, relays: Relays, receiver: int) -> None:
        self.relays, self.receiver = relays, receiver
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        relays = self.relays
        payload = msgpack.unpackb(data[BODY_AT:])[3]
        sender = relays.sockets.index((str(addr[0]), addr[1]))
        relays.packets.append(Packet(time.monotonic(), sender, self.receiver, len(data), payload))
        if self.transport is not None:
            self.transport.sendto(data, relays.sockets[self.receiver])


class Relays:
    """One relay for each router, on a thread of its own; ``sockets`` is where the routers really listen."""

    def __init__(self, count: int) -> None:
        self.sockets: list[Address] = []
        self.packets: list[Packet] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._transports: list[asyncio.DatagramTransport] = []
        self.addresses = asyncio.run_coroutine_threadsafe(self._listen(count), self._loop).result(10)

    async def _listen(self, count: int) -> list[Address]:
        for receiver in range(count):
            made = partial(Relay, self, receiver)
            transport, _ = await self._loop.create_datagram_endpoint(made, ("127.0.0.1", 0))
            self._transports.append(transport)
        return [transport.get_extra_info("sockname") for transport in self._transports]

    def between(self, since: float, until: float) -> list[Packet]:
        return [packet for packet in list(self.packets) if since <= packet.at < until]

    def close(self) -> None:
        for transport in self._transports:
            self._loop.call_soon_threadsafe(transport.abort)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)
        self._loop.close()


def digest_versions(packets: Iterable[Packet], sender: int) -> dict[str, tuple[int, int, int]]:
    """What the sender's whole digests told last of each origin: life and the number of changes."""
    told: dict[str, tuple[int, int, int]] = {}
    for packet in packets:
        if packet.sender == sender and packet.payload[0] == DIGEST and packet.payload[3]:
            told = {origin: (first, second, top) for origin, first, second, top in packet.payload[2]}
    return told
