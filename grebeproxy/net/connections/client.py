"""Connections of clients, and what all of them hold together."""

from __future__ import annotations

import socket
from typing import cast

from grebeproxy.net import events, msgpack_rpc
from grebeproxy.net.admission import Bounds
from grebeproxy.net.connections.base import Connection, Host
from grebeproxy.net.messages import FromClient
from grebeproxy.policy.interface import Settings

MAX_UNSENT = 2 * 1024 * 1024  # per client: over 32 answers of 48,000 bytes, all a client may have open
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 30),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 10),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)


class ClientConnections(dict[int, "ClientConnection"]):
    """The clients' open connections by their numbers."""

    def partial_bytes(self) -> int:
        """Bytes of messages that clients have begun and not completed."""
        return sum(client.decoder.partial for client in self.values())

    def unsent_bytes(self) -> int:
        """Bytes of answers that clients have not read yet."""
        return sum(client.unsent_bytes() for client in self.values())


class ClientConnection(Connection):
    """A client's connection."""

    def __init__(
        self, host: Host, number: int, settings: Settings, bounds: Bounds, clients: ClientConnections
    ) -> None:
        super().__init__(host, msgpack_rpc.Decoder(settings))
        self.number, self._bounds, self._clients = number, bounds, clients

    def opened(self) -> None:
        """Count it in."""
        self._clients[self.number] = self
        self.host.feed(events.ClientOpened(self.number))
        if self.ended or self.transport is None:
            return
        # Guards the descriptors: a client's machine that vanishes closes nothing.
        for level, option, value in SOCKET_OPTIONS:
            self.transport.get_extra_info("socket").setsockopt(level, option, value)

    def received(self, message: object) -> events.Event:
        """A client's message."""
        return events.ClientMessageReceived(self.number, cast(FromClient, message))

    def log_unreadable(self, text: str) -> None:
        """Some clients send nothing else."""
        self.host.log_limited(text)

    def received_part(self) -> list[events.Event]:
        """A part of a message; all that clients have begun is bounded together."""
        if self._clients.partial_bytes() > self._bounds.partial:
            self.end("too much is begun and not whole")
        return [events.ClientMessageStarted(self.number)]

    def closed(self, reason: str) -> events.Event:
        """Count it out."""
        self._clients.pop(self.number, None)
        return events.ClientClosed(self.number)

    def write(self, data: bytes) -> None:
        """Send an answer; a client that reads none of its answers loses its connection.

        It is read from all the same: that it leaves, or gives up what it asked for, must be seen at once.
        """
        transport = self.transport
        if transport is None or self.ended or self.half_closed:
            return
        transport.write(data)
        if self._holds_too_much():
            self.end("the client does not read its answers")
            self.host.closing.cut(self)

    def _holds_too_much(self) -> bool:
        unsent, allowed = self.unsent_bytes(), self._bounds.unsent
        if unsent > min(MAX_UNSENT, allowed):
            return True
        return unsent > 0 and self._clients.unsent_bytes() > allowed

    def close(self) -> None:
        """Close without a report, behind what is written."""
        self.finish()

    def hang_up(self) -> None:
        """Close without a report; one that knew of the end before has had its time."""
        if self.half_closed:
            self.ended = True
            self.host.closing.cut(self)
        else:
            self.finish()
