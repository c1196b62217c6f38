"""Names, zones and addresses of the routers of a simulated fleet, by router number."""

from __future__ import annotations

from grebeproxy.membership.model import Address

ZONES = 6
PORT = 7946  # UDP port of every simulated router
OCTET_BITS = 8
OCTET_MASK = 0xFF


def name(router: int) -> str:
    """Return a router's name. Names sort in the order of the router numbers."""
    return f"router-{router:04}"


def zone(router: int) -> int:
    """Return a router's zone. Routers with consecutive numbers are in different zones."""
    return router % ZONES


def address(router: int) -> Address:
    """Return a router's simulated address."""
    return f"10.{zone(router)}.{router >> OCTET_BITS}.{router & OCTET_MASK}", PORT
