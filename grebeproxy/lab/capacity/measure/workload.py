"""The fleet and the statements that the measurements use: one realistic set of settings and classes."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import Any

import msgpack

from grebeproxy.net.changelog import FULL, HEAD, RECORD
from grebeproxy.policy import interface as api
from grebeproxy.settings import settings_from

ZONES = tuple(f"room-{number}" for number in range(1, 7))
CELLS = 16
CORES = 8
KINDS = ("typ-a", "typ-b")
DATA_SETS = 200
IN_TURN = {"effect": "dedup", "inTurn": True}  # loads: under a token, and one after the other for each key
TARGET_ENGINES, TARGET_ROUTERS, TARGET_RATE = 3200, 2400, 2083.0  # the rate is of one router, a second
FIRST_HOST = 0x7F010001  # 127.1.0.1: each engine has a loopback address of its own, so one socket hears all


@dataclass(frozen=True, slots=True)
class StatementClass:
    """One class of the mix: its share, a statement's engine time and its clients' patience in seconds."""

    name: str
    share: float
    work: float
    deadline: float


# Together 3.6 ms of an engine's core, two thirds of what 2,083 statements a second leave at the target.
MIX = (
    StatementClass("lookup", 0.80, 0.0015, 2.5),
    StatementClass("report", 0.15, 0.012, 20.0),
    StatementClass("load", 0.05, 0.012, 20.0),
)


def profile(routers: int, index: int = 0) -> dict[str, Any]:
    """Settings of one router as the deployment tells them, as JSON fields in milliseconds."""
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
            _category("load", aim=4000.0, deadline=20000.0, importance=12.0, lateShare=0.6, **IN_TURN),
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


def _category(name: str, aim: float, deadline: float, importance: float, **more: Any) -> dict[str, Any]:
    category = {"name": name, "aim": aim, "deadline": deadline, "importance": importance}
    usual = {"aimStretch": 2.0, "effect": "retryable", "group": "all", "lateShare": 0.0, "window": 5000.0}
    return {**usual, **category, **more}


def settings(routers: int, index: int = 0) -> api.Settings:
    """The same as the decision module takes them."""
    return settings_from(profile(routers, index))


def engine_name(number: int) -> str:
    """The name that the change log's codec gives an engine."""
    return f"s-{number:08x}"


def engine_host(number: int) -> str:
    """The loopback address of an engine."""
    return ".".join(str(byte) for byte in struct.pack(">I", FIRST_HOST + number))


def engine_entries(count: int) -> tuple[api.Engine, ...]:
    """Warm engines over all zones and kinds, as the decision module takes them."""
    return tuple(
        api.Engine(
            engine_name(number), KINDS[number % len(KINDS)], ZONES[number % len(ZONES)], number % CELLS
        )
        for number in range(count)
    )


def known(count: int, port: int) -> dict[str, Any]:
    """A full list as the ``known`` field of a router's configuration."""
    entries = [
        {
            "name": engine_name(number),
            "address": f"{engine_host(number)}:{port}",
            "zone": ZONES[number % len(ZONES)],
            "type": KINDS[number % len(KINDS)],
            "group": number % CELLS,
            "status": "Ready",
            "weight": 1,
            "since_ms": 0,
        }
        for number in range(count)
    ]
    return {"seq": 1, "results": [{"seq": 1, "fleet": {"snapshot": True, "endpoints": entries}}]}


def list_frame(numbers: range, port: int, seq: int, kind: int = FULL, started_ms: int = 0) -> bytes:
    """A frame of the change log with one record for each engine."""
    records = b"".join(
        RECORD.pack(
            number,
            FIRST_HOST + number,
            port,
            0,
            number % len(ZONES),
            number % len(KINDS),
            number % CELLS,
            1000,
            started_ms,
        )
        for number in numbers
    )
    return HEAD.pack(HEAD.size - 4 + len(records), seq, kind) + records


def rate_of(engines: int, routers: int) -> float:
    """Statements a second of one router that load the engines as much as the target's fleet loads its own."""
    return TARGET_RATE * min(1.0, engines * TARGET_ROUTERS / (routers * TARGET_ENGINES))


class Statements:
    """Requests of the mix, as clients send them and as the decision module takes them."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._count = 0

    def next_class(self) -> StatementClass:
        """One draw from the mix."""
        return self._random.choices(MIX, [cls.share for cls in MIX])[0]

    def request(self, msg: int) -> bytes:
        """A client's request in MessagePack-RPC."""
        cls = self.next_class()
        self._count += 1
        fields = {
            "txn": f"{self._random.getrandbits(64):016x}",
            "limit": f"{cls.deadline * 1000:.0f}",
            "team": self._random.choice(("city", "county")),
            "cpu": f"{cls.work * 1000:.1f}",
            "mb": "64",
        }
        if cls.name == "load":
            fields |= {"unique": f"{self._count:032x}", "item": f"{self._random.randrange(10_000):016x}"}
        body = f"SELECT n, name FROM ops_{self._random.randrange(DATA_SETS)}.t WHERE n > {self._count}"
        packed: bytes = msgpack.packb([0, msg, cls.name, [fields, body.encode()]])
        return packed

    def queries(self, start: float, rate: float) -> Iterator[tuple[float, api.Query]]:
        """Arrival times and queries, evenly spaced."""
        while True:
            self._count += 1
            at, cls = start + self._count / rate, self.next_class()
            yield (
                at,
                api.Query(
                    f"{self._count:016x}",
                    cls.name,
                    at + cls.deadline,
                    tenant=self._random.choice(("city", "county")),
                    key=f"{self._random.randrange(10_000):016x}" if cls.name == "load" else None,
                    data_set=self._random.randrange(DATA_SETS),
                    work=cls.work,
                    memory_mb=64.0,
                ),
            )
