"""A listening socket: accepts connections a few at a time and gives each a protocol.

The loop's own server accepts all that wait in one go, and when descriptors run out it closes each newcomer:
hundreds of connections that send nothing would then shut out the usual clients.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

BACKLOG = 1024  # connections that the kernel queues until they are accepted
ACCEPTS_PER_TURN = 16  # connections accepted before the loop reads from others
ACCEPT_PAUSE = 0.05  # seconds without accepting after descriptors ran out
DRAIN_TIMEOUT = 0.5  # seconds in which queued connections are still accepted once the socket is to close


def bind(address: tuple[str, int]) -> socket.socket:
    """A socket bound to ``host, port``, not listening yet. Raises ``OSError``, as for an address in use."""
    listener = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
    except OSError:
        listener.close()
        raise
    return listener


def adopt(descriptor: int) -> socket.socket:
    """The platform's listening socket under a descriptor. Raises ``OSError`` for one that does not listen."""
    listener = socket.socket(fileno=descriptor)
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()  # not this program's to close
        raise OSError(f"descriptor {descriptor} does not listen")
    return listener


class Listener:
    """Accepts connections from a socket.

    ``on_shortage`` is called with the error where none can be accepted for want of a resource. A ``shared``
    socket is accepted from by another process as well.
    """

    def __init__(
        self,
        listener: socket.socket,
        new_protocol: Callable[[], asyncio.Protocol],
        on_shortage: Callable[[OSError], None],
        *,
        shared: bool = False,
    ) -> None:
        listener.setblocking(False)
        self._socket: socket.socket | None = listener
        self._new_protocol = new_protocol
        self._on_shortage = on_shortage
        self._shared = shared
        self._accepting: set[asyncio.Task[object]] = set()
        self._open = False
        self._close_deadline: float | None = None  # on the loop's clock, once it is to close

    def open(self) -> None:
        """Listen from now on. Raises ``OSError`` where another program came first."""
        if self._socket is None:
            return
        if not self._shared:
            self._socket.listen(BACKLOG)
        self._open = True
        self._watch()

    def close(self) -> None:
        """Stop listening.

        Connections queued on an own socket are accepted first, as fast as descriptors allow; those on a
        shared one are left to the other process.
        """
        if self._shared or not self._open:
            self._close_socket()
        elif self._close_deadline is None:
            self._close_deadline = asyncio.get_running_loop().time() + DRAIN_TIMEOUT
            self._accept()

    def _close_socket(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _watch(self) -> None:
        """Accept whenever a connection is queued."""
        if self._socket is None:
            return
        asyncio.get_running_loop().add_reader(self._socket, self._accept)
        if self._close_deadline is not None:
            self._accept()

    def _accept(self) -> None:
        """Accept some connections; the rest stay queued in the kernel until the loop has read from others."""
        loop = asyncio.get_running_loop()
        if self._close_deadline is not None and loop.time() >= self._close_deadline:
            self._close_socket()
        for _ in range(ACCEPTS_PER_TURN):
            if self._socket is None:
                return
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                # The queue is empty; on a shared socket the other process may have been quicker.
                if self._close_deadline is not None:
                    self._close_socket()
                return
            except OSError as error:  # no descriptor is left
                self._on_shortage(error)
                loop.remove_reader(self._socket)
                loop.call_later(ACCEPT_PAUSE, self._watch)
                return
            self._start(accepted)

    def _start(self, accepted: socket.socket) -> None:
        """Give an accepted socket its protocol."""
        accepted.setblocking(False)
        loop = asyncio.get_running_loop()
        task: asyncio.Task[object] = loop.create_task(
            loop.connect_accepted_socket(self._new_protocol, accepted)
        )
        self._accepting.add(task)
        task.add_done_callback(self._accepting.discard)
