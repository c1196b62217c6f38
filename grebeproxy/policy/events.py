"""Events: the input of the decision module. Clock times and latencies are in seconds, memory in MB."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Union

from grebeproxy.policy.settings import Settings


class EngineState(Enum):
    """What discovery says of an engine."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What the engines of an ``EngineList`` are: changes, the full list, one from storage, or none."""

    CHANGES = "changes"
    FULL = "full"
    REMEMBERED = "remembered"
    FAILED = "failed"


class Outcome(Enum):
    """How an attempt ended."""

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
    """What a progress note reports."""

    FRACTION_DONE = 1
    SPILLS_MB = 2
    WAITS = 3


@dataclass(frozen=True, slots=True)
class Engine:
    """One entry of the engine list; ``started`` is the clock time of its last start, if lately."""

    id: str
    kind: str
    zone: str = ""
    cell: int = 0
    state: EngineState = EngineState.UP
    started: float | None = None
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class EngineList:
    """A list from service discovery, or changes to it."""

    list_kind: ListKind
    engines: tuple[Engine, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class ManualOverridesChanged:
    """All engines that operators have taken out: they get no new attempts, whatever the list says."""

    engines: frozenset[str]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The settings from now on. Known queries keep the class that they came with."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Query:
    """A client's request.

    ``due`` is the clock time at which the client gives up. ``received_at`` is the clock time at which the
    request was read, by default that of the call: it may be decided later, on a machine that is busy.
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
    """The client has left, and waits for no answer."""

    id: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How an attempt ended, after ``latency`` seconds; ``settled`` if the client has its final answer."""

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
    """Bytes from another router."""

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
