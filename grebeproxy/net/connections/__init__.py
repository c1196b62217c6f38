"""The kinds of connections that a router has, as asyncio protocols.

Each kind decodes bytes to typed messages and reports them to its host as events. It makes no decisions: the
router's state machine does.
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
