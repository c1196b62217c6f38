"""Settings of one router, as the decision module takes them.

Times are in seconds, memory is in MB, and work is in core-seconds (the time that one thread would take).
Optional parts that a deployment lacks are ``None`` or empty.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from grebeproxy.errors import GrebeproxyError


class SettingsValueError(GrebeproxyError, ValueError):
    """A setting that cannot be used; the text begins with the field's name.

    This class is also a ``ValueError``, because some callers catch that.
    """


class Idempotency(Enum):
    """Whether a query may be retried once it may have run."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class Scope(Enum):
    """Which engines share the idempotency keys that they have seen, and so drop each other's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class OvercommitBehavior(Enum):
    """What an engine does when it has granted more memory than it has."""

    WAIT = "wait"
    SHRINK = "shrink"
    PAGE = "page"


@dataclass(frozen=True, slots=True)
class QueryClass:
    """One class of query.

    The latency objective of a query is ``latency_objective + objective_stretch * work / threads`` seconds
    after the client's first attempt.
    """

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
    """A tenant, and the queries per second over all routers that are within its quota."""

    name: str
    allowance: float
    traffic_fraction: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptBudget:
    """Limit of retries: at most ``floor + fraction * queries`` within any ``window`` seconds."""

    window: float
    floor: float = 0.0
    fraction: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """The limits that the platform's rules set; a rule without values does not apply."""

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
    """Prices of attempts across zones, wasted work, health checks, late failures and messages to peers."""

    cross_zone: float = 0.0
    waste: float = 0.0
    health_check: float = 0.0
    late_fail: float = 0.0
    peer: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one router. Invalid values raise ``SettingsValueError`` naming the field."""

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
    overcommit_behavior: OvercommitBehavior = OvercommitBehavior.WAIT
    priorities: bool = False
    progress_period: float | None = None
    reports_work: bool = False
    load_report_fields: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        """Raise ``SettingsValueError`` for values that are out of range or contradict each other."""
        _check_counts(self)
        _check_kinds(self)
        for cls in self.classes:
            _check_class(self, cls)
        _check_unique_names(self)
        for tenant in self.tenants:
            _check_not_negative(f"tenants[{tenant.name}]", tenant, "allowance", "traffic_fraction")
        _check_rules(self.rules)
        _check_not_negative("settings", self, "tick", "over_quota_weight", "largest_grant")


def _check_counts(settings: Settings) -> None:
    """Check that whole numbers are in range, and that there is at least one class and one kind."""
    for name in ("balancers", "index", "max_attempts"):
        if not isinstance(getattr(settings, name), int):
            raise SettingsValueError(f"{name}: must be a whole number")
    if not settings.classes:
        raise SettingsValueError("classes: at least one class is needed")
    if not settings.kinds:
        raise SettingsValueError("kinds: at least one kind is needed")
    if settings.balancers < 1:
        raise SettingsValueError("balancers: must be 1 or more")
    if not 0 <= settings.index < settings.balancers:
        raise SettingsValueError("index: must be 0 or more and below balancers")
    if settings.max_attempts < 1:
        raise SettingsValueError("max_attempts: must be 1 or more")


def _check_kinds(settings: Settings) -> None:
    """Check the sizes of the engine kinds."""
    for kind in settings.kinds:
        if kind.cores <= 0:
            raise SettingsValueError(f"kinds[{kind.name}].cores: must be above 0")
        _check_not_negative(f"kinds[{kind.name}]", kind, "memory_mb")


def _check_class(settings: Settings, cls: QueryClass) -> None:
    """Check the times and weights of a class, and the engines that it is confined to."""
    where = f"classes[{cls.name}]"
    for name in ("latency_objective", "deadline"):
        if getattr(cls, name) <= 0:
            raise SettingsValueError(f"{where}.{name}: must be above 0")
    if cls.threads < 1:
        raise SettingsValueError(f"{where}.threads: must be 1 or more")
    _check_not_negative(
        where, cls, "priority_weight", "late_weight_factor", "objective_stretch", "retry_window"
    )
    known_kinds = {kind.name for kind in settings.kinds}
    if cls.allowed_kinds is not None and not cls.allowed_kinds & known_kinds:
        raise SettingsValueError(f"{where}.only_kinds: names no kind of this deployment")
    if cls.allowed_zones is not None and not cls.allowed_zones & set(settings.zones):
        raise SettingsValueError(f"{where}.only_zones: names no zone of this deployment")


def _check_unique_names(settings: Settings) -> None:
    """Check that no two classes, kinds or tenants have the same name."""
    for field_name in ("classes", "kinds", "tenants"):
        names = [item.name for item in getattr(settings, field_name)]
        if len(set(names)) != len(names):
            raise SettingsValueError(f"{field_name}: a name is given twice")


def _check_rules(rules: Rules) -> None:
    """Check the limits of the rules, and the budget of retries if there is one."""
    _check_not_negative(
        "rules",
        rules,
        "answer_slack",
        "drain_grace",
        "slow_start_fraction",
        "slow_start_time",
        "overload_factor",
        "overload_time",
        "key_settle_time",
    )
    if rules.attempt_budget is not None:
        _check_not_negative("rules.attempt_budget", rules.attempt_budget, "window", "floor", "fraction")
        if not rules.attempt_budget.window:
            raise SettingsValueError("rules.attempt_budget.window: must be above 0")


def _check_not_negative(where: str, item: object, *names: str) -> None:
    """Check that the named fields are numbers, not NaN, and 0 or more."""
    for name in names:
        value = getattr(item, name)
        if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 0:
            raise SettingsValueError(f"{where}.{name}: must be a number and not negative")
