"""Names, zones and addresses of the routers of a simulated fleet, by router number."""

from __future__ import annotations

from grebeproxy.membership.model import Address

ZONES = 6
PORT = 7946
OCTET_BITS = 8
OCTET_MASK = 0xFF


def name(router: int) -> str:
    """A router's name; names sort in the order of the numbers."""
    return f"router-{router:04}"


def zone(router: int) -> int:
    """A router's zone; routers with consecutive numbers are in different zones."""
    return router % ZONES


def address(router: int) -> Address:
    """A router's simulated address."""
    return f"10.{zone(router)}.{router >> OCTET_BITS}.{router & OCTET_MASK}", PORT
