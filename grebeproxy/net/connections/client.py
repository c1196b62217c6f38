"""Connections of clients, and the memory bounds that apply to all of them together."""

from __future__ import annotations

import socket
from typing import cast

from grebeproxy.net import events, msgpack_rpc
from grebeproxy.net.admission import Bounds
from grebeproxy.net.connections.base import Connection, Host
from grebeproxy.net.messages import FromClient
from grebeproxy.policy.interface import Settings

# The bound is per client. A client may have 32 requests open, and 32 answers of 48,000 bytes fit in it.
MAX_UNSENT_BYTES = 2 * 1024 * 1024
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 30),  # seconds
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 10),  # seconds
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)


class ClientConnections(dict[int, "ClientConnection"]):
    """The open connections of clients, by number."""

    def partial_bytes(self) -> int:
        """Number of bytes buffered for incomplete messages."""
        return sum(client.decoder.partial for client in self.values())

    def unsent_bytes(self) -> int:
        """Number of bytes written to clients that are not sent yet."""
        return sum(client.unsent_bytes() for client in self.values())

    def with_most_partial_bytes(self) -> ClientConnection:
        """The connection whose incomplete message takes the most memory."""
        return max(self.values(), key=lambda client: client.decoder.partial)

    def limit_unsent_bytes(self, allowed: int) -> None:
        """Abort the connections with the most unsent bytes until all together have at most ``allowed``."""
        while self.unsent_bytes() > allowed:
            max(self.values(), key=lambda client: client.unsent_bytes()).abort_unsent()


class ClientConnection(Connection):
    """A client's connection."""

    peer = "client"
    decoder: msgpack_rpc.Decoder

    def __init__(
        self, host: Host, number: int, settings: Settings, bounds: Bounds, clients: ClientConnections
    ) -> None:
        super().__init__(host, msgpack_rpc.Decoder(settings))
        self.number = number
        self._bounds = bounds
        self._clients = clients
        self._readable = True

    def on_open(self) -> None:
        """Register the connection and report it."""
        self._clients[self.number] = self
        self.host.feed(events.ClientOpened(self.number))
        if self.detached or self.transport is None:
            return
        # Keepalive detects a client whose machine has disappeared: such a client never closes its connection.
        for level, option, value in SOCKET_OPTIONS:
            self.transport.get_extra_info("socket").setsockopt(level, option, value)

    def data_received(self, data: bytes) -> None:
        """Report each message, unless nothing more is read from the client."""
        if self._readable or self.detached:
            super().data_received(data)

    def message_event(self, message: object) -> events.Event:
        """Return the event that reports a client's message."""
        return events.ClientMessageReceived(self.number, cast(FromClient, message), self.host.now())

    def partial_message_events(self) -> list[events.Event]:
        """Report the start of a message, and stop reading from a client if incomplete messages are too large.

        The bound applies to the incomplete messages of all clients together. The client with the largest one
        is disconnected, so that the others keep their connections.
        """
        reported: list[events.Event] = [events.ClientMessageStarted(self.number)]
        if self._clients.partial_bytes() > self._bounds.partial:
            largest = self._clients.with_most_partial_bytes()
            reported.append(largest.stop_reading("incomplete messages of clients take too much memory"))
        return reported

    def on_malformed(self) -> None:
        """Stop reading. The router answers the open requests and closes the connection in its next step."""
        self.host.feed(self.stop_reading("bytes that cannot be read"))

    def stop_reading(self, reason: str) -> events.Event:
        """Discard the incomplete message and all further input, and return the event that reports this."""
        self._readable = False
        self.decoder.discard()
        return events.ClientUnreadable(self.number, reason)

    def close_event(self, reason: str) -> events.Event:
        """Unregister the connection, and return the event that reports its end."""
        self._clients.pop(self.number, None)
        return events.ClientClosed(self.number)

    def log_malformed(self, text: str) -> None:
        """Write the line with a rate limit, because some clients send nothing but malformed bytes."""
        self.host.log_limited(text)

    def apply_settings(self, settings: Settings) -> None:
        """Decode with these settings, starting with the next message."""
        self.decoder.apply_settings(settings)

    def write(self, data: bytes) -> None:
        """Send an answer, and disconnect clients that do not read theirs if unsent answers exceed a bound.

        The router doesn't pause reading while answers are unsent, because it has to notice at once that the
        client disconnects or cancels a request.
        """
        transport = self.transport
        if transport is None or self.detached or self.half_closed:
            return
        transport.write(data)
        if self.unsent_bytes() > min(MAX_UNSENT_BYTES, self._bounds.unsent):
            self.abort_unsent()
        elif self.unsent_bytes():
            self._clients.limit_unsent_bytes(self._bounds.unsent)

    def abort_unsent(self) -> None:
        """End the connection of a client that does not read, and discard its unsent answers."""
        self.end("the client does not read its answers")
        self.host.closing.abort(self)

    def close(self) -> None:
        """Close gracefully, without a report."""
        self.close_gracefully()

    def close_or_abort(self) -> None:
        """Close without a report: abort a half-closed connection if all is sent, else close gracefully.

        The client of a half-closed connection has had time to read what was sent. In the other cases,
        unsent answers are still sent: to a client that reads slowly or closes its own side after the
        half-close, and to all clients when the process exits.
        """
        if self.half_closed and not self.unsent_bytes():
            self.detached = True
            self.host.closing.abort(self)
        else:
            self.close_gracefully()
