"""Relays in front of the routers' sockets: they forward every datagram and record sender and receiver."""

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
BODY_OFFSET = 17  # after the version and the digest of a packet
GROUPS = {MEMBER: "membership", VOTE: "leases", DELTA: "replies"}
REQUEST, GRANT, DENY = 1, 2, 3  # kinds of lease messages on the wire
REQUESTS_NEWER_FIELD = 4  # of a digest's payload: whether it begins an exchange or replies in one


@dataclass(frozen=True, slots=True)
class Packet:
    """One datagram. ``payload`` is what the node packed."""

    forwarded_at: float
    sender: int
    receiver: int
    size: int
    payload: list[Any]

    @property
    def group(self) -> str:
        if self.payload[0] == DIGEST:
            return "digests" if self.payload[REQUESTS_NEWER_FIELD] else "replies"
        return GROUPS[self.payload[0]]


class Relay(asyncio.DatagramProtocol):
    def __init__(self, relays: Relays, receiver: int) -> None:
        self.relays, self.receiver = relays, receiver
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        relays = self.relays
        payload = msgpack.unpackb(data[BODY_OFFSET:])[3]
        sender = relays.sockets.index((str(addr[0]), addr[1]))
        relays.packets.append(Packet(time.monotonic(), sender, self.receiver, len(data), payload))
        if self.transport is not None:
            self.transport.sendto(data, relays.sockets[self.receiver])


class Relays:
    """One relay for each router, all on one thread; ``sockets`` are the addresses the routers listen on."""

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
            relay = partial(Relay, self, receiver)
            transport, _ = await self._loop.create_datagram_endpoint(relay, ("127.0.0.1", 0))
            self._transports.append(transport)
        return [transport.get_extra_info("sockname") for transport in self._transports]

    def between(self, since: float, until: float) -> list[Packet]:
        return [packet for packet in list(self.packets) if since <= packet.forwarded_at < until]

    def close(self) -> None:
        for transport in self._transports:
            self._loop.call_soon_threadsafe(transport.abort)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)
        self._loop.close()


def digest_versions(packets: Iterable[Packet], sender: int) -> dict[str, tuple[int, int, int]]:
    """The sender's last complete digest: for each origin generation, incarnation, latest version."""
    versions: dict[str, tuple[int, int, int]] = {}
    for packet in packets:
        if packet.sender == sender and packet.payload[0] == DIGEST and packet.payload[3]:
            versions = {origin: (first, second, top) for origin, first, second, top in packet.payload[2]}
    return versions
