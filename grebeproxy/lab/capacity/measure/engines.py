"""The engines of a measured fleet: names, addresses, and engine lists in each format that a router reads."""

from __future__ import annotations

import struct
from typing import TypedDict

from grebeproxy.net.changelog import FULL, HEAD, RECORD
from grebeproxy.net.engine_id import engine_id_from_number
from grebeproxy.policy import interface as api

ZONES = tuple(f"room-{number}" for number in range(1, 7))
CELLS = 16
KINDS = ("typ-a", "typ-b")
FIRST_HOST = 0x7F010001  # 127.1.0.1, the first engine's address; each engine has its own
FULL_WEIGHT = 1000  # in thousandths, as a record of the change log has it
LENGTH_BYTES = 4  # size of a frame's length field, which does not count itself


class KnownEngine(TypedDict):
    """One engine in a router's configuration."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str
    weight: int
    since_ms: int


class EngineSnapshot(TypedDict):
    """All engines at one sequence number."""

    snapshot: bool
    endpoints: list[KnownEngine]


class KnownResult(TypedDict):
    """One event of the ``known`` field: a full list under the key ``fleet``."""

    seq: int
    fleet: EngineSnapshot


class KnownEngines(TypedDict):
    """The ``known`` field of a router's configuration."""

    seq: int
    results: list[KnownResult]


def engine_host(number: int) -> str:
    """Return the loopback address of an engine."""
    return ".".join(str(byte) for byte in struct.pack(">I", FIRST_HOST + number))


def engine_entries(count: int) -> tuple[api.Engine, ...]:
    """Return warm engines, spread over all zones and kinds, as the decision module receives them."""
    return tuple(
        api.Engine(
            engine_id_from_number(number),
            KINDS[number % len(KINDS)],
            ZONES[number % len(ZONES)],
            number % CELLS,
        )
        for number in range(count)
    )


def known_engines(count: int, port: int) -> KnownEngines:
    """Return a full list as the ``known`` field of a router's configuration."""
    endpoints: list[KnownEngine] = [
        {
            "name": engine_id_from_number(number),
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
    return {"seq": 1, "results": [{"seq": 1, "fleet": {"snapshot": True, "endpoints": endpoints}}]}


def list_frame(numbers: range, port: int, seq: int, kind: int = FULL, started_ms: int = 0) -> bytes:
    """Encode a frame of the change log with one record for each engine."""
    records = b"".join(
        RECORD.pack(
            number,
            FIRST_HOST + number,
            port,
            0,
            number % len(ZONES),
            number % len(KINDS),
            number % CELLS,
            FULL_WEIGHT,
            started_ms,
        )
        for number in numbers
    )
    return HEAD.pack(HEAD.size - LENGTH_BYTES + len(records), seq, kind) + records
