"""The router as a process: signals, the garbage collector, and the event loop."""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Callable
from typing import Protocol

import uvloop

from grebeproxy import signals
from grebeproxy.config import Config
from grebeproxy.net.runtime import Runtime

GC_THRESHOLDS = (20_000, 20, 50)  # for the three generations: few collections, as each stalls the loop


class BackgroundService(Protocol):
    """What a program runs beside its router, on the same loop."""

    async def start(self) -> None:
        """Called before the router starts. Raises ``OSError`` for an address that cannot be bound."""

    async def stop(self) -> None:
        """Called once the router has ended."""


def run(
    config: Config, read: Callable[[], Config], make_service: Callable[[], BackgroundService] | None = None
) -> None:
    """Serve on uvloop until SIGTERM or SIGINT; SIGHUP reads the configuration again with ``read``.

    Raises ``OSError`` for an address that cannot be bound.
    """
    uvloop.run(_serve(config, read, make_service))


async def _serve(
    config: Config, read: Callable[[], Config], make_service: Callable[[], BackgroundService] | None
) -> None:
    service = make_service() if make_service is not None else None
    if service is not None:
        await service.start()
    runtime = Runtime(config)
    _handle_signals(runtime, read)
    _tune_garbage_collector()
    await runtime.serve()
    if service is not None:
        await service.stop()


def _handle_signals(runtime: Runtime, read: Callable[[], Config]) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, runtime.terminate)
    loop.add_signal_handler(signal.SIGHUP, runtime.reload, read)
    signals.release()


def _tune_garbage_collector() -> None:
    """Collect rarely, and never look again at what the start has made.

    A collection stalls the loop, and requests that came meanwhile would be read late.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
