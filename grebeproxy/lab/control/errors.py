"""Errors of the simulated fleets."""

from __future__ import annotations

from grebeproxy.errors import GrebeproxyError


class FleetError(GrebeproxyError):
    """A measurement of a simulated fleet cannot continue."""


class NotReachedError(FleetError):
    """A condition did not become true within its limit of simulated time."""


class NoLeaseHolderError(FleetError):
    """No router holds the lease at a moment at which a measurement needs a holder."""
