"""The base class of all connections: it decodes messages, reports events and closes connections."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from itertools import chain
from typing import ClassVar, Protocol, cast

from grebeproxy.net import events
from grebeproxy.net.closing import ClosingConnections
from grebeproxy.net.input_queue import InputQueue
from grebeproxy.net.log_line import log_line
from grebeproxy.net.messages import BadFrameError

# Bytes that a closing connection reads and discards before it is aborted.
MAX_DISCARDED_BYTES = 256 * 1024
# Seconds after reading has resumed in which bytes are read that may have arrived at any time since it paused.
CATCH_UP_PERIOD = 0.1


class Decoder(Protocol):
    """The decoder of one wire protocol."""

    @property
    def partial(self) -> int:
        """Number of bytes buffered for a message that is still incomplete."""

    def feed(self, data: bytes) -> Iterator[object]:
        """Yield the messages that these bytes complete. Raises ``BadFrameError``."""


class Host(Protocol):
    """The part of the router's runtime that a connection uses."""

    @property
    def closing(self) -> ClosingConnections:
        """The connections that the router has closed but whose peers have not."""

    @property
    def input(self) -> InputQueue:
        """The connections whose input is not decoded yet."""

    def now(self) -> float:
        """The time on the router's clock, in seconds."""

    def feed(self, *reported: events.Event) -> None:
        """Pass events to the router."""

    def log(self, text: str) -> None:
        """Write one log line."""

    def log_limited(self, text: str) -> None:
        """Write one log line about a peer's malformed bytes, at most one per second."""


class Connection(asyncio.BufferedProtocol):
    """Decodes received bytes and reports the messages as events, which the subclasses define.

    How many messages are decoded at once is up to the host's ``InputQueue``.

    ``peer`` names the kind of peer in log lines. Once ``detached``, a connection reports nothing more: either
    it has reported its end, or the router has closed it. Its transport may stay open a little longer (see
    ``close_gracefully``).
    """

    peer: ClassVar[str]

    def __init__(self, host: Host, decoder: Decoder) -> None:
        self.host = host
        self.decoder = decoder
        self.transport: asyncio.Transport | None = None
        self.dial_task: asyncio.Task[None] | None = None  # set by the dialer
        self.detached = False
        self.half_closed = False  # whether the end of the stream was written
        self.local_shortage = False  # whether dialling failed because this machine lacked a resource
        self._discarded_bytes = 0
        self._undecoded: Iterator[object] | None = None  # decodes the messages that are left
        self._reading_paused_at = 0.0
        self._reading_resumed_at = float("-inf")
        self._read_at = 0.0  # the earliest time at which the undecoded input can have arrived

    # --- called by asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, or abort it if the connection was closed while it was being opened."""
        self.transport = cast(asyncio.Transport, transport)
        if self.detached:
            self.transport.abort()
        else:
            self.on_open()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the loop reads; all connections share it."""
        return self.host.input.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that were read into the buffer."""
        self.data_received(bytes(self.host.input.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Queue the messages for decoding."""
        if self.detached:
            self._discard(data)
            return
        if self._undecoded is None:
            now = self.host.now()
            catching_up = now < self._reading_resumed_at + CATCH_UP_PERIOD
            self._read_at = self._reading_paused_at if catching_up else now
            self._undecoded = iter(self.decoder.feed(data))
        else:
            self._undecoded = chain(self._undecoded, self.decoder.feed(data))
        self.host.input.received(self, len(data))

    def eof_received(self) -> bool:
        """Close and report the end at once.

        Without this, the transport would first flush its write buffer, which the peer may never read.
        """
        self.end("closed")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection, unless it was reported already."""
        self.host.input.remove(self)
        self.host.closing.remove(self)
        self.end(str(exc or "closed"))

    # --- called by the input queue

    @property
    def has_priority(self) -> bool:
        """Whether its input is decoded before that of connections without priority."""
        return True

    @property
    def is_excessive(self) -> bool:
        """Whether it has sent so much that its input belongs to the backlog."""
        return False

    @property
    def has_undecoded_input(self) -> bool:
        """Whether input may be left that is not decoded yet."""
        return self._undecoded is not None

    def decode(self, limit: int) -> int:
        """Report messages that together cost up to ``limit``; bytes that violate the protocol end it.

        Returns the cost. The last message may exceed the limit.
        """
        if self._undecoded is None:
            return 0
        reported: list[events.Event] = []
        cost, readable = 0, True
        try:
            while cost < limit:
                message = next(self._undecoded, None)
                if message is None:
                    self._undecoded = None
                    break
                cost += self.message_cost(message)
                reported.append(self.message_event(message))
        except BadFrameError as error:
            self.log_malformed(log_line("router.message.malformed", peer=self.peer, error=error))
            readable = False
            self._undecoded = None
        if readable and self.decoder.partial and self._undecoded is None:
            reported += self.partial_message_events()
        self.host.feed(*reported)
        if not readable:
            self.on_malformed()
        return cost

    def input_queued(self) -> None:
        """Called when input waits to be decoded because the input of other connections comes first."""

    def pause_reading(self) -> None:
        """Stop reading from the socket, because input is not decoded yet."""
        if self.transport is not None and not self.transport.is_closing():
            self._reading_paused_at = self.host.now()
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read from the socket again."""
        if self.transport is not None and not self.transport.is_closing():
            self._reading_resumed_at = self.host.now()
            self.transport.resume_reading()

    def has_departed(self) -> bool:
        """Whether the peer has closed or reset its side, which voids input that is not decoded yet."""
        return False

    def peer_departed(self) -> None:
        """End the connection."""
        self.end("closed")

    def report_backlog(self) -> None:
        """Called when the connection's input begins to be delayed."""

    def _drop_undecoded(self) -> None:
        """Drop the input that is not decoded yet, and read on, to notice the end of the stream."""
        self._undecoded = None
        if self.host.input.remove(self):
            self.resume_reading()

    def _discard(self, data: bytes) -> None:
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.host.closing.abort(self)

    # --- ways to close

    def end(self, reason: str) -> None:
        """Close the connection and report its end, unless it is detached already."""
        if not self.detached:
            self.close()
            self.host.feed(self.close_event(reason))

    def close(self) -> None:
        """Close the connection without a report, and cancel a dial that is still in progress."""
        self.detached = True
        self._drop_undecoded()
        if self.dial_task is not None:
            # Without the cancellation, a connect to a machine that does not answer holds its descriptor for
            # minutes.
            self.dial_task.cancel()
        self.abort()

    def abort(self) -> None:
        """Close at once and discard unsent bytes."""
        if self.transport is not None:
            self.transport.abort()

    def close_gracefully(self) -> None:
        """Send unsent bytes and the end of the stream, and briefly read and discard what still arrives.

        Closing a socket that has unread bytes resets the connection, and the peer then loses the bytes that
        it has not read yet.
        """
        self.detached = True
        self._drop_undecoded()
        if self.transport is not None and not self.transport.is_closing():
            self.half_close()
            self.host.closing.add(self)

    def half_close(self) -> None:
        """Send the end of the stream after all written bytes, and keep reading."""
        if self.transport is not None and not self.half_closed:
            self.half_closed = True
            self.transport.write_eof()

    def unsent_bytes(self) -> int:
        """Number of bytes that were written but are not sent yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    # --- defined by the subclasses

    def on_open(self) -> None:
        """Called once the connection is open."""

    def message_event(self, message: object) -> events.Event:
        """Return the event that reports a decoded message."""
        raise NotImplementedError

    def message_cost(self, message: object) -> int:
        """How much a message counts in the limits of the input queue."""
        return 1

    def partial_message_events(self) -> list[events.Event]:
        """Return the events that report an incomplete message, if the router needs them."""
        return []

    def close_event(self, reason: str) -> events.Event:
        """Return the event that reports the end of the connection."""
        raise NotImplementedError

    def on_malformed(self) -> None:
        """Called after bytes that violate the protocol: nothing behind them can be read."""
        self.end("bytes that cannot be read")

    def log_malformed(self, text: str) -> None:
        """Write the log line about bytes that violate the protocol."""
        self.host.log(text)
