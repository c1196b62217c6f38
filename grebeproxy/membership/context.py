"""The state that the modules of one router's membership share."""

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
    """Settings, clock, randomness and timers. ``effects`` collects the effects of the current step."""

    config: Config
    rng: Random
    now: float  # seconds on the local monotonic clock
    effects: list[Effect] = field(default_factory=list)
    health: Health = field(default_factory=Health)
    numbers: Iterator[int] = field(default_factory=lambda: count(1))  # sequence numbers of pings and timers
    timers: Timers = field(init=False)
    displaced: bool = False  # true once this process has yielded its name to another process
    left: bool = False  # true once this router has announced that it leaves
    resuming: bool = False  # true from a pause of this process until a ping is answered

    def __post_init__(self) -> None:
        """Create the timers, which share the sequence numbers."""
        self.timers = Timers(self.numbers)

    @property
    def stopped(self) -> bool:
        """Whether this process no longer takes part in the membership."""
        return self.displaced or self.left
