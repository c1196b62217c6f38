"""Realistic router settings, which all measurements use."""

from __future__ import annotations

from typing import Any

from grebeproxy.lab.capacity.measure.engines import KINDS, ZONES
from grebeproxy.policy import interface as api
from grebeproxy.settings import settings_from

CORES = 8  # of each engine

Fields = dict[str, Any]  # settings as JSON; ``settings_from`` checks the types

IN_ORDER: Fields = {"effect": "dedup", "inTurn": True}  # loads have idempotency keys and run in order by key


def profile(routers: int, index: int = 0) -> Fields:
    """Return one router's settings as JSON fields, in a deployment file's form; durations in milliseconds."""
    return {
        "balancers": routers,
        "me": index,
        "zone": ZONES[index % len(ZONES)],
        "zones": list(ZONES),
        "kinds": list(KINDS),
        "round": 5.0,
        "registryMode": "push",
        "overShareWorth": 0.2,
        "categories": [
            _category("lookup", aim=500.0, deadline=2500.0, importance=1.0),
            _category("report", aim=2000.0, deadline=20000.0, importance=10.0, lateShare=0.4),
            _category("load", aim=4000.0, deadline=20000.0, importance=12.0, lateShare=0.6, **IN_ORDER),
        ],
        "clients": {"marksRetry": True},
        "familyInfo": {
            "bills": False,
            "cpuOfKind": [CORES, CORES],
            "dop": [1, 3, 2],
            "holdsTables": [False, False, True],
            "kindMemoryMb": [16384.0, 16384.0],
            "largestShare": 0.4,
            "memoryHeeded": True,
            "overbooked": "page",
            "yieldsToLoads": [True, False, False],
        },
        "limits": {
            "cancel": True,
            "connIdle": 30000.0,
            "connectTimeout": 250.0,
            "maxOpen": 20000,
            "maxRetryAfter": 500.0,
            "mostTries": 4,
            "multiplex": 100,
            "retryAfter": True,
        },
        "obligations": {
            "answerSlack": 20.0,
            "coldFrom": 0.31,
            "overloadFactor": 4.0,
            "overloadFor": 3000.0,
            "rampTime": 14000.0,
            "stopSendingWithin": 2000.0,
        },
        "orgs": [
            {"allowancePerS": 3000.0 * routers, "name": "city", "share": 0.6},
            {"allowancePerS": 2000.0 * routers, "name": "county", "share": 0.4},
        ],
        "stats": {"columns": ["cpu_share", "pending", "x0"], "via": "piggyback"},
    }


def _category(
    name: str, aim: float, deadline: float, importance: float, **more: float | str | bool
) -> Fields:
    category = {"name": name, "aim": aim, "deadline": deadline, "importance": importance}
    defaults = {"aimStretch": 2.0, "effect": "retryable", "group": "all", "lateShare": 0.0, "window": 5000.0}
    return {**defaults, **category, **more}


def settings(routers: int, index: int = 0) -> api.Settings:
    """Return the settings of ``profile`` as the decision module receives them."""
    return settings_from(profile(routers, index))
