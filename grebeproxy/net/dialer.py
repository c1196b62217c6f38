"""Opens connections to engines and to the change log."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable

from grebeproxy.net.connections import Connection

# Errors that are caused by this machine's shortage of a resource, not by the peer.
LOCAL_SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class Dialer:
    """Opens connections on the running event loop, and owns the tasks that do so.

    ``on_shortage`` is called with the error when this machine is short of a resource. The dialer is an
    asynchronous context manager; its exit cancels the connection attempts in flight.
    """

    def __init__(self, on_shortage: Callable[[OSError], None]) -> None:
        self._on_shortage = on_shortage
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Dialer:
        """Return the dialer."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Cancel the connection attempts in flight and wait until their tasks have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def dial(self, connection: Connection, address: tuple[str, int]) -> None:
        """Connect to ``host, port``. ``Connection.close`` cancels it; a failure ends the connection."""
        task = asyncio.get_running_loop().create_task(self._connect(connection, address))
        connection.dial_task = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, connection: Connection, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: connection, *address)
        except OSError as error:  # The peer refuses or is unreachable, or no descriptor is left.
            # A local shortage is reported separately, so that an engine does not count as down because of it.
            connection.local_shortage = error.errno in LOCAL_SHORTAGES
            if connection.local_shortage:
                self._on_shortage(error)
            connection.end(str(error))
