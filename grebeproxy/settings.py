"""The settings of a deployment's routers, from their JSON form to the module's ``Settings``.

The simulator adapter and the router on sockets both read them here, so both make the same decisions.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from grebeproxy.errors import GrebeproxyError
from grebeproxy.policy import interface as api

Fields = dict[str, Any]

IDEMPOTENCY = {
    "retryable": api.Idempotency.IDEMPOTENT,
    "dedup": api.Idempotency.IDEMPOTENCY_KEY,
    "fragile": api.Idempotency.NON_IDEMPOTENT,
}
REPORTS = {
    "busy_reqs": "in_flight",
    "pending": "waiting",
    "cpu_share": "cpu",
    "svc_ms": "latency",
    "served_ps": "served_rate",
    "failed_ps": "error_rate",
    "x0": "memory_granted",
    "x1": "disks_busy",
}
# On sockets some of these have shorter names.
REPORTS |= {
    "inflight": "in_flight",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "latency",
    "qps": "served_rate",
    "eps": "error_rate",
}
REPORTS_IN_MS = {"svc_ms", "latency_ms"}


class SettingsError(GrebeproxyError, ValueError):
    """A settings field that cannot be used; the text begins with the field's name.

    It is also a ``ValueError``, which is what callers caught before it was a class of its own.
    """


def seconds(milliseconds: float | None) -> float:
    """Milliseconds, as in the settings file, in seconds."""
    return (milliseconds or 0.0) / 1000.0


def _above_zero(fields: Fields, name: str, where: str) -> float:
    """A number that has to be there. Raises KeyError, or SettingsError naming the field."""
    value = fields[name]
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < float("inf"):
        raise SettingsError(f"{where}{name}: must be a number above 0")
    return float(value)


def settings_from(profile: Fields) -> api.Settings:
    """The settings of one router. Raises KeyError, or SettingsError naming the field."""
    family, limits = profile.get("familyInfo", {}), profile["limits"]
    rules, prices, stats = profile["obligations"], profile.get("prices", {}), profile.get("stats", {})
    categories = profile["categories"]
    threads = family.get("dop") or [1] * len(categories)
    loads = family.get("holdsTables") or [False] * len(categories)
    waits = family.get("yieldsToLoads") or [False] * len(categories)
    names = profile["kinds"]
    cores = family.get("cpuOfKind") or [1.0] * len(names)
    memory = family.get("kindMemoryMb") or [0.0] * len(names)
    lists = (
        ("dop", threads, categories),
        ("holdsTables", loads, categories),
        ("yieldsToLoads", waits, categories),
        ("cpuOfKind", cores, names),
        ("kindMemoryMb", memory, names),
    )
    for field, values, wanted in lists:
        if len(values) != len(wanted):
            raise SettingsError(f"familyInfo.{field}: {len(values)} values for {len(wanted)}")
    for i, c in enumerate(categories):
        for name in ("aim", "deadline"):
            _above_zero(c, name, f"categories.{i}.")
    if _above_zero(limits, "mostTries", "limits.") != int(limits["mostTries"]):
        raise SettingsError("limits.mostTries: must be a whole number")
    classes = tuple(
        api.QueryClass(
            name=c["name"],
            latency_objective=seconds(c["aim"]),
            deadline=seconds(c["deadline"]),
            priority_weight=c.get("importance", 1.0),
            late_weight_factor=c.get("lateShare", 0.0),
            objective_stretch=c.get("aimStretch", 0.0),
            idempotency=IDEMPOTENCY[c["effect"]],
            scope=api.Scope(c.get("group", "all")),
            retry_window=seconds(c.get("window")),
            ordered_by_key=bool(c.get("inTurn")),
            allowed_zones=_names(c.get("confinedTo")),
            allowed_kinds=_names(c.get("servedOn")),
            threads=threads[i],
            locks_data_set=loads[i],
            waits_for_loads=waits[i],
            streams=bool(c.get("stream")),
        )
        for i, c in enumerate(categories)
    )
    budget = None
    if "countedOver" in rules:
        budget = api.AttemptBudget(
            window=seconds(rules["countedOver"]),
            floor=rules.get("extraFloor", 0.0),
            fraction=rules.get("extraPerRequest", 0.0),
        )
    asks = profile.get("registryMode") == "ask"
    return api.Settings(
        classes=classes,
        kinds=tuple(api.EngineKind(n, cores[i], memory[i]) for i, n in enumerate(names)),
        balancers=profile["balancers"],
        index=profile["me"],
        zone=profile["zone"],
        zones=tuple(profile["zones"]),
        tenants=tuple(
            api.Tenant(o["name"], o["allowancePerS"], o.get("share", 0.0)) for o in profile.get("orgs", [])
        ),
        over_quota_weight=profile.get("overShareWorth", 1.0),
        rules=api.Rules(
            answer_slack=seconds(rules.get("answerSlack")),
            drain_grace=seconds(rules["stopSendingWithin"]),
            slow_start_fraction=rules["coldFrom"],
            slow_start_time=seconds(rules["rampTime"]),
            overload_factor=rules["overloadFactor"],
            overload_time=seconds(rules["overloadFor"]),
            key_settle_time=seconds(rules.get("keyQuiet")),
            list_max_age=seconds(rules.get("askWithin")) if asks else None,
            attempt_budget=budget,
        ),
        prices=api.Prices(
            cross_zone=prices.get("crossZone", 0.0),
            waste=prices.get("waste", 0.0),
            health_check=prices.get("probe", 0.0),
            late_fail=prices.get("lateFail", 0.0),
            peer=prices.get("peer", 0.0),
        ),
        tick=seconds(profile.get("round")),
        max_attempts=int(limits["mostTries"]),
        max_retry_after=seconds(limits["maxRetryAfter"]) if limits.get("retryAfter") else None,
        connect_timeout=seconds(limits["connectTimeout"]) if limits.get("connectTimeout") else None,
        may_cancel=bool(limits.get("cancel")),
        may_health_check=bool(limits.get("probing")),
        may_gossip=bool(limits.get("mayTell")),
        may_hedge=bool(limits.get("secondCopies")),
        polls_engine_list=asks,
        clients_mark_retries=bool(profile.get("clients", {}).get("marksRetry")),
        memory_granted=bool(family.get("memoryHeeded")),
        largest_grant=family.get("largestShare") or 1.0,
        overbooked=api.Overbooked(family.get("overbooked") or "wait"),
        priorities=bool(family.get("takesPriority")),
        progress_period=seconds(family["progress"]) if family.get("progress") else None,
        reports_work=bool(family.get("bills")),
        load_report_fields=tuple(REPORTS[c] for c in stats.get("columns", ()) if c in REPORTS)
        if stats.get("via") != "silent"
        else (),
    )


def _names(values: list[str] | None) -> frozenset[str] | None:
    return frozenset(values) if values else None


def report_from(info: Fields | None) -> dict[str, float] | None:
    """A load report under the module's names; fields that it does not know are left out."""
    if not info:
        return None
    return {REPORTS[k]: seconds(v) if k in REPORTS_IN_MS else v for k, v in info.items() if k in REPORTS}


@dataclass(frozen=True, slots=True)
class WireLimits:
    """The limits of connections and open requests; times in seconds."""

    connect_timeout: float
    idle_timeout: float
    multiplex: int
    max_open: int


def wire_limits_from(profile: Fields) -> WireLimits:
    """The limits that only a router on real connections has to keep by itself."""
    limits = profile["limits"]
    return WireLimits(
        connect_timeout=seconds(limits.get("connectTimeout")) or 1.0,
        idle_timeout=seconds(limits.get("connIdle")) or 30.0,
        multiplex=max(1, int(limits.get("multiplex") or 1)),
        max_open=int(limits.get("maxOpen") or 10000),
    )
