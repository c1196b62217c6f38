"""Settings and limits of leases, and the state that the parts of one router share."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from grebeproxy.membership.lease.messages import Effect
from grebeproxy.membership.model import MAX_SECONDS, InvalidSettingError, View

MAX_CLOCK_DRIFT = 0.02  # greatest difference in rate between two clocks, as a fraction
MAX_LEASES = 64  # leases for which a router votes, and leases that it may want, at most
MAX_BALLOT = 2**53


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """Who takes part in leases. Raises ``InvalidSettingError`` (a ``ValueError``) for an unusable length."""

    name: str  # of this router
    instance: int  # random number of this process
    fleet: int  # configured routers: more than half of them are a majority
    length: float  # of a lease in seconds; the same at all routers

    def __post_init__(self) -> None:
        """Check the length."""
        if not 0.0 < self.length < MAX_SECONDS:
            raise InvalidSettingError(f"length: must be above 0 and below {MAX_SECONDS:.0f}")


@dataclass(slots=True)
class LeaseContext:
    """What a router's voter and candidate share. ``effects`` collects those of the current step."""

    config: LeaseConfig
    rng: Random
    now: float  # seconds on the local monotonic clock
    view: View
    effects: list[Effect]
