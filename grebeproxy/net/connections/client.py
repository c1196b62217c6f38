"""Connections of clients, and what is bounded over all of them together."""

from __future__ import annotations

import socket
from typing import cast

from grebeproxy.net import events, msgpack_rpc
from grebeproxy.net.admission import Bounds
from grebeproxy.net.connections.base import Connection, Host
from grebeproxy.net.messages import FromClient
from grebeproxy.policy.interface import Settings

# Per client: more than 32 answers of 48,000 bytes, which is all that a client may have open.
MAX_UNSENT_BYTES = 2 * 1024 * 1024
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 30),  # seconds
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 10),  # seconds
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)


class ClientConnections(dict[int, "ClientConnection"]):
    """The clients' open connections by their numbers."""

    def partial_bytes(self) -> int:
        """Bytes buffered of incomplete messages."""
        return sum(client.decoder.partial for client in self.values())

    def unsent_bytes(self) -> int:
        """Bytes of answers that clients have not read yet."""
        return sum(client.unsent_bytes() for client in self.values())


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

    def on_open(self) -> None:
        """Register the connection and report it."""
        self._clients[self.number] = self
        self.host.feed(events.ClientOpened(self.number))
        if self.detached or self.transport is None:
            return
        # Keepalive, because a client whose machine disappears never closes its connection.
        for level, option, value in SOCKET_OPTIONS:
            self.transport.get_extra_info("socket").setsockopt(level, option, value)

    def message_event(self, message: object) -> events.Event:
        """A client's message."""
        return events.ClientMessageReceived(self.number, cast(FromClient, message), self.host.now())

    def partial_message_events(self) -> list[events.Event]:
        """The start of a message; all incomplete messages are bounded together."""
        if self._clients.partial_bytes() > self._bounds.partial:
            self.end("incomplete messages of clients take too much memory")
        return [events.ClientMessageStarted(self.number)]

    def close_event(self, reason: str) -> events.Event:
        """Unregister the connection."""
        self._clients.pop(self.number, None)
        return events.ClientClosed(self.number)

    def log_malformed(self, text: str) -> None:
        """Rate-limited, because some clients send nothing else."""
        self.host.log_limited(text)

    def retune(self, settings: Settings) -> None:
        """Decode by these settings from the next message on."""
        self.decoder.apply_settings(settings)

    def write(self, data: bytes) -> None:
        """Send an answer; a client that reads none of its answers loses its connection.

        Reading never pauses meanwhile: that a client leaves or cancels a request must be seen at once.
        """
        transport = self.transport
        if transport is None or self.detached or self.half_closed:
            return
        transport.write(data)
        if self._exceeds_unsent_bounds():
            self.end("the client does not read its answers")
            self.host.closing.abort(self)

    def _exceeds_unsent_bounds(self) -> bool:
        """Whether this client's unsent answers exceed its own bound, or those of all clients theirs."""
        unsent = self.unsent_bytes()
        allowed = self._bounds.unsent
        if unsent > min(MAX_UNSENT_BYTES, allowed):
            return True
        return unsent > 0 and self._clients.unsent_bytes() > allowed

    def close(self) -> None:
        """Close gracefully, without a report."""
        self.close_gracefully()

    def close_or_abort(self) -> None:
        """Close without a report, gracefully unless a half-close gave the client its time already.

        Not the same as ``close_gracefully``: a client that closes its own side after the half-close, and all
        clients at the end of the program, still get what is unsent.
        """
        if self.half_closed:
            self.detached = True
            self.host.closing.abort(self)
        else:
            self.close_gracefully()
