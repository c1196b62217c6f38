"""What the decision module is told and what it may do: settings, events and actions.

Units: times and clocks in seconds, memory in MB, work in core-seconds (the time one thread would take).
Optional parts that a deployment lacks are ``None`` or empty. Nothing in this file decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Union


class Idempotency(Enum):
    """How far a query may be repeated once it may have run."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class Scope(Enum):
    """Which engines drop the repeats of a keyed query together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Overbooked(Enum):
    """What an engine does when the memory granted passes what it has."""

    WAIT = "wait"
    SHRINK = "shrink"
    PAGE = "page"


class EngineState(Enum):
    """What discovery says of an engine."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How the engines of an ``EngineList`` are to be taken."""

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
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """True when this outcome proves that the attempt did not run."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class ProgressKind(Enum):
    """What a note on a running attempt tells."""

    FRACTION_DONE = 1
    SPILLS_MB = 2
    WAITS = 3


@dataclass(frozen=True, slots=True)
class QueryClass:
    """One class of query; its aim is ``aim + aim_stretch * work / threads``."""

    name: str
    latency_objective: float
    deadline: float
    priority_weight: float = 1.0
    late_weight_factor: float = 0.0
    objective_stretch: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    scope: Scope = Scope.ALL
    retry_window: float = 0.0
    ordered_by_key: bool = False
    allowed_zones: frozenset[str] | None = None
    allowed_kinds: frozenset[str] | None = None
    threads: int = 1
    locks_data_set: bool = False
    waits_for_loads: bool = False
    streams: bool = False


@dataclass(frozen=True, slots=True)
class EngineKind:
    """A kind of engine machine."""

    name: str
    cores: float
    memory_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and the requests per second, over all gateways, that are within its share."""

    name: str
    allowance: float
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptBudget:
    """Attempts beyond the first: at most ``floor + share * taken`` within any ``window``."""

    window: float
    floor: float = 0.0
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the seven rules; a rule without figures here does not apply."""

    answer_slack: float = 0.0
    drain_grace: float = 0.0
    slow_start_fraction: float = 1.0
    slow_start_time: float = 0.0
    overload_factor: float = 1.0
    overload_time: float = 0.0
    key_settle_time: float = 0.0
    list_max_age: float | None = None
    attempt_budget: AttemptBudget | None = None


@dataclass(frozen=True, slots=True)
class Prices:
    """What costs points: attempts across zones, wasted work, probes and late failures."""

    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    late_fail: float = 0.0
    peer: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told when it starts. Wrong values raise ``ValueError`` naming the field."""

    classes: tuple[QueryClass, ...]
    kinds: tuple[EngineKind, ...]
    balancers: int = 1
    index: int = 0
    zone: str = ""
    zones: tuple[str, ...] = ("",)
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)
    tick: float = 0.0
    max_attempts: int = 1
    max_retry_after: float | None = None
    connect_timeout: float | None = None
    may_cancel: bool = False
    may_health_check: bool = False
    may_gossip: bool = False
    may_hedge: bool = False
    polls_engine_list: bool = False
    clients_mark_retries: bool = False
    memory_granted: bool = False
    largest_grant: float = 1.0
    overbooked: Overbooked = Overbooked.WAIT
    priorities: bool = False
    progress_period: float | None = None
    reports_work: bool = False
    reports: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        """Refuse settings that cannot be meant."""
        for name in ("balancers", "index", "max_attempts"):
            if not isinstance(getattr(self, name), int):
                raise ValueError(f"{name}: must be a whole number")
        if not self.classes:
            raise ValueError("classes: at least one class is needed")
        if not self.kinds:
            raise ValueError("kinds: at least one kind is needed")
        if self.balancers < 1:
            raise ValueError("balancers: must be 1 or more")
        if not 0 <= self.index < self.balancers:
            raise ValueError("index: must be 0 or more and below balancers")
        if self.max_attempts < 1:
            raise ValueError("max_attempts: must be 1 or more")
        for kind in self.kinds:
            if kind.cores <= 0:
                raise ValueError(f"kinds[{kind.name}].cores: must be above 0")
            _not_negative(f"kinds[{kind.name}]", kind, "memory_mb")
        known_kinds = {kind.name for kind in self.kinds}
        for cls in self.classes:
            where = f"classes[{cls.name}]"
            for name in ("latency_objective", "deadline"):
                if getattr(cls, name) <= 0:
                    raise ValueError(f"{where}.{name}: must be above 0")
            if cls.threads < 1:
                raise ValueError(f"{where}.threads: must be 1 or more")
            _not_negative(
                where, cls, "priority_weight", "late_weight_factor", "objective_stretch", "retry_window"
            )
            if cls.allowed_kinds is not None and not cls.allowed_kinds & known_kinds:
                raise ValueError(f"{where}.only_kinds: names no kind of this deployment")
            if cls.allowed_zones is not None and not cls.allowed_zones & set(self.zones):
                raise ValueError(f"{where}.only_zones: names no zone of this deployment")
        for name in ("classes", "kinds", "tenants"):
            names = [item.name for item in getattr(self, name)]
            if len(set(names)) != len(names):
                raise ValueError(f"{name}: a name is given twice")
        for tenant in self.tenants:
            _not_negative(f"tenants[{tenant.name}]", tenant, "allowance", "share")
        _not_negative(
            "rules",
            self.rules,
            "answer_slack",
            "drain_grace",
            "slow_start_fraction",
            "slow_start_time",
            "overload_factor",
            "overload_time",
            "key_settle_time",
        )
        budget = self.rules.attempt_budget
        if budget is not None:
            _not_negative("rules.attempt_budget", budget, "window", "floor", "share")
            if not budget.window:
                raise ValueError("rules.attempt_budget.window: must be above 0")
        _not_negative("settings", self, "tick", "over_quota_weight", "largest_grant")


def _not_negative(where: str, item: object, *names: str) -> None:
    for name in names:
        value = getattr(item, name)
        if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 0:
            raise ValueError(f"{where}.{name}: must be a number and not negative")


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
    """News from discovery."""

    how: ListKind
    engines: tuple[Engine, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class ManualOverridesChanged:
    """All engines that operators have taken out: they get nothing new, whatever the list says."""

    engines: frozenset[str]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings hold from now on. Queries that are there keep the class they came with."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Query:
    """A client's request; ``due`` is the clock time at which the client gives up."""

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


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client left; nothing more is owed."""

    id: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How an attempt ended; ``settled`` when the client has its final answer."""

    id: str
    engine: str
    attempt: int
    outcome: Outcome
    latency: float
    settled: bool = False
    work: float | None = None
    memory_mb: float | None = None
    report: dict[str, float] | None = None


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The first part of a streamed answer reached the client."""

    id: str
    engine: str
    attempt: int
    latency: float


@dataclass(frozen=True, slots=True)
class Progress:
    """A note on an attempt that is still out."""

    id: str
    engine: str
    attempt: int
    kind: ProgressKind
    value: float


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a probe."""

    engine: str
    latency: float
    outcome: Outcome
    report: dict[str, float] | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another gateway."""

    sender: int
    data: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set earlier has run out."""

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


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; it is abandoned at clock time ``until``.

    Where ``by`` is given, it may not leave at that clock time or later: where it has to wait for a
    connection, it is judged again when it leaves. One that waits longer ends as ``MOOT``.
    """

    id: str
    engine: str
    until: float
    by: float | None = None


@dataclass(frozen=True, slots=True)
class SetTerms:
    """Memory grant (``None``: the engine chooses) and priority, 0 low to 3 high, of a query."""

    id: str
    priority: int
    memory_mb: float | None = None


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not run, a retry is harmless, best after ``come_back``."""

    id: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Ask an engine whether it serves."""

    engine: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a ``TimerFired`` after ``delay``."""

    name: str
    delay: float


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask discovery for changes from now on."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask discovery for the whole list once."""


@dataclass(frozen=True, slots=True)
class Message:
    """Send bytes to one gateway, or to all when ``to`` is ``None``."""

    data: str
    to: int | None = None


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the log."""

    text: str


Action = Union[Send, SetTerms, Reject, Fail, Cancel, HealthCheck, SetTimer, Watch, FetchList, Message, Log]
