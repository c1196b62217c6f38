"""Events: the input of the decision module. Clock times and latencies are in seconds, memory in MB."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Union

from grebeproxy.policy.settings import Settings


class EngineState(Enum):
    """The state of an engine in the list of service discovery."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What an ``EngineList`` holds.

    These are changes to the list, the full list, a list from storage, or nothing because the poll failed.
    """

    CHANGES = "changes"
    FULL = "full"
    REMEMBERED = "remembered"
    FAILED = "failed"


class Outcome(Enum):
    """How an attempt ended.

    ``FULL``: it was rejected for lack of capacity. ``SKIPPED``: the router did not send it or the engine did
    not run it, because it came too late or was no longer allowed.
    """

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    SKIPPED = "moot"

    @property
    def never_ran(self) -> bool:
        """True when this outcome proves that the attempt did not run."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.SKIPPED)


class ProgressKind(Enum):
    """What a progress note reports: the fraction done, MB spilled to disk, or waiting."""

    FRACTION_DONE = 1
    SPILLS_MB = 2
    WAITS = 3


@dataclass(frozen=True, slots=True)
class Engine:
    """One entry of the engine list; ``started`` is the clock time of the engine's last start, if recent."""

    id: str
    kind: str
    zone: str = ""
    cell: int = 0
    state: EngineState = EngineState.UP
    started: float | None = None
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class EngineList:
    """The engine list from service discovery, or changes to it."""

    list_kind: ListKind
    engines: tuple[Engine, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class ManualOverridesChanged:
    """All engines that operators have disabled: they get no new attempts, whatever the list says."""

    engines: frozenset[str]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings. Queries that are already known keep the class that they arrived with."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Query:
    """A client's request.

    ``due`` is the clock time at which the client gives up. ``received_at`` is the clock time at which the
    request was read, by default the time of the call. On a busy machine a request may wait between being
    read and being handled.
    """

    id: str
    cls: str
    due: float
    tenant: str | None = None
    key: str | None = None
    data_set: int | None = None
    work: float | None = None
    memory_mb: float | None = None
    writes: bool = False
    is_client_retry: bool = False
    received_at: float | None = None


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected, and no longer waits for an answer."""

    id: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended after ``latency`` seconds; ``settled`` means the client has its final answer."""

    id: str
    engine: str
    attempt: int
    outcome: Outcome
    latency: float
    settled: bool = False
    work: float | None = None
    memory_mb: float | None = None
    load_report: dict[str, float] | None = None


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The first part of a streamed answer reached the client."""

    id: str
    engine: str
    attempt: int
    latency: float


@dataclass(frozen=True, slots=True)
class Progress:
    """A progress note of an attempt in flight."""

    id: str
    engine: str
    attempt: int
    kind: ProgressKind
    value: float


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a health check."""

    engine: str
    latency: float
    outcome: Outcome
    load_report: dict[str, float] | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another router."""

    sender: int
    data: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set earlier has fired."""

    name: str


Event = Union[
    EngineList,
    ManualOverridesChanged,
    SettingsChanged,
    Query,
    ClientDisconnected,
    AttemptEnded,
    AttemptStarted,
    Progress,
    HealthCheckEnded,
    PeerMessage,
    TimerFired,
]
