"""What a router is constructed from."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from grebeproxy.net.admission import Bounds
from grebeproxy.net.events import Address
from grebeproxy.net.messages import ChangeLogUpdate
from grebeproxy.policy import interface as api
from grebeproxy.settings import WireLimits


@dataclass(frozen=True, slots=True)
class RouterOptions:
    """The configuration of one router, fixed except for what a reload replaces.

    ``seed`` seeds the decision module. ``known`` holds the change log events that the configuration already
    contains, in order; it is iterated once. ``shared`` says that the listening socket is shared with another
    process, such as the one that this process replaces.
    """

    settings: api.Settings
    limits: WireLimits
    changelog: Address
    bounds: Bounds
    seed: int
    known: Iterable[ChangeLogUpdate] = ()
    shared: bool = False
