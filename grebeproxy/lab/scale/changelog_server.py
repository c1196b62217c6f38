"""A stand-in change log: tells any number of routers of the engines, whole and as changes."""

from __future__ import annotations

import asyncio
import struct
import time
from dataclasses import dataclass, replace
from typing import cast

from grebeproxy.lab.scale.deployment import Address, EngineRecord
from grebeproxy.net import changelog, follower

HELLO = struct.Struct(">Q")
SIGN_OF_LIFE_S = 0.9 * follower.FRAME_INTERVAL  # a frame is due each second
BACKLOG = 4096
HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class Served:
    """What the change log has sent since its start."""

    connections: int
    bytes_sent: int
    whole_lists: int
    change_frames: int
    life_frames: int
    cpu_s: float


@dataclass(frozen=True, slots=True)
class Published:
    """One event, and when it began to be written and was handed to the system for the last router."""

    seq: int
    began: float
    ended: float
    frame_bytes: int


def frame(seq: int, kind: int, records: bytes = b"") -> bytes:
    """One frame of the change log's protocol."""
    return changelog.HEAD.pack(changelog.AFTER_LENGTH + len(records), seq, kind) + records


class Subscriber(asyncio.Protocol):
    """One router's connection."""

    def __init__(self, log: ChangeLog) -> None:
        self._log, self._buffer = log, b""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.host, self.port = "", 0
        self.bytes_sent = 0
        self.hello: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A router has connected; it says which event it has."""
        self._transport = cast(asyncio.Transport, transport)
        self.host, self.port = transport.get_extra_info("peername")[:2]

    def data_received(self, data: bytes) -> None:
        """Take the hello and send what is new."""
        self._buffer += data
        if self.hello is None and len(self._buffer) >= HELLO.size:
            (self.hello,) = HELLO.unpack_from(self._buffer)
            self._log.subscribe(self, self.hello)

    def connection_lost(self, exc: Exception | None) -> None:
        """The router is gone."""
        if self._timer is not None:
            self._timer.cancel()
        self._log.unsubscribe(self)

    def write(self, data: bytes) -> None:
        """Send a frame; the next sign of life is due a while after it."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(data)
        self.bytes_sent += len(data)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(SIGN_OF_LIFE_S, self._sign_of_life)

    def _sign_of_life(self) -> None:
        self.write(self._log.sign_of_life())

    def abort(self) -> None:
        """Cut the connection."""
        if self._transport is not None:
            self._transport.abort()


class ChangeLog:
    """The events, and all who follow them."""

    def __init__(self) -> None:
        self._engines: dict[int, EngineRecord] = {}
        self._seq = 1  # the first list
        self._changes: dict[int, bytes] = {}
        self._subscribers: set[Subscriber] = set()
        self._server: asyncio.Server | None = None
        self._whole: bytes | None = None
        self._bytes_sent = self._whole_lists = self._change_frames = self._life_frames = 0
        self._hellos: dict[Address, int] = {}

    async def listen(self, engines: list[EngineRecord]) -> Address:
        """Begin to serve, with these engines as the first list; tells where."""
        self._engines = {engine.number: engine for engine in engines}
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Subscriber(self), HOST, 0, backlog=BACKLOG)
        host, port = self._server.sockets[0].getsockname()
        return host, port

    async def close(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        self.disconnect_all()
        await asyncio.sleep(0.0)

    def publish(self, engines: list[EngineRecord]) -> Published:
        """Tell all of these engines' new records as the next event."""
        began = time.monotonic()
        self._seq += 1
        self._whole = None
        self._engines |= {engine.number: engine for engine in engines}
        data = frame(self._seq, changelog.CHANGES, b"".join(engine.pack() for engine in engines))
        self._changes[self._seq] = data
        for subscriber in self._subscribers:
            subscriber.write(data)
        self._change_frames += len(self._subscribers)
        return Published(self._seq, began, time.monotonic(), len(data))

    def set_state(self, numbers: list[int], state: int) -> Published:
        """Publish another state of engines that are known."""
        return self.publish([replace(self._engines[number], state=state) for number in numbers])

    def served(self) -> Served:
        """Totals since the start."""
        sent = self._bytes_sent + sum(subscriber.bytes_sent for subscriber in self._subscribers)
        return Served(
            len(self._subscribers),
            sent,
            self._whole_lists,
            self._change_frames,
            self._life_frames,
            time.process_time(),
        )

    def hellos(self) -> list[int]:
        """The events that the routers named when they connected, of the connections that are up."""
        return sorted(subscriber.hello for subscriber in self._subscribers if subscriber.hello is not None)

    def bytes_by_port(self) -> dict[int, int]:
        """Bytes sent on each connection that is up, by the router's port."""
        return {subscriber.port: subscriber.bytes_sent for subscriber in self._subscribers}

    def disconnect_all(self) -> None:
        """Cut all connections: the routers connect anew and say what they have."""
        for subscriber in list(self._subscribers):
            subscriber.abort()

    def sign_of_life(self) -> bytes:
        """The frame that says that nothing is new."""
        self._life_frames += 1
        return frame(self._seq, changelog.NOTHING)

    def subscribe(self, subscriber: Subscriber, seq: int) -> None:
        """Send what came after that event: the changes where all are kept, else the whole list."""
        self._subscribers.add(subscriber)
        missing = range(seq + 1, self._seq + 1)
        if seq and all(number in self._changes for number in missing):
            subscriber.write(b"".join(self._changes[number] for number in missing) or self.sign_of_life())
            self._change_frames += len(missing)
        else:
            subscriber.write(self._whole_list())
            self._whole_lists += 1

    def unsubscribe(self, subscriber: Subscriber) -> None:
        """The router has gone."""
        if subscriber in self._subscribers:
            self._subscribers.remove(subscriber)
            self._bytes_sent += subscriber.bytes_sent

    def _whole_list(self) -> bytes:
        if self._whole is None:
            records = b"".join(engine.pack() for engine in self._engines.values())
            self._whole = frame(self._seq, changelog.FULL, records)
        return self._whole
