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

GC_THRESHOLDS = (20_000, 20, 50)  # by generation; collections are rare because each one stalls the loop


class BackgroundService(Protocol):
    """A service that the program runs beside its router, on the same event loop."""

    async def start(self) -> None:
        """Start before the router. Raises ``OSError`` for an address that cannot be bound."""

    async def stop(self) -> None:
        """Stop after the router has ended."""


def run(
    config: Config,
    read_config: Callable[[], Config],
    make_service: Callable[[], BackgroundService] | None = None,
) -> None:
    """Serve on uvloop until SIGTERM or SIGINT; SIGHUP reloads the configuration with ``read_config``.

    Raises ``OSError`` for an address that cannot be bound.
    """
    uvloop.run(_serve(config, read_config, make_service))


async def _serve(
    config: Config, read_config: Callable[[], Config], make_service: Callable[[], BackgroundService] | None
) -> None:
    service = make_service() if make_service is not None else None
    if service is not None:
        await service.start()
    runtime = Runtime(config)
    _handle_signals(runtime, read_config)
    _tune_garbage_collector()
    await runtime.serve()
    if service is not None:
        await service.stop()


def _handle_signals(runtime: Runtime, read_config: Callable[[], Config]) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, runtime.terminate)
    loop.add_signal_handler(signal.SIGHUP, runtime.reload, read_config)
    signals.unblock()


def _tune_garbage_collector() -> None:
    """Collect garbage rarely, and exclude the objects that the start created from later collections.

    A collection stalls the event loop, so that requests that arrive during it are read late.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
