"""The deployment that a run plays: zones, kinds of engines, settings of each router, and the engines."""

from __future__ import annotations

import copy
import socket
from dataclasses import dataclass
from typing import Any

from grebeproxy.net import changelog
from grebeproxy.policy.interface import Settings
from grebeproxy.settings import settings_from

Address = tuple[str, int]

ZONES = tuple(f"zone-{number}" for number in range(1, 7))
KINDS = ("typ-a", "typ-b")
CLASSES = ("lookup", "report", "load")
TENANT = "city"
UP, DRAINING, GONE = range(3)  # the states of a record on the wire
WEIGHT = 1000  # a weight of 1 on the wire

_SETTINGS: dict[str, Any] = {
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
    """One engine as the change log tells of it."""

    number: int
    address: Address
    state: int = UP

    def pack(self) -> bytes:
        """The record's bytes."""
        host = int.from_bytes(socket.inet_aton(self.address[0]), "big")
        zone, kind = self.number % len(ZONES), self.number // len(ZONES) % len(KINDS)
        return changelog.RECORD.pack(self.number, host, self.address[1], self.state, zone, kind, 0, WEIGHT, 0)


def settings_json(routers: int, index: int) -> dict[str, Any]:
    """The settings of one router of so many, as its configuration file holds them."""
    fields = copy.deepcopy(_SETTINGS)
    fields["balancers"], fields["me"], fields["zone"] = routers, index, ZONES[index % len(ZONES)]
    return fields


def settings(routers: int, index: int) -> Settings:
    """The same as the decision module takes them."""
    return settings_from(settings_json(routers, index))


def engine_addresses(count: int) -> list[Address]:
    """Made-up addresses for engines that nobody connects to."""
    return [
        (f"127.{40 + number // 62500}.{number // 250 % 250}.{number % 250 + 1}", 9) for number in range(count)
    ]


def loopback_host(group: int, index: int) -> str:
    """An address of 127.0.0.0/8; a group of sockets has 62,500 of its own."""
    return f"127.{group}.{index // 250 % 250}.{index % 250 + 1}"
