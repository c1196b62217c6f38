"""Decodes the decision module's ``Settings`` from JSON, with one function for each part."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, NamedTuple, cast

from grebeproxy.policy import interface as api
from grebeproxy.settings.load_report import REPORT_NAMES
from grebeproxy.settings.validation import (
    KEYED_EFFECT,
    check_categories,
    check_length,
    check_obligations,
    max_attempts,
    whole_number,
)
from grebeproxy.units import seconds

if TYPE_CHECKING:  # imports for types only would slow down each start by milliseconds
    from grebeproxy.settings.fields import (
        CategoryFields,
        FamilyFields,
        ObligationFields,
        OrgFields,
        PriceFields,
        SettingsFields,
        StatFields,
    )

IDEMPOTENCY = {
    "retryable": api.Idempotency.IDEMPOTENT,
    KEYED_EFFECT: api.Idempotency.IDEMPOTENCY_KEY,
    "fragile": api.Idempotency.NON_IDEMPOTENT,
}
POLLED_REGISTRY_MODE = "ask"  # the registry mode in which the router polls the engine list
NO_LOAD_REPORTS = "silent"  # the value of stats.via for engines that send no load reports


class ParallelLists(NamedTuple):
    """Lists with one value for each category (the first three) or for each kind of engine (the others)."""

    threads: Sequence[int]
    locks_data_set: Sequence[bool]
    waits_for_loads: Sequence[bool]
    cores: Sequence[float]
    memory_mb: Sequence[float]


def settings_from(profile: Mapping[str, object]) -> api.Settings:
    """Decode the settings of one router.

    Raises ``KeyError`` for a missing key, ``SettingsError`` that names an invalid field, or Python's own
    error for a value of a wrong type.
    """
    # The parts are decoded in a fixed order, so that of several errors the same one is always reported.
    fields = cast("SettingsFields", profile)
    family = fields.get("familyInfo", {})
    limits = fields["limits"]
    obligations = fields["obligations"]
    prices = fields.get("prices", {})
    stats = fields.get("stats", {})
    categories = fields["categories"]
    lists = _lists(fields, family)
    check_categories(categories)
    attempts = max_attempts(limits["mostTries"])
    check_obligations(obligations)
    classes = _classes(categories, lists)
    budget = _attempt_budget(obligations)
    polls = fields.get("registryMode") == POLLED_REGISTRY_MODE
    return api.Settings(
        classes=classes,
        kinds=_kinds(fields["kinds"], lists),
        balancers=whole_number(fields["balancers"], "balancers"),
        index=whole_number(fields["me"], "me"),
        zone=fields["zone"],
        zones=tuple(fields["zones"]),
        tenants=_tenants(fields.get("orgs", [])),
        over_quota_weight=fields.get("overShareWorth", 1.0),
        rules=_rules(obligations, budget, polls=polls),
        prices=_prices(prices),
        tick=seconds(fields.get("round")),
        max_attempts=attempts,
        max_retry_after=seconds(limits["maxRetryAfter"]) if limits.get("retryAfter") else None,
        connect_timeout=seconds(limits["connectTimeout"]) if limits.get("connectTimeout") else None,
        may_cancel=bool(limits.get("cancel")),
        may_health_check=bool(limits.get("probing")),
        may_gossip=bool(limits.get("mayTell")),
        may_hedge=bool(limits.get("secondCopies")),
        polls_engine_list=polls,
        clients_mark_retries=bool(fields.get("clients", {}).get("marksRetry")),
        memory_granted=bool(family.get("memoryHeeded")),
        largest_grant=family.get("largestShare") or 1.0,
        overcommit_behavior=api.OvercommitBehavior(family.get("overbooked") or "wait"),
        priorities=bool(family.get("takesPriority")),
        progress_period=seconds(family["progress"]) if family.get("progress") else None,
        reports_work=bool(family.get("bills")),
        load_report_fields=_load_report_fields(stats),
    )


def _lists(fields: SettingsFields, family: FamilyFields) -> ParallelLists:
    """Decode the lists with their defaults, and check their lengths."""
    categories = fields["categories"]
    threads = family.get("dop") or [1] * len(categories)
    locks_data_set = family.get("holdsTables") or [False] * len(categories)
    waits_for_loads = family.get("yieldsToLoads") or [False] * len(categories)
    kinds = fields["kinds"]
    cores = family.get("cpuOfKind") or [1.0] * len(kinds)
    memory_mb = family.get("kindMemoryMb") or [0.0] * len(kinds)
    check_length("dop", threads, categories)
    check_length("holdsTables", locks_data_set, categories)
    check_length("yieldsToLoads", waits_for_loads, categories)
    check_length("cpuOfKind", cores, kinds)
    check_length("kindMemoryMb", memory_mb, kinds)
    return ParallelLists(threads, locks_data_set, waits_for_loads, cores, memory_mb)


def _classes(categories: list[CategoryFields], lists: ParallelLists) -> tuple[api.QueryClass, ...]:
    return tuple(
        api.QueryClass(
            name=category["name"],
            latency_objective=seconds(category["aim"]),
            deadline=seconds(category["deadline"]),
            priority_weight=category.get("importance", 1.0),
            late_weight_factor=category.get("lateShare", 0.0),
            objective_stretch=category.get("aimStretch", 0.0),
            idempotency=IDEMPOTENCY[category["effect"]],
            scope=api.Scope(category.get("group", "all")),
            retry_window=seconds(category.get("window")),
            ordered_by_key=bool(category.get("inTurn")),
            allowed_zones=_names(category.get("confinedTo")),
            allowed_kinds=_names(category.get("servedOn")),
            threads=lists.threads[index],
            locks_data_set=lists.locks_data_set[index],
            waits_for_loads=lists.waits_for_loads[index],
            streams=bool(category.get("stream")),
        )
        for index, category in enumerate(categories)
    )


def _names(values: list[str] | None) -> frozenset[str] | None:
    return None if values is None else frozenset(values)


def _kinds(names: list[str], lists: ParallelLists) -> tuple[api.EngineKind, ...]:
    return tuple(
        api.EngineKind(name, lists.cores[index], lists.memory_mb[index]) for index, name in enumerate(names)
    )


def _tenants(orgs: list[OrgFields]) -> tuple[api.Tenant, ...]:
    return tuple(api.Tenant(org["name"], org["allowancePerS"], org.get("share", 0.0)) for org in orgs)


def _attempt_budget(obligations: ObligationFields) -> api.AttemptBudget | None:
    if "countedOver" not in obligations:
        return None
    return api.AttemptBudget(
        window=seconds(obligations["countedOver"]),
        floor=obligations.get("extraFloor", 0.0),
        fraction=obligations.get("extraPerRequest", 0.0),
    )


def _rules(obligations: ObligationFields, budget: api.AttemptBudget | None, *, polls: bool) -> api.Rules:
    return api.Rules(
        answer_slack=seconds(obligations.get("answerSlack")),
        drain_grace=seconds(obligations["stopSendingWithin"]),
        slow_start_fraction=obligations["coldFrom"],
        slow_start_time=seconds(obligations["rampTime"]),
        overload_factor=obligations["overloadFactor"],
        overload_time=seconds(obligations["overloadFor"]),
        key_settle_time=seconds(obligations.get("keyQuiet")),
        list_max_age=seconds(obligations.get("askWithin")) if polls else None,
        attempt_budget=budget,
    )


def _prices(prices: PriceFields) -> api.Prices:
    return api.Prices(
        cross_zone=prices.get("crossZone", 0.0),
        waste=prices.get("waste", 0.0),
        health_check=prices.get("probe", 0.0),
        late_fail=prices.get("lateFail", 0.0),
        peer=prices.get("peer", 0.0),
    )


def _load_report_fields(stats: StatFields) -> tuple[str, ...]:
    """The columns of load reports under the decision module's names; empty if engines send no reports."""
    if stats.get("via") == NO_LOAD_REPORTS:
        return ()
    return tuple(REPORT_NAMES[column] for column in stats.get("columns", ()) if column in REPORT_NAMES)
