"""A listening socket: takes connections a few at a time and gives each a protocol.

The loop's own server takes all that are there in one go, and when descriptors run out it closes on whoever
comes: hundreds that send nothing would shut out the usual clients.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

BACKLOG = 1024  # connections that the machine holds until they are taken
ACCEPTS_PER_TURN = 16  # connections taken before what has come on others is read
ACCEPT_PAUSE = 0.05  # seconds without descriptors
DRAIN_TIMEOUT = 0.5  # seconds for what waits when the socket is being closed


def bind(address: tuple[str, int]) -> socket.socket:
    """A socket bound to ``host, port``, not listening yet. Raises ``OSError`` where it cannot be had."""
    listener = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
    except OSError:
        listener.close()
        raise
    return listener


def adopt(descriptor: int) -> socket.socket:
    """The listening socket that the platform holds under a descriptor. Raises ``OSError`` for another one."""
    listener = socket.socket(fileno=descriptor)
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()
        raise OSError(f"descriptor {descriptor} does not listen")
    return listener


class Listener:
    """Takes connections from a socket; ``on_shortage`` is called with the reason where none can be taken."""

    def __init__(
        self,
        listener: socket.socket,
        new_protocol: Callable[[], asyncio.Protocol],
        on_shortage: Callable[[str], None],
        *,
        shared: bool = False,
    ) -> None:
        listener.setblocking(False)
        self._socket: socket.socket | None = listener
        self._new_protocol, self._on_shortage, self._shared = new_protocol, on_shortage, shared
        self._accepting: set[asyncio.Task[object]] = set()
        self._open = False
        self._close_by: float | None = None  # it is being closed, and by when it has to be

    def open(self) -> None:
        """Listen from now on. Raises ``OSError`` where another program came first."""
        if self._socket is not None:
            if not self._shared:
                self._socket.listen(BACKLOG)
            self._open = True
            self._listen()

    def close(self) -> None:
        """Listen no more. What waits on an own socket is taken first, as fast as descriptors allow.

        What waits on a shared one is left to the other process.
        """
        if self._shared or not self._open:
            self._end()
        elif self._close_by is None:
            self._close_by = asyncio.get_running_loop().time() + DRAIN_TIMEOUT
            self._accept()

    def _end(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _listen(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept)
            if self._close_by is not None:
                self._accept()

    def _accept(self) -> None:
        """Take some connections, and leave the rest to the machine's queue until what came is read."""
        loop = asyncio.get_running_loop()
        if self._close_by is not None and loop.time() >= self._close_by:
            self._end()
        for _ in range(ACCEPTS_PER_TURN):
            if self._socket is None:
                return
            try:
                taken, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                if self._close_by is not None:
                    self._end()  # nobody waits any more
                return  # also where another process on the same socket was quicker
            except OSError as error:  # no descriptor is left
                self._on_shortage(f"listen: {error}")
                loop.remove_reader(self._socket)
                loop.call_later(ACCEPT_PAUSE, self._listen)
                return
            taken.setblocking(False)
            task: asyncio.Task[object] = loop.create_task(
                loop.connect_accepted_socket(self._new_protocol, taken)
            )
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)
