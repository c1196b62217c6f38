"""The statements that the measurements send: a mix of classes, as request bytes or as queries."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

import hiredis
import msgpack

from grebeproxy.policy import interface as api

DATA_SETS = 200
KEYS = 10_000  # number of order keys of loads
TENANTS = ("city", "county")
MEMORY_MB = 64  # of each statement
TARGET_ENGINES = 3200
TARGET_ROUTERS = 2400
TARGET_RATE = 2083.0  # statements per second of one router at the target size
RESULT_PAGE = b"1\trow 1\tmade up\n2\trow 2\tmade up\n3\trow 3\tmade up\n" * 8
LOAD_REPORT = "count=1,gauges=cpu_share:0.1;pending:0;x0:0.05"  # gauges that an engine adds to its answer


@dataclass(frozen=True, slots=True)
class StatementClass:
    """One query class of the mix: its fraction of the statements, with work and deadline in seconds."""

    name: str
    fraction: float
    work: float
    deadline: float


# A statement takes 3.6 ms of an engine's core on average. That is two thirds of the core time available per
# statement at the target size, with 2,083 statements per second at each router.
MIX = (
    StatementClass("lookup", 0.80, 0.0015, 2.5),
    StatementClass("report", 0.15, 0.012, 20.0),
    StatementClass("load", 0.05, 0.012, 20.0),
)


class Arrival(NamedTuple):
    """A query and the clock time in seconds at which it arrives."""

    time: float
    query: api.Query


def pack_words(*words: str | bytes) -> bytes:
    """Encode an engine's answer in RESP."""
    # The type stubs of hiredis allow only tuples of one word.
    packed: bytes = hiredis.pack_command(words)  # type: ignore[arg-type]
    return packed


def rate_of(engines: int, routers: int) -> float:
    """Return the statements per second of one router that load the engines as at the target size.

    The rate is at most ``TARGET_RATE``.
    """
    return TARGET_RATE * min(1.0, engines * TARGET_ROUTERS / (routers * TARGET_ENGINES))


class Statements:
    """Random statements of the mix, as clients send them and as the decision module receives them."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._count = 0

    def next_class(self) -> StatementClass:
        """Choose a class at random, by the fractions of the mix."""
        return self._random.choices(MIX, [cls.fraction for cls in MIX])[0]

    def request(self, message_id: int) -> bytes:
        """Encode a client's request in MessagePack-RPC."""
        cls = self.next_class()
        self._count += 1
        fields = {
            "txn": f"{self._random.getrandbits(64):016x}",
            "limit": f"{cls.deadline * 1000:.0f}",
            "team": self._random.choice(TENANTS),
            "cpu": f"{cls.work * 1000:.1f}",
            "mb": f"{MEMORY_MB}",
        }
        if cls.name == "load":
            fields |= {"unique": f"{self._count:032x}", "item": f"{self._random.randrange(KEYS):016x}"}
        body = f"SELECT n, name FROM ops_{self._random.randrange(DATA_SETS)}.t WHERE n > {self._count}"
        packed: bytes = msgpack.packb([0, message_id, cls.name, [fields, body.encode()]])
        return packed

    def queries(self, start: float, rate: float) -> Iterator[Arrival]:
        """Yield queries without end, with evenly spaced arrival times."""
        while True:
            self._count += 1
            time = start + self._count / rate
            cls = self.next_class()
            query = api.Query(
                f"{self._count:016x}",
                cls.name,
                time + cls.deadline,
                tenant=self._random.choice(TENANTS),
                key=f"{self._random.randrange(KEYS):016x}" if cls.name == "load" else None,
                data_set=self._random.randrange(DATA_SETS),
                work=cls.work,
                memory_mb=float(MEMORY_MB),
            )
            yield Arrival(time, query)
