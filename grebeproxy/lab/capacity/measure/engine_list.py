"""Bytes, CPU and memory that a router spends on the engine list: on a full list and on changes."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Iterable

from grebeproxy.lab.capacity.measure.engines import list_frame
from grebeproxy.lab.capacity.measure.router_settings import profile, settings
from grebeproxy.lab.record import KIBIBYTE, Point
from grebeproxy.net import admission
from grebeproxy.net.changelog import CHANGES, FULL, HEAD, Decoder
from grebeproxy.net.events import ChangeLogOpened, ChangeLogReceived
from grebeproxy.net.messages import ChangeLogUpdate
from grebeproxy.net.router import Router, RouterOptions
from grebeproxy.policy import interface as api
from grebeproxy.settings import wire_limits_from

ENGINES = (80, 200, 400, 800, 1600, 3200)
ROUTERS = 2400
RUNS = 3
CHANGES_PER_RUN = 20  # each change is of one engine; the CPU of a change is their mean
PORT = 9001
STARTED_MS = 5_000_000  # start time of the first changed engine
MAX_SOCKETS = 1024
MEMORY_MB = 192.0
START_TIME = 1.0  # seconds on the simulated clock
LIST_TIME = 10.0  # when the router receives the full list
CHANGES_TIME = 11.0  # when the first change arrives; one more follows each second


def measure(engines: Iterable[int] = ENGINES, seed: int = 1) -> list[Point]:
    """Return one point for each number of engines; CPU is the minimum of several runs."""
    return [_point(count, seed) for count in engines]


def _point(engines: int, seed: int) -> Point:
    runs = [_run(engines, seed) for _ in range(RUNS)]
    values = {name: min(run[name] for run in runs) for name in runs[0]}
    values["memory_kb_each"] = _memory_bytes(engines, seed) / engines / KIBIBYTE
    return Point({"engines": engines, "routers": ROUTERS}, values)


def _run(engines: int, seed: int) -> dict[str, float]:
    """Measure bytes and CPU milliseconds of a full list and of later changes of one engine."""
    full = list_frame(range(engines), PORT, seq=1, kind=FULL)
    changes = [
        list_frame(range(engine, engine + 1), PORT, 2 + number, CHANGES, STARTED_MS + number)
        for number, engine in enumerate(_changed_engines(engines))
    ]
    router = _router(seed)
    decoder = Decoder(settings(ROUTERS), _seconds)
    started_at = time.process_time()
    updates = list(decoder.feed(full))
    decoded_at = time.process_time()
    _apply(router, LIST_TIME, updates)
    applied_at = time.process_time()
    for number, change in enumerate(changes):
        _apply(router, CHANGES_TIME + number, list(decoder.feed(change)))
    changed_at = time.process_time()
    return {
        "whole_bytes": len(full),
        "change_bytes": len(changes[0]),
        "entry_bytes": (len(full) - HEAD.size) / engines,
        "decode_ms": (decoded_at - started_at) * 1000,
        "take_in_ms": (applied_at - decoded_at) * 1000,
        "whole_ms": (applied_at - started_at) * 1000,
        "change_ms": (changed_at - applied_at) / len(changes) * 1000,
    }


def _changed_engines(engines: int) -> list[int]:
    """Choose engines spread over the list, one for each change."""
    return [number * engines // CHANGES_PER_RUN for number in range(CHANGES_PER_RUN)]


def _memory_bytes(engines: int, seed: int) -> float:
    """Return the bytes that a router allocates for a full list, as ``tracemalloc`` counts them."""
    router = _router(seed)
    decoder = Decoder(settings(ROUTERS), _seconds)
    full = list_frame(range(engines), PORT, seq=1, kind=FULL)
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        _apply(router, LIST_TIME, list(decoder.feed(full)))
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before


def _router(seed: int) -> Router:
    """Create a router whose connection to the change log is open."""
    options = RouterOptions(
        settings(ROUTERS),
        wire_limits_from(profile(ROUTERS)),
        changelog=("127.0.0.1", PORT),
        bounds=admission.bounds(MAX_SOCKETS, MEMORY_MB),
        seed=seed,
    )
    router = Router(options, now=START_TIME)
    router.start(START_TIME)
    router.step(START_TIME, [ChangeLogOpened(1)])
    return router


def _apply(router: Router, now: float, updates: list[ChangeLogUpdate]) -> None:
    """Pass updates to the router; their changes must all be engine lists."""
    router.step(now, [ChangeLogReceived(update) for update in updates])
    assert all(update.change is None or isinstance(update.change, api.EngineList) for update in updates)


def _seconds(unix_ms: int) -> float:
    return unix_ms / 1000
