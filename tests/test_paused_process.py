"""A process that stands still between reading its sockets and acting on what it has read.

What happens: the process is stopped (SIGSTOP, a busy machine) after it has read some sockets and before the
step that acts on them. Meanwhile other input arrives. The step then ran on the time after the pause but on
input from before it: it sent the request of a client that had left, and closed a connection whose request
waited unread. Cause: ``Runtime.feed`` scheduled the step for the next turn of the loop, however long that
turn took to come. These tests showed it: the engine received the statement of request 2, and client 2 had the
end of its connection for an answer.
"""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Callable, Iterator

import pytest
from stage import Stage, answer, answers_in, ask, give_up, waiting

PAUSE = 0.2  # seconds; longer than a request may still be sent after its client has left
IDLE = 0.3  # seconds without a request
LONG_PAUSE = 1.0  # seconds
KILLED_AFTER = 3.7  # seconds from SIGTERM, where deadlines are longer
FIRST_REQUEST_PAUSE = 2.1  # seconds; longer than a connection may take to send its first request


@pytest.fixture
def stage() -> Iterator[Stage]:
    stage = Stage()
    yield stage
    stage.end()


def pause_before_next_step(stage: Stage, seconds: float, meanwhile: Callable[[], None]) -> None:
    """The next time that something was read, stop for a while before acting on it."""
    timers = stage.runtime.timers
    call_soon = timers.call_soon

    def paused(call: Callable[[], None]) -> None:
        timers.call_soon = call_soon  # type: ignore[method-assign]

        def after_pause() -> None:
            meanwhile()
            time.sleep(seconds)
            call()

        call_soon(after_pause)

    timers.call_soon = paused  # type: ignore[method-assign]


def test_a_request_whose_client_left_during_a_pause_is_not_sent(stage: Stage) -> None:
    client = stage.client()
    client.sendall(ask(1))
    engine = stage.engine()
    stage.run()
    engine.sendall(answer(1))
    stage.until(lambda: answers_in(waiting(client)))
    assert b"SELECT" in waiting(engine)

    pause_before_next_step(stage, PAUSE, lambda: client.sendall(give_up(2)))
    client.sendall(ask(2))
    stage.run(0.1)
    assert b"SELECT" not in waiting(engine)
    client.sendall(ask(3))
    stage.run(0.1)
    assert b"SELECT" in waiting(engine)  # the connection still serves


@pytest.mark.parametrize("reset", [False, True])
def test_a_request_that_its_client_left_behind_during_a_pause_is_not_sent(stage: Stage, reset: bool) -> None:
    """Found by the soak (seed 50): the request was read, and sent before the end behind it was read."""
    staying, leaving = stage.client(), stage.client()
    for number, client in ((1, staying), (2, leaving)):
        client.sendall(ask(number))
    engines = [stage.engine(number) for number in range(len(stage.engines))]  # one request is sent to each
    stage.run()
    for engine in engines:
        engine.sendall(answer(2 if b"%016x" % 2 in waiting(engine) else 1))
    stage.until(lambda: answers_in(waiting(leaving)))
    stage.run(IDLE)

    leaving.sendall(ask(3))
    if reset:
        leaving.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    leaving.close()
    time.sleep(PAUSE)
    stage.run(0.1)
    assert not any(b"%016x" % 3 in waiting(engine) for engine in engines)
    staying.sendall(ask(4))
    stage.run(0.1)
    assert any(b"%016x" % 4 in waiting(engine) for engine in engines)  # the connections still serve


def test_a_first_request_that_waits_unread_during_a_pause_keeps_its_connection(stage: Stage) -> None:
    busy, late = stage.client(), stage.client()
    stage.run()
    pause_before_next_step(stage, FIRST_REQUEST_PAUSE, lambda: late.sendall(ask(2)))
    busy.sendall(ask(1, "report", limit="20000"))
    engines = [stage.engine(number) for number in range(len(stage.engines))]  # one request is sent to each
    stage.run(0.1)
    for engine in engines:
        engine.sendall(answer(2 if b"%016x" % 2 in waiting(engine) else 1))
    stage.run(0.1)
    assert [number for _, number, error, _ in answers_in(waiting(late)) if error is None] == [2]


def test_a_stop_that_came_during_a_pause_counts_from_before_it(stage: Stage) -> None:
    """SIGTERM reaches a stopped process, whose clients go on; SIGKILL comes 3.7 s after SIGTERM was sent.

    The router counted from when it handled the signal, so it would have answered the report, whose deadline
    is 20 s, only after SIGKILL.
    """
    client = stage.client()
    client.sendall(ask(1, "report", limit="20000"))
    stage.engine()  # which hangs
    stage.run()
    terminated_at = time.monotonic()
    time.sleep(LONG_PAUSE)
    stage.terminate()
    stage.until(lambda: answers_in(waiting(client)), seconds=LONG_PAUSE + KILLED_AFTER)
    assert time.monotonic() < terminated_at + KILLED_AFTER


def test_a_stop_without_a_pause_leaves_clients_their_time(stage: Stage) -> None:
    client = stage.client()
    client.sendall(ask(1, "report", limit="20000"))
    engine = stage.engine()
    stage.run()
    stage.terminate()
    stage.run(KILLED_AFTER - 0.4)
    assert not waiting(client)
    engine.sendall(answer(1))
    stage.until(lambda: answers_in(waiting(client)))
