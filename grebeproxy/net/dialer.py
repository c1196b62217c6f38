"""Makes connections to engines and to the change log."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable

from grebeproxy.net.connections import Connection

# Errors that say something about this machine, not about the peer.
LOCAL_SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class Dialer:
    """Makes connections on the running loop, and owns the tasks that do.

    ``on_shortage`` is called with the error where this machine is short of a resource. As an
    asynchronous context manager it cancels, on leaving, the dials that are still under way.
    """

    def __init__(self, on_shortage: Callable[[OSError], None]) -> None:
        self._on_shortage = on_shortage
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Dialer:
        """Return the dialer."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Cancel the dials that are still under way and wait until they have stopped."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def dial(self, connection: Connection, address: tuple[str, int]) -> None:
        """Connect to ``host, port``; ``Connection.close`` cancels it, a failure ends the connection."""
        task = asyncio.get_running_loop().create_task(self._connect(connection, address))
        connection.dial_task = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, connection: Connection, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: connection, *address)
        except OSError as error:  # refused, unreachable, or no descriptor is left
            # Reported apart, so that an engine is not taken for down because this machine lacks a resource.
            connection.local_shortage = error.errno in LOCAL_SHORTAGES
            if connection.local_shortage:
                self._on_shortage(error)
            connection.end(str(error))
