"""The engine list in a router: bytes, CPU to take it in, and memory of an entry, whole and as changes."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Iterable

from grebeproxy.lab.capacity.measure.workload import list_frame, profile, settings
from grebeproxy.lab.record import Point
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
CHANGED = 20  # changes of one engine, of which the mean is taken
PORT = 9001
STARTED_MS = 5_000_000


def measure(engines: Iterable[int] = ENGINES, seed: int = 1) -> list[Point]:
    """One point for each number of engines; CPU is the least of several runs."""
    return [_point(count, seed) for count in engines]


def _point(engines: int, seed: int) -> Point:
    runs = [_run(engines, seed) for _ in range(RUNS)]
    values = {name: min(run[name] for run in runs) for name in runs[0]}
    values["memory_kb_each"] = _memory_bytes(engines, seed) / engines / 1024
    return Point({"engines": engines, "routers": ROUTERS}, values)


def _run(engines: int, seed: int) -> dict[str, float]:
    """Bytes and milliseconds of one full list and of a change of one engine behind it."""
    whole = list_frame(range(engines), PORT, seq=1, kind=FULL)
    changes = [
        list_frame(range(number, number + 1), PORT, 2 + at, CHANGES, STARTED_MS + at)
        for at, number in enumerate(_spread(engines))
    ]
    router, decoder = _router(seed), Decoder(settings(ROUTERS), _seconds)
    began = time.process_time()
    news = list(decoder.feed(whole))
    decoded = time.process_time()
    _take(router, 10.0, news)
    taken = time.process_time()
    for at, change in enumerate(changes):
        _take(router, 11.0 + at, list(decoder.feed(change)))
    changed = time.process_time()
    return {
        "whole_bytes": len(whole),
        "change_bytes": len(changes[0]),
        "entry_bytes": (len(whole) - HEAD.size) / engines,
        "decode_ms": (decoded - began) * 1000,
        "take_in_ms": (taken - decoded) * 1000,
        "whole_ms": (taken - began) * 1000,
        "change_ms": (changed - taken) / len(changes) * 1000,
    }


def _spread(engines: int) -> list[int]:
    """Engines over the whole list, one for each change."""
    return [at * engines // CHANGED for at in range(CHANGED)]


def _memory_bytes(engines: int, seed: int) -> float:
    """What a router keeps of a full list, as the allocator counts it."""
    router, decoder = _router(seed), Decoder(settings(ROUTERS), _seconds)
    whole = list_frame(range(engines), PORT, seq=1, kind=FULL)
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        _take(router, 10.0, list(decoder.feed(whole)))
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before


def _router(seed: int) -> Router:
    """A router whose connection to the change log is up."""
    options = RouterOptions(
        settings(ROUTERS),
        wire_limits_from(profile(ROUTERS)),
        changelog=("127.0.0.1", PORT),
        bounds=admission.bounds(1024, 192.0),
        seed=seed,
    )
    router = Router(options, now=1.0)
    router.start(1.0)
    router.step(1.0, [ChangeLogOpened(1)])
    return router


def _take(router: Router, now: float, news: list[ChangeLogUpdate]) -> None:
    """Tell the router, and let it decide by what it was told."""
    router.step(now, [ChangeLogReceived(one) for one in news])
    assert all(one.change is None or isinstance(one.change, api.EngineList) for one in news)


def _seconds(unix_ms: int) -> float:
    return unix_ms / 1000
