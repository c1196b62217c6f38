"""The deployment that a run simulates: zones, kinds of engines, router settings, engine records."""

from __future__ import annotations

import copy
import socket
from dataclasses import dataclass
from typing import Any

from grebeproxy.lab.scale.addresses import Address
from grebeproxy.net import changelog
from grebeproxy.policy.interface import Settings
from grebeproxy.settings import settings_from

SettingsDocument = dict[str, Any]  # the ``settings`` object of a router's configuration file

ZONES = tuple(f"zone-{number}" for number in range(1, 7))
KINDS = ("typ-a", "typ-b")
TENANT = "city"
UP, DRAINING, GONE = range(3)  # states of an engine record on the wire
FULL_WEIGHT = 1000  # a weight of 1 on the wire
SAME_CELL, START_UNKNOWN = 0, 0  # values of fields of an engine record on the wire

_SETTINGS: SettingsDocument = {
    "balancers": 1,
    "categories": [
        {
            "aim": 500.0,
            "aimStretch": 1.5,
            "deadline": 2500.0,
            "effect": "retryable",
            "group": "all",
            "importance": 1.0,
            "lateShare": 0.0,
            "name": "lookup",
            "stream": False,
            "window": 5000.0,
        },
        {
            "aim": 2000.0,
            "aimStretch": 2.5,
            "deadline": 20000.0,
            "effect": "retryable",
            "group": "all",
            "importance": 10.0,
            "lateShare": 0.4,
            "name": "report",
            "stream": False,
            "window": 5000.0,
        },
        {
            "aim": 4000.0,
            "aimStretch": 2.5,
            "deadline": 20000.0,
            "effect": "dedup",
            "group": "all",
            "importance": 12.0,
            "inTurn": True,
            "lateShare": 0.6,
            "name": "load",
            "stream": False,
            "window": 12000.0,
        },
    ],
    "clients": {"marksRetry": True},
    "familyInfo": {
        "bills": False,
        "cpuOfKind": [8, 8],
        "dop": [1, 3, 2],
        "holdsTables": [False, False, True],
        "kindMemoryMb": [16384.0, 16384.0],
        "largestShare": 0.4,
        "memoryHeeded": True,
        "overbooked": "page",
        "progress": 0.0,
        "takesPriority": False,
        "yieldsToLoads": [True, False, False],
    },
    "kinds": list(KINDS),
    "limits": {
        "cancel": True,
        "connIdle": 30000.0,
        "connectTimeout": 250.0,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 400000,
        "maxOpen": 20000,
        "maxRetryAfter": 500.0,
        "mayTell": False,
        "mostTries": 4,
        "multiplex": 100,
        "probing": False,
        "retryAfter": True,
        "secondCopies": False,
    },
    "me": 0,
    "obligations": {
        "answerSlack": 20.0,
        "askWithin": 10000.0,
        "coldFrom": 0.31,
        "keyQuiet": 0.0,
        "overloadFactor": 4.0,
        "overloadFor": 3000.0,
        "rampTime": 14000.0,
        "stopSendingWithin": 2000.0,
    },
    "orgs": [{"allowancePerS": 1_000_000.0, "name": TENANT, "share": 1.0}],
    "overShareWorth": 0.2,
    "registryMode": "push",
    "round": 5.0,
    "stats": {"columns": ["cpu_share", "pending", "x0"], "via": "piggyback"},
    "zone": ZONES[0],
    "zones": list(ZONES),
}


@dataclass(frozen=True, slots=True)
class EngineRecord:
    """One engine, as the change log lists it."""

    number: int
    address: Address
    state: int = UP
    started_ms: int = START_UNKNOWN  # Unix time at which the engine started, if known

    def pack(self) -> bytes:
        """The record on the wire; zones and kinds alternate by the engine's number."""
        host, port = self.address
        host_number = int.from_bytes(socket.inet_aton(host), "big")
        zone = self.number % len(ZONES)
        kind = self.number // len(ZONES) % len(KINDS)
        return changelog.RECORD.pack(
            self.number, host_number, port, self.state, zone, kind, SAME_CELL, FULL_WEIGHT, self.started_ms
        )


def settings_document(routers: int, index: int) -> SettingsDocument:
    """The settings of router ``index`` of ``routers``, as its configuration file holds them."""
    document = copy.deepcopy(_SETTINGS)
    document["balancers"] = routers
    document["me"] = index
    document["zone"] = ZONES[index % len(ZONES)]
    return document


def settings(routers: int, index: int) -> Settings:
    """The settings of router ``index`` of ``routers``, parsed for the decision module."""
    return settings_from(settings_document(routers, index))
