"""Settings and limits of leases, and the state that a router's voter and candidate share."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from grebeproxy.membership.lease.messages import Effect
from grebeproxy.membership.model import MAX_SECONDS, InvalidSettingError, View

MAX_CLOCK_DRIFT = 0.02  # greatest difference in rate between the clocks of two routers, as a fraction
MAX_LEASES = 64  # most leases that a router votes for, and most that it claims
MAX_BALLOT = 2**53  # higher ballots are invalid


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """The settings of one router's leases.

    Raises ``InvalidSettingError`` (a ``ValueError``) if the length is out of its bounds.
    """

    name: str  # name of this router
    instance: int  # random number that identifies this process
    fleet: int  # number of configured routers; more than half of them are a majority
    length: float  # seconds that a lease lasts; all routers have the same setting

    def __post_init__(self) -> None:
        """Check the length."""
        if not 0.0 < self.length < MAX_SECONDS:
            raise InvalidSettingError(f"length: must be above 0 and below {MAX_SECONDS:.0f}")


@dataclass(slots=True)
class LeaseContext:
    """The state that a router's voter and candidate share.

    ``effects`` collects the effects of the current step.
    """

    config: LeaseConfig
    rng: Random
    now: float  # seconds on the local monotonic clock
    view: View
    effects: list[Effect]
