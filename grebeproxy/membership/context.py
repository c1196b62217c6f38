"""The state that all parts of one router's membership share."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from random import Random

from grebeproxy.membership.model import Config, Effect
from grebeproxy.membership.suspicion import Health
from grebeproxy.membership.timers import Timers


@dataclass(slots=True)
class Context:
    """Settings, clock, randomness and timers. ``effects`` collects those of the current step."""

    config: Config
    rng: Random
    now: float  # seconds on the local monotonic clock
    effects: list[Effect] = field(default_factory=list)
    health: Health = field(default_factory=Health)
    numbers: Iterator[int] = field(default_factory=lambda: count(1))  # of pings and timers
    timers: Timers = field(init=False)
    displaced: bool = False  # another process of this name goes on instead
    left: bool = False
    resuming: bool = False  # this process was paused, and no ping has been answered since

    def __post_init__(self) -> None:
        """Let timers share the numbers."""
        self.timers = Timers(self.numbers)

    @property
    def stopped(self) -> bool:
        """This process takes no part any longer."""
        return self.displaced or self.left
