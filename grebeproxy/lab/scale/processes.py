"""Child processes that each run one service and answer the parent's calls.

A service is a class with an ``async`` method ``close``; the parent may call all its methods, plain or
``async``, by name. A child ends when its connection to the parent does, so also when the parent is killed.
"""

from __future__ import annotations

import asyncio
import gc
import inspect
import multiprocessing
import signal
from dataclasses import dataclass
from multiprocessing.connection import Connection
from types import TracebackType
from typing import Any, Self

import uvloop

from grebeproxy.errors import GrebeproxyError
from grebeproxy.lab.scale.meter import resident_bytes

GC_THRESHOLDS = (20_000, 20, 50)  # the thresholds that the product sets
CALL_TIMEOUT_S = 120.0
END_TIMEOUT_S = 10.0


class WorkerError(GrebeproxyError):
    """A call failed in the child, or the child has ended or does not answer."""


@dataclass(frozen=True, slots=True)
class Request:
    """One call of a method of the service."""

    method: str
    arguments: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """What the method returned, or the reason why it failed."""

    result: Any = None
    failure: str | None = None


class Worker:
    """The parent's side of one child."""

    def __init__(self, service: type, *arguments: Any) -> None:
        context = multiprocessing.get_context("spawn")
        self._connection, child_connection = context.Pipe()
        self._name = service.__name__
        self._process = context.Process(target=_run, args=(child_connection, service, arguments), daemon=True)
        self._process.start()
        child_connection.close()

    @property
    def pid(self) -> int:
        """The child's process id."""
        return self._process.pid or 0

    def send(self, method: str, *arguments: Any) -> None:
        """Begin a call; ``receive`` returns its result. Raises ``WorkerError``."""
        try:
            self._connection.send(Request(method, arguments))
        except OSError as error:
            raise WorkerError(f"{self._name}: {error}") from None

    def receive(self, timeout_s: float = CALL_TIMEOUT_S) -> Any:
        """Wait for the result of the call that ``send`` began. Raises ``WorkerError``."""
        try:
            if not self._connection.poll(timeout_s):
                raise WorkerError(f"{self._name}: no answer within {timeout_s:g} s")
            reply: Reply = self._connection.recv()
        except (EOFError, OSError):
            raise WorkerError(f"{self._name}: the process has ended") from None
        if reply.failure is not None:
            raise WorkerError(f"{self._name}: {reply.failure}")
        return reply.result

    def call(self, method: str, *arguments: Any, timeout_s: float = CALL_TIMEOUT_S) -> Any:
        """Call a method and wait for its result. Raises ``WorkerError``."""
        self.send(method, *arguments)
        return self.receive(timeout_s)

    def disconnect(self) -> None:
        """Close the connection, which makes the child end."""
        self._connection.close()

    def end(self) -> None:
        """Wait until the child has ended, and kill it if that takes too long."""
        self._process.join(END_TIMEOUT_S)
        if self._process.is_alive():
            self._process.kill()
            self._process.join(END_TIMEOUT_S)
        self._process.close()


class Workers:
    """The children of one run, as a context manager that ends them all."""

    def __init__(self) -> None:
        self._workers: list[Worker] = []

    def __enter__(self) -> Self:
        """Enter the context; no child is started yet."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all children, also if the run failed or was interrupted."""
        workers, self._workers = self._workers, []
        for worker in workers:
            worker.disconnect()
        for worker in workers:
            worker.end()

    def start(self, service: type, *arguments: Any) -> Worker:
        """Start one more child."""
        worker = Worker(service, *arguments)
        self._workers.append(worker)
        return worker

    def resident_bytes(self) -> int:
        """Resident memory of all children together."""
        return sum(resident_bytes(worker.pid) for worker in self._workers)


def call_all(workers: list[Worker], method: str, *arguments: Any) -> list[Any]:
    """Call a method of many children at the same time; returns their results in order."""
    for worker in workers:
        worker.send(method, *arguments)
    return [worker.receive() for worker in workers]


def _run(connection: Connection, service: type, arguments: tuple[Any, ...]) -> None:
    """Answer calls until the parent closes the connection or ends; runs in the child."""
    # A terminal sends SIGINT to all processes in the foreground; here the parent ends its children.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    gc.set_threshold(*GC_THRESHOLDS)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_answer_calls(connection, service, arguments))


async def _answer_calls(connection: Connection, service: type, arguments: tuple[Any, ...]) -> None:
    instance: Any = service(*arguments)
    try:
        while True:
            await _wait_until_readable(connection)
            request: Request = connection.recv()
            connection.send(await _answer(instance, request))
    except (EOFError, OSError):
        pass
    finally:
        await instance.close()


async def _wait_until_readable(connection: Connection) -> None:
    loop = asyncio.get_running_loop()
    readable = asyncio.Event()
    loop.add_reader(connection.fileno(), readable.set)
    try:
        await readable.wait()
    finally:
        loop.remove_reader(connection.fileno())


async def _answer(instance: Any, request: Request) -> Reply:
    try:
        result = getattr(instance, request.method)(*request.arguments)
        if inspect.isawaitable(result):
            result = await result
    except Exception as error:  # Any failure is reported to the parent, which ends the run.
        return Reply(failure=f"{request.method}: {type(error).__name__}: {error}")
    return Reply(result)
