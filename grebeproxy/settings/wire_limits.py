"""The limits that a router on real connections has to enforce itself."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

from grebeproxy.units import seconds

if TYPE_CHECKING:  # imports for types only would slow down each start by milliseconds
    from grebeproxy.settings.fields import SettingsFields

DEFAULT_CONNECT_TIMEOUT = 1.0  # seconds
DEFAULT_IDLE_TIMEOUT = 30.0  # seconds
DEFAULT_MAX_OPEN = 10_000  # requests


@dataclass(frozen=True, slots=True)
class WireLimits:
    """The limits on connections and open requests. Times are in seconds."""

    connect_timeout: float
    idle_timeout: float
    multiplex: int
    max_open: int  # open requests


def wire_limits_from(profile: Mapping[str, object]) -> WireLimits:
    """Decode the limits from the settings' JSON form. Raises ``KeyError`` if they are missing."""
    limits = cast("SettingsFields", profile)["limits"]
    return WireLimits(
        connect_timeout=seconds(limits.get("connectTimeout")) or DEFAULT_CONNECT_TIMEOUT,
        idle_timeout=seconds(limits.get("connIdle")) or DEFAULT_IDLE_TIMEOUT,
        multiplex=max(1, int(limits.get("multiplex") or 1)),
        max_open=int(limits.get("maxOpen") or DEFAULT_MAX_OPEN),
    )
