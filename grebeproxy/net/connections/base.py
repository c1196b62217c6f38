"""What all connections have in common: decoding, reporting events, and the ways in which they close."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import ClassVar, Protocol, cast

from grebeproxy.net import events
from grebeproxy.net.closing import ClosingConnections
from grebeproxy.net.log_line import log_line
from grebeproxy.net.messages import BadFrameError

MAX_DISCARDED_BYTES = 256 * 1024  # read and dropped of a closing connection; beyond it, it is aborted


class Decoder(Protocol):
    """A codec's decoder."""

    @property
    def partial(self) -> int:
        """Bytes buffered of a message that is not complete yet."""

    def feed(self, data: bytes) -> Iterator[object]:
        """The messages that these bytes complete. Raises ``BadFrameError``."""


class Host(Protocol):
    """What a connection needs of the router that it belongs to."""

    @property
    def closing(self) -> ClosingConnections:
        """The connections that the router has closed and whose peers have not."""

    def now(self) -> float:
        """The router's clock, in seconds."""

    def feed(self, *reported: events.Event) -> None:
        """Pass events to the router."""

    def log(self, text: str) -> None:
        """Write one log line."""

    def log_limited(self, text: str) -> None:
        """Write one log line on a peer's malformed bytes, unless there was one less than a second ago."""


class Connection(asyncio.Protocol):
    """Decodes what comes in and reports it as events, which the subclasses define; ``peer`` is for the log.

    Once ``detached``, a connection reports nothing more: either it has reported its end, or the router asked
    for it. Its transport may stay open for a moment longer (see ``close_gracefully``).
    """

    peer: ClassVar[str]

    def __init__(self, host: Host, decoder: Decoder) -> None:
        self.host = host
        self.decoder = decoder
        self.transport: asyncio.Transport | None = None
        self.dial_task: asyncio.Task[None] | None = None  # owned by the dialer
        self.detached = False
        self.half_closed = False  # the end of the stream is written
        self.local_shortage = False  # dialling failed for want of a resource of this machine
        self._discarded_bytes = 0

    # --- called by asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, or abort it where the connection was closed while it was being made."""
        self.transport = cast(asyncio.Transport, transport)
        if self.detached:
            self.transport.abort()
        else:
            self.on_open()

    def data_received(self, data: bytes) -> None:
        """Report each message; bytes that the codec does not allow end the connection."""
        if self.detached:
            self._discard(data)
            return
        reported: list[events.Event] = []
        readable = True
        try:
            for message in self.decoder.feed(data):
                reported.append(self.message_event(message))
        except BadFrameError as error:
            self.log_malformed(log_line("router.message.malformed", peer=self.peer, error=error))
            readable = False
        if readable and self.decoder.partial:
            reported += self.partial_message_events()
        self.host.feed(*reported)
        if not readable:
            self.end("bytes that cannot be read")

    def eof_received(self) -> bool:
        """Report the end at once: the transport alone would first flush its buffer, which nobody may read."""
        self.end("closed")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end."""
        self.host.closing.remove(self)
        self.end(str(exc or "closed"))

    def _discard(self, data: bytes) -> None:
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.host.closing.abort(self)

    # --- ways to close

    def end(self, reason: str) -> None:
        """Close and report it, unless the connection is detached already."""
        if not self.detached:
            self.close()
            self.host.feed(self.close_event(reason))

    def close(self) -> None:
        """Close without a report; also gives up a dial under way."""
        self.detached = True
        if self.dial_task is not None:
            # A connect to a machine that does not answer would hold its descriptor for minutes.
            self.dial_task.cancel()
        self.abort()

    def abort(self) -> None:
        """Close at once and drop what is written and not sent."""
        if self.transport is not None:
            self.transport.abort()

    def close_gracefully(self) -> None:
        """Send what is written and the end of the stream; for a moment, read and drop what still comes.

        Closing a socket with unread bytes resets the connection, and the peer would lose with it what it has
        not read yet.
        """
        self.detached = True
        if self.transport is not None and not self.transport.is_closing():
            self.half_close()
            self.host.closing.add(self)

    def half_close(self) -> None:
        """Send the end of the stream behind what is written, and keep reading."""
        if self.transport is not None and not self.half_closed:
            self.half_closed = True
            self.transport.write_eof()

    def unsent_bytes(self) -> int:
        """Bytes that were written and are not sent yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    # --- defined by the subclasses

    def on_open(self) -> None:
        """Called when the connection is up."""

    def message_event(self, message: object) -> events.Event:
        """The event that reports a decoded message."""
        raise NotImplementedError

    def partial_message_events(self) -> list[events.Event]:
        """The events that report an incomplete message, where the router needs to know."""
        return []

    def close_event(self, reason: str) -> events.Event:
        """The event that reports the end of the connection."""
        raise NotImplementedError

    def log_malformed(self, text: str) -> None:
        """Write the line on bytes that the codec does not allow."""
        self.host.log(text)
