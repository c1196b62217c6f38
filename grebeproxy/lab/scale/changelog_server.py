"""A change log server: sends the engine list and its changes to any number of routers."""

from __future__ import annotations

import asyncio
import struct
import time
from dataclasses import dataclass, replace
from typing import cast

from grebeproxy.lab.scale.addresses import LOOPBACK_HOST, Address
from grebeproxy.lab.scale.deployment import EngineRecord
from grebeproxy.net import changelog, follower

HELLO = struct.Struct(">Q")  # sequence number of the last event that the router has, 0 for none
HEARTBEAT_S = 0.9 * follower.FRAME_INTERVAL  # routers expect a frame each second
BACKLOG = 4096
FIRST_LIST_SEQ = 1


@dataclass(frozen=True, slots=True)
class ChangeLogTotals:
    """What the change log has sent since its start. CPU in seconds."""

    connections: int
    bytes_sent: int
    full_lists: int
    change_frames: int
    heartbeat_frames: int
    cpu_s: float


@dataclass(frozen=True, slots=True)
class PublishedEvent:
    """One event. Its times, on the machine's clock, are before the first write and after the last write."""

    seq: int
    began: float
    ended: float
    frame_bytes: int


def frame(seq: int, kind: int, records: bytes = b"") -> bytes:
    """One frame of the change log's protocol."""
    return changelog.HEAD.pack(changelog.AFTER_LENGTH + len(records), seq, kind) + records


class Subscriber(asyncio.Protocol):
    """The connection of one router."""

    def __init__(self, log: ChangeLog) -> None:
        self._log = log
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self.port = 0
        self.bytes_sent = 0
        self.hello: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the hello, which names the last event that the router has."""
        self._transport = cast(asyncio.Transport, transport)
        self.port = transport.get_extra_info("peername")[1]

    def data_received(self, data: bytes) -> None:
        """Read the hello and send the events after it."""
        self._buffer += data
        if self.hello is None and len(self._buffer) >= HELLO.size:
            (self.hello,) = HELLO.unpack_from(self._buffer)
            self._log.subscribe(self, self.hello)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the heartbeats."""
        self.stop_heartbeats()
        self._log.unsubscribe(self)

    def stop_heartbeats(self) -> None:
        """Send no more heartbeats."""
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()

    def write(self, data: bytes) -> None:
        """Send frames, and schedule a heartbeat in case no other frame follows."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(data)
        self.bytes_sent += len(data)
        self.stop_heartbeats()
        loop = asyncio.get_running_loop()
        self._heartbeat_timer = loop.call_later(HEARTBEAT_S, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        self.write(self._log.heartbeat())

    def close(self) -> None:
        """Close the connection after all written data is sent."""
        self.stop_heartbeats()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Cut the connection."""
        if self._transport is not None:
            self._transport.abort()


class ChangeLog:
    """The service of one process: all events, and the routers that follow them."""

    def __init__(self) -> None:
        self._engines: dict[int, EngineRecord] = {}
        self._seq = FIRST_LIST_SEQ
        self._changes: dict[int, bytes] = {}  # frames by sequence number of the event
        self._subscribers: set[Subscriber] = set()
        self._server: asyncio.Server | None = None
        self._full_list: bytes | None = None  # the frame for the current event, if a router needed it
        self._bytes_sent = 0  # on connections that have ended
        self._full_lists = 0
        self._change_frames = 0
        self._heartbeat_frames = 0

    async def listen(self, engines: list[EngineRecord]) -> Address:
        """Begin to serve, with these engines as the first list; returns the server's address."""
        self._engines = {engine.number: engine for engine in engines}
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Subscriber(self), LOOPBACK_HOST, 0, backlog=BACKLOG)
        host, port = self._server.sockets[0].getsockname()
        return host, port

    async def close(self) -> None:
        """Stop serving and cut all connections."""
        if self._server is not None:
            self._server.close()
        self.disconnect_all()
        await asyncio.sleep(0.0)  # The transports close in the next iteration of the event loop.

    def publish(self, engines: list[EngineRecord]) -> PublishedEvent:
        """Send new records of these engines as the next event."""
        began = time.monotonic()
        self._seq += 1
        self._full_list = None
        self._engines |= {engine.number: engine for engine in engines}
        data = frame(self._seq, changelog.CHANGES, b"".join(engine.pack() for engine in engines))
        self._changes[self._seq] = data
        for subscriber in self._subscribers:
            subscriber.write(data)
        self._change_frames += len(self._subscribers)
        return PublishedEvent(self._seq, began, time.monotonic(), len(data))

    def set_state(self, numbers: list[int], state: int) -> PublishedEvent:
        """Publish another state of known engines. Raises ``KeyError`` for an unknown one."""
        return self.publish([replace(self._engines[number], state=state) for number in numbers])

    def totals(self) -> ChangeLogTotals:
        """What was sent since the start."""
        bytes_sent = self._bytes_sent + sum(subscriber.bytes_sent for subscriber in self._subscribers)
        return ChangeLogTotals(
            len(self._subscribers),
            bytes_sent,
            self._full_lists,
            self._change_frames,
            self._heartbeat_frames,
            time.process_time(),
        )

    def hellos(self) -> list[int]:
        """The events named in the hellos of the open connections, in ascending order."""
        return sorted(subscriber.hello for subscriber in self._subscribers if subscriber.hello is not None)

    def bytes_by_port(self) -> dict[int, int]:
        """Bytes sent on each open connection, by the router's port."""
        return {subscriber.port: subscriber.bytes_sent for subscriber in self._subscribers}

    def disconnect_all(self) -> None:
        """Cut all connections, so that the routers connect again and name the last event they have."""
        for subscriber in list(self._subscribers):
            subscriber.abort()

    def heartbeat(self) -> bytes:
        """A frame without changes, which shows the router that the connection is alive."""
        self._heartbeat_frames += 1
        return frame(self._seq, changelog.HEARTBEAT)

    def subscribe(self, subscriber: Subscriber, seq: int) -> None:
        """Send the changes after event ``seq``, or the full list if ``seq`` is 0 or changes are missing."""
        self._subscribers.add(subscriber)
        missing = range(seq + 1, self._seq + 1)
        if seq and all(number in self._changes for number in missing):
            changes = b"".join(self._changes[number] for number in missing)
            subscriber.write(changes or self.heartbeat())
            self._change_frames += len(missing)
        else:
            subscriber.write(self._full_list_frame())
            self._full_lists += 1

    def unsubscribe(self, subscriber: Subscriber) -> None:
        """Remove an ended connection. The bytes sent on it still count."""
        if subscriber in self._subscribers:
            self._subscribers.remove(subscriber)
            self._bytes_sent += subscriber.bytes_sent

    def _full_list_frame(self) -> bytes:
        if self._full_list is None:
            records = b"".join(engine.pack() for engine in self._engines.values())
            self._full_list = frame(self._seq, changelog.FULL, records)
        return self._full_list
