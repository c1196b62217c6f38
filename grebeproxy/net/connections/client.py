"""Connections of clients, and the memory bounds that apply to all of them together."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import cast

from grebeproxy.net import events, msgpack_rpc
from grebeproxy.net.admission import MAX_UNUSABLE_REQUESTS, Bounds
from grebeproxy.net.connections.base import Connection, Host
from grebeproxy.net.input_queue import COST_PER_CONNECTION, READ_BYTES
from grebeproxy.net.log_line import log_line
from grebeproxy.net.messages import FromClient, InvalidRequest
from grebeproxy.policy.interface import Settings

# The bound is per client. A client may have 32 requests open, and 32 answers of 48,000 bytes fit in it.
MAX_UNSENT_BYTES = 2 * 1024 * 1024
COST_PERIOD = 1.0  # seconds over which the costs of a client's messages are added up
PRIORITY_COST = 32  # in this period, up to which the client's input is decoded before that of others
EXCESSIVE_COST = 256  # in this period, beyond which the client's input belongs to the backlog
INVALID_REQUEST_COST = COST_PER_CONNECTION // MAX_UNUSABLE_REQUESTS
# States in the first byte of TCP_INFO: ESTABLISHED and CLOSE_WAIT of a connection that was just accepted;
# TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK and CLOSING once the client has closed or reset its side.
STATES_AT_OPEN = (1, 8)
DEPARTED_STATES = (6, 7, 8, 9, 11)
# Seconds for which a request may wait unread. The client may have left since, and the end of its stream is
# not received while the kernel's buffer is full.
MAX_UNREAD_TIME = 0.1
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 30),  # seconds
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 10),  # seconds
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)


class ClientConnections(dict[int, "ClientConnection"]):
    """The open connections of clients, by number."""

    buffered_bytes = 0  # of all messages that are incomplete or not decoded yet

    def unsent_bytes(self) -> int:
        """Number of bytes written to clients that are not sent yet."""
        return sum(client.unsent_bytes() for client in self.values())

    def end_departed(self) -> None:
        """End the connections whose clients have left, also those with input that is still unread."""
        for client in list(self.values()):
            if client.has_departed():
                client.peer_departed()

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
        self._reports_state = False  # whether the state of the socket can be relied on
        self._read_all = True  # whether the last read left nothing in the kernel's buffer
        self._behind_since: float | None = None  # when input was first left unread, until all is read
        self._may_have_left = False
        self._period_began_at = host.now()
        self._cost_in_period = 0
        self._has_requested = False
        self._sent_invalid = False
        self._buffered_bytes = 0  # the connection's part of ``ClientConnections.buffered_bytes``

    def on_open(self) -> None:
        """Register the connection and report it."""
        self._clients[self.number] = self
        self.host.feed(events.ClientOpened(self.number))
        if self.detached or self.transport is None:
            return
        # Keepalive detects a client whose machine has disappeared: such a client never closes its connection.
        for level, option, value in SOCKET_OPTIONS:
            self.transport.get_extra_info("socket").setsockopt(level, option, value)
        self._reports_state = self._tcp_state() in STATES_AT_OPEN

    @property
    def has_priority(self) -> bool:
        """Whether the client has sent requests before, none of them invalid and not many of late."""
        return self._has_requested and not self._sent_invalid and self._recent_cost() <= PRIORITY_COST

    @property
    def is_excessive(self) -> bool:
        """Whether the client has sent very many messages of late."""
        return self._recent_cost() > EXCESSIVE_COST

    def _recent_cost(self) -> int:
        """The cost of the messages that were decoded since the current period began."""
        if self.host.now() >= self._period_began_at + COST_PERIOD:
            self._period_began_at, self._cost_in_period = self.host.now(), 0
        return self._cost_in_period

    def data_received(self, data: bytes) -> None:
        """Queue the messages for decoding, unless nothing more is read from the client."""
        self._read_all = len(data) < READ_BYTES
        if self._readable or self.detached:
            super().data_received(data)

    def decode(self, limit: int) -> int:
        """Report messages, unless the client has left, and count the bytes that are left to decode."""
        if self.has_undecoded_input and self._behind_since is not None:
            if self.has_departed():
                self.peer_departed()
                return 0
            waited = self.host.now() - self._behind_since
            self._may_have_left = waited > MAX_UNREAD_TIME and self._unread_bytes() >= READ_BYTES
        cost = super().decode(limit)
        self._has_requested = self._has_requested or cost > 0
        self._cost_in_period = self._recent_cost() + cost
        self._count_buffered()
        if not self.has_undecoded_input and self._read_all:
            self._behind_since, self._may_have_left = None, False
        return cost

    def pause_reading(self) -> None:
        """Stop reading from the socket, because input is not decoded yet."""
        super().pause_reading()
        if self._behind_since is None:
            self._behind_since = self.host.now()

    def _count_buffered(self) -> None:
        before, self._buffered_bytes = self._buffered_bytes, self.decoder.partial
        self._clients.buffered_bytes += self._buffered_bytes - before

    def _socket(self) -> socket.socket:
        assert self.transport is not None
        return cast(socket.socket, self.transport.get_extra_info("socket"))

    def has_departed(self) -> bool:
        """Whether the client has closed or reset its side, also if input before that is still unread.

        The requests of a client that has left must not be sent to engines.
        """
        return self._reports_state and self._tcp_state() in DEPARTED_STATES

    def _tcp_state(self) -> int:
        """The state of the TCP connection, or 0 if it is not known; the transport reports its end itself."""
        if self.transport is None or self.transport.is_closing():
            return 0
        try:
            return self._socket().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            return 0

    def _unread_bytes(self) -> int:
        """Number of received bytes that are still in the kernel's buffer, or 0 if it is not known."""
        if self.transport is None or self.transport.is_closing():
            return 0
        try:
            packed = fcntl.ioctl(self._socket().fileno(), termios.FIONREAD, bytes(struct.calcsize("i")))
        except OSError:
            return 0
        return int(struct.unpack("i", packed)[0])

    def message_event(self, message: object) -> events.Event:
        """Return the event that reports a client's message."""
        return events.ClientMessageReceived(
            self.number, cast(FromClient, message), self._read_at, self._may_have_left
        )

    def message_cost(self, message: object) -> int:
        """Count an invalid request more, as a few of them end the connection."""
        if not isinstance(message, InvalidRequest):
            return 1
        self._sent_invalid = True
        return INVALID_REQUEST_COST

    def input_queued(self) -> None:
        """Report that the client has sent input that waits."""
        self.host.feed(events.ClientInputQueued(self.number))

    def partial_message_events(self) -> list[events.Event]:
        """Report the start of a message, and stop reading from a client if incomplete messages are too large.

        The bound applies to the incomplete messages of all clients together. The client with the largest one
        is disconnected, so that the others keep their connections.
        """
        self._count_buffered()
        reported: list[events.Event] = [events.ClientMessageStarted(self.number)]
        if self._clients.buffered_bytes > self._bounds.partial:
            largest = self._clients.with_most_partial_bytes()
            reported.append(largest.stop_reading("incomplete messages of clients take too much memory"))
        return reported

    def on_malformed(self) -> None:
        """Stop reading. The router answers the open requests and closes the connection in its next step."""
        self.host.feed(self.stop_reading("bytes that cannot be read"))

    def stop_reading(self, reason: str) -> events.Event:
        """Discard the incomplete message and all further input, and return the event that reports this."""
        self._readable = False
        self._drop_undecoded()
        self._discard_buffer()
        return events.ClientUnreadable(self.number, reason)

    def report_backlog(self) -> None:
        """Log which client sends more than is read at once."""
        address = self.transport.get_extra_info("peername") if self.transport is not None else None
        peer = f"{address[0]}:{address[1]}" if isinstance(address, tuple) else "unknown"
        self.host.log_limited(log_line("router.client.throttled", connection=self.number, address=peer))

    def _discard_buffer(self) -> None:
        self.decoder.discard()
        self._count_buffered()

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

    def close_gracefully(self) -> None:
        """Close gracefully, and discard what is left of the client's input."""
        super().close_gracefully()
        self._discard_buffer()

    def close_or_abort(self) -> None:
        """Close without a report: abort a half-closed connection if all is sent, else close gracefully.

        The client of a half-closed connection has had time to read what was sent. In the other cases,
        unsent answers are still sent: to a client that reads slowly or closes its own side after the
        half-close, and to all clients when the process exits.
        """
        if self.half_closed and not self.unsent_bytes():
            self.detached = True
            self._drop_undecoded()
            self._discard_buffer()
            self.host.closing.abort(self)
        else:
            self.close_gracefully()
