"""The JSON form of the change log's events in the configuration, with the operators' keys and values.

These types describe a valid file. The contents of an actual file are checked only when the file is decoded.
"""

from __future__ import annotations

from typing import TypedDict


class EngineEntry(TypedDict):
    """An entry for one engine."""

    name: str
    address: str
    zone: str
    type: str
    status: str
    group: int
    weight: float
    since_ms: int


class KnownList(TypedDict):
    """The engine list of one event: the full list if ``snapshot`` is set, otherwise changes to it."""

    endpoints: list[EngineEntry]
    snapshot: bool


class KnownEvent(TypedDict):
    """One event of the change log in the configuration."""

    seq: int
    fleet: KnownList


class KnownEvents(TypedDict):
    """The change log's events that the configuration holds."""

    results: list[KnownEvent]
