"""Makes connections to engines and to the change log."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable

from grebeproxy.net.connections import Connection

SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class Dialer:
    """Makes connections on the running loop; ``on_shortage`` is called where this machine lacks something."""

    def __init__(self, on_shortage: Callable[[str], None]) -> None:
        self._on_shortage = on_shortage

    def dial(self, connection: Connection, address: tuple[str, int]) -> None:
        """Connect to ``host, port``; ``Connection.close`` cancels it, a failure ends the connection."""
        task = asyncio.get_running_loop().create_task(self._connect(connection, address))
        connection.connecting = task

    async def _connect(self, connection: Connection, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: connection, *address)
        except OSError as error:  # refused, unreachable, or no descriptor is left
            # Guards engines against being taken for down because this machine is short of something.
            connection.local_shortage = error.errno in SHORTAGES
            if connection.local_shortage:
                self._on_shortage(str(error))
            connection.end(str(error))
