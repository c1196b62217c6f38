"""The kinds of connections that a router has, as asyncio protocols.

Each decodes bytes to typed values and reports them as events. Nothing is decided here.
"""

from grebeproxy.net.connections.admin import AdminConnection
from grebeproxy.net.connections.base import Connection, Host
from grebeproxy.net.connections.change_log import ChangeLogConnection
from grebeproxy.net.connections.client import ClientConnection, ClientConnections
from grebeproxy.net.connections.engine import EngineConnection

__all__ = [
    "AdminConnection",
    "ChangeLogConnection",
    "ClientConnection",
    "ClientConnections",
    "Connection",
    "EngineConnection",
    "Host",
]
