"""What all connections have in common: decoding, reporting, and the ways in which they end."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Protocol, cast

from grebeproxy.net import events
from grebeproxy.net.closing import ClosingConnections
from grebeproxy.net.messages import BadFrameError

MAX_DISCARDED = 256 * 1024  # bytes read and dropped of a closing connection, beyond which it is cut


class Decoder(Protocol):
    """A codec's decoder."""

    @property
    def partial(self) -> int:
        """Bytes of a message that has begun and is not whole yet."""

    def feed(self, data: bytes) -> Iterator[object]:
        """The messages that these bytes complete. Raises ``BadFrameError``."""


class Host(Protocol):
    """What a connection needs of the router that it belongs to."""

    @property
    def closing(self) -> ClosingConnections:
        """The connections that the router has ended and whose peers have not."""

    def feed(self, *reported: events.Event) -> None:
        """Let the router take events."""

    def log(self, text: str) -> None:
        """Write one line for whoever runs the router."""

    def log_limited(self, text: str) -> None:
        """Write one line on a peer that cannot be understood, unless there was one just now."""


class Connection(asyncio.Protocol):
    """Decodes what comes in and reports it; what is reported is up to the kinds."""

    def __init__(self, host: Host, decoder: Decoder) -> None:
        self.host, self.decoder = host, decoder
        self.transport: asyncio.Transport | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.ended = False  # the router knows of the end, or asked for it
        self.half_closed = False  # the end of the stream is written
        self.local_shortage = False  # it could not be made for want of something on this machine
        self._discarded = 0  # bytes that came behind the end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, or end it where it was given up meanwhile."""
        self.transport = cast(asyncio.Transport, transport)
        if self.ended:
            self.transport.abort()
        else:
            self.opened()

    def data_received(self, data: bytes) -> None:
        """Report each message; bytes that cannot be read end the connection."""
        if self.ended:
            self._discard(data)
            return
        reported: list[events.Event] = []
        readable = True
        try:
            for message in self.decoder.feed(data):
                reported.append(self.received(message))
        except BadFrameError as error:
            self.log_unreadable(str(error))
            readable = False
        if readable and self.decoder.partial:
            reported += self.received_part()
        self.host.feed(*reported)
        if not readable:
            self.end("bytes that cannot be read")

    def _discard(self, data: bytes) -> None:
        self._discarded += len(data)
        if self._discarded > MAX_DISCARDED:
            self.host.closing.cut(self)

    def eof_received(self) -> bool:
        """Report the end at once: the transport would first send what is written, and none may read it."""
        self.end("closed")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end."""
        self.host.closing.discard(self)
        self.end(str(exc or "closed"))

    def end(self, reason: str) -> None:
        """Report the end once and close."""
        if not self.ended:
            self.close()
            self.host.feed(self.closed(reason))

    def close(self) -> None:
        """Close without a report."""
        self.ended = True
        if self.connecting is not None:
            # Guards the descriptors: a connection to a silent machine would be tried for minutes.
            self.connecting.cancel()
        self.abort()

    def abort(self) -> None:
        """End at once, also what is written and not sent."""
        if self.transport is not None:
            self.transport.abort()

    def unsent_bytes(self) -> int:
        """Bytes that were written and are not sent yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def finish(self) -> None:
        """Send what is written and the end of the stream; what still comes is read and dropped for a moment.

        Guards what was written last: a close over bytes that are not read resets the connection, and the peer
        loses with it what it has not read yet.
        """
        self.ended = True
        if self.transport is not None and not self.transport.is_closing():
            self.half_close()
            self.host.closing.add(self)

    def half_close(self) -> None:
        """Send the end of the stream behind what is written, and read on: what crosses must not reset it."""
        if self.transport is not None and not self.half_closed:
            self.half_closed = True
            self.transport.write_eof()

    def opened(self) -> None:
        """The connection is up."""

    def received(self, message: object) -> events.Event:
        """The event of a message."""
        raise NotImplementedError

    def log_unreadable(self, text: str) -> None:
        """Log that bytes came that cannot be read."""
        self.host.log(text)

    def received_part(self) -> list[events.Event]:
        """The event of a message that is not whole, where that matters."""
        return []

    def closed(self, reason: str) -> events.Event:
        """The event of the end."""
        raise NotImplementedError
