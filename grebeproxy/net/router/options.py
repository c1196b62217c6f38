"""The options that a router is constructed with."""

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
    """The configuration with which a router starts. A reload may replace some of it later.

    ``changelog`` is the address of the change log. ``bounds`` limits connections and memory. ``seed`` seeds
    the decision module. ``known`` holds the change log events that the configuration contains, in order, and
    is iterated once. ``shared`` says that the listening socket is shared with another process, such as the
    one that this process replaces.
    """

    settings: api.Settings
    limits: WireLimits
    changelog: Address
    bounds: Bounds
    seed: int
    known: Iterable[ChangeLogUpdate] = ()
    shared: bool = False
