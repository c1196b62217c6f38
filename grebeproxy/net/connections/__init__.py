"""A router's kinds of connections, as asyncio protocols.

Each decodes bytes to typed messages and reports them as events to its host. Decisions are made elsewhere.
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
