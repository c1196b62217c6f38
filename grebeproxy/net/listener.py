"""A listening socket that accepts a few connections at a time and gives each one a protocol.

The event loop's own server accepts all queued connections at once, and closes each new connection when no
descriptor is left. Hundreds of connections that send nothing would then lock out the regular clients.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

BACKLOG = 1024  # connections that the kernel queues before they are accepted
ACCEPTS_PER_TURN = 16  # connections accepted before the loop reads from open ones
ACCEPT_PAUSE = 0.05  # seconds without accepting after a failure for lack of descriptors
DRAIN_TIMEOUT = 0.5  # seconds in which queued connections are still accepted before the socket closes


def bind(address: tuple[str, int]) -> socket.socket:
    """Bind a socket to ``host, port`` without listening. Raises ``OSError``, as for an address in use."""
    listener = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
    except OSError:
        listener.close()
        raise
    return listener


def adopt(descriptor: int) -> socket.socket:
    """Use the platform's listening socket. Raises ``OSError`` for a descriptor that does not listen."""
    listener = socket.socket(fileno=descriptor)
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()  # The platform owns the descriptor.
        raise OSError(f"descriptor {descriptor} does not listen")
    return listener


class Listener:
    """Accepts connections from a socket.

    ``on_shortage`` is called with the error if a resource for accepting connections is lacking. ``shared``
    says that another process accepts connections from the same socket.
    """

    def __init__(
        self,
        listener: socket.socket,
        new_protocol: Callable[[], asyncio.BaseProtocol],
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
        self._close_deadline: float | None = None  # on the loop's clock; set when closing begins

    def open(self) -> None:
        """Start listening. Raises ``OSError`` if another program already listens on the address."""
        if self._socket is None:
            return
        if not self._shared:
            self._socket.listen(BACKLOG)
        self._open = True
        self._watch()

    def close(self) -> None:
        """Stop listening.

        Connections that are queued on the router's own socket are accepted first, as far as descriptors
        allow. Connections on a shared socket are left to the other process.
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
        """Have the loop call ``_accept`` whenever a connection is queued."""
        if self._socket is None:
            return
        asyncio.get_running_loop().add_reader(self._socket, self._accept)
        if self._close_deadline is not None:
            self._accept()

    def _accept(self) -> None:
        """Accept some connections; the kernel queues the rest while the loop reads from open ones."""
        loop = asyncio.get_running_loop()
        if self._close_deadline is not None and loop.time() >= self._close_deadline:
            self._close_socket()
        for _ in range(ACCEPTS_PER_TURN):
            if self._socket is None:
                return
            try:
                accepted, _ = self._socket.accept()
            except (InterruptedError, ConnectionError):
                continue  # This connection has ended already, and others may be queued behind it.
            except BlockingIOError:
                # The queue is empty. On a shared socket, the other process may have accepted the connection.
                if self._close_deadline is not None:
                    self._close_socket()
                return
            except OSError as error:  # No descriptor is left.
                self._on_shortage(error)
                loop.remove_reader(self._socket)
                loop.call_later(ACCEPT_PAUSE, self._watch)
                return
            self._attach_protocol(accepted)

    def _attach_protocol(self, accepted: socket.socket) -> None:
        """Attach a new protocol to an accepted socket."""
        accepted.setblocking(False)
        loop = asyncio.get_running_loop()
        task: asyncio.Task[object] = loop.create_task(
            loop.connect_accepted_socket(self._new_protocol, accepted)
        )
        self._accepting.add(task)
        task.add_done_callback(self._accepting.discard)
