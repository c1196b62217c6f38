"""A process that stands still between reading its sockets and acting on what it has read.

The tests guard against this failure: the process is stopped (SIGSTOP, a busy machine) after it has read some
sockets and before the step that acts on them, and other input arrives meanwhile. The step then uses the time
after the pause, but only input from before it. It sends the request of a client that has left, and closes a
connection whose request waits unread. The cause was that ``Runtime.feed`` scheduled the step for the next
turn of the loop, however long that turn took to come.
"""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Callable, Iterator

import pytest
from stepped_router import (
    SteppedRouter,
    decode_answers,
    encode_answer,
    encode_cancellation,
    encode_request,
    read_available,
)

PAUSE = 0.2  # seconds, more than the time for which a request may be sent after its client has left
IDLE = 0.3  # seconds without a request
LONG_PAUSE = 1.0  # seconds
KILLED_AFTER = 3.7  # seconds from SIGTERM to SIGKILL, if deadlines are longer
FIRST_REQUEST_PAUSE = 2.1  # seconds, more than a connection may take to send its first request


@pytest.fixture
def router() -> Iterator[SteppedRouter]:
    router = SteppedRouter()
    yield router
    router.close()


def pause_before_next_step(router: SteppedRouter, seconds: float, meanwhile: Callable[[], None]) -> None:
    """Make the process pause before its next step, and call ``meanwhile`` at the start of the pause."""
    timers = router.runtime.timers
    call_soon = timers.call_soon

    def call_after_pause(call: Callable[[], None]) -> None:
        timers.call_soon = call_soon  # type: ignore[method-assign]

        def after_pause() -> None:
            meanwhile()
            time.sleep(seconds)
            call()

        call_soon(after_pause)

    timers.call_soon = call_after_pause  # type: ignore[method-assign]


def test_a_request_whose_client_left_during_a_pause_is_not_sent(router: SteppedRouter) -> None:
    client = router.connect_client()
    client.sendall(encode_request(1))
    engine = router.accept_engine_connection()
    router.run()
    engine.sendall(encode_answer(1))
    router.run_until(lambda: decode_answers(read_available(client)))
    assert b"SELECT" in read_available(engine)

    pause_before_next_step(router, PAUSE, lambda: client.sendall(encode_cancellation(2)))
    client.sendall(encode_request(2))
    router.run(0.1)
    assert b"SELECT" not in read_available(engine)
    client.sendall(encode_request(3))
    router.run(0.1)
    assert b"SELECT" in read_available(engine)  # The connection is still used.


@pytest.mark.parametrize("reset", [False, True])
def test_a_request_whose_client_disconnects_behind_it_during_a_pause_is_not_sent(
    router: SteppedRouter, reset: bool
) -> None:
    """The soak (seed 50) found that a request was sent before the disconnect behind it was read."""
    staying, leaving = router.connect_client(), router.connect_client()
    for number, client in ((1, staying), (2, leaving)):
        client.sendall(encode_request(number))
    # One request is sent to each engine.
    engines = [router.accept_engine_connection(number) for number in range(len(router.engine_listeners))]
    router.run()
    for engine in engines:
        engine.sendall(encode_answer(2 if b"%016x" % 2 in read_available(engine) else 1))
    router.run_until(lambda: decode_answers(read_available(leaving)))
    router.run(IDLE)

    leaving.sendall(encode_request(3))
    if reset:
        leaving.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    leaving.close()
    time.sleep(PAUSE)
    router.run(0.1)
    assert not any(b"%016x" % 3 in read_available(engine) for engine in engines)
    staying.sendall(encode_request(4))
    router.run(0.1)
    assert any(b"%016x" % 4 in read_available(engine) for engine in engines)  # They are still used.


def test_a_first_request_that_waits_unread_during_a_pause_keeps_its_connection(router: SteppedRouter) -> None:
    busy, late = router.connect_client(), router.connect_client()
    router.run()
    pause_before_next_step(router, FIRST_REQUEST_PAUSE, lambda: late.sendall(encode_request(2)))
    busy.sendall(encode_request(1, "report", limit="20000"))
    # One request is sent to each engine.
    engines = [router.accept_engine_connection(number) for number in range(len(router.engine_listeners))]
    router.run(0.1)
    for engine in engines:
        engine.sendall(encode_answer(2 if b"%016x" % 2 in read_available(engine) else 1))
    router.run(0.1)
    assert [number for _, number, error, _ in decode_answers(read_available(late)) if error is None] == [2]


def test_a_stop_that_came_during_a_pause_counts_from_before_it(router: SteppedRouter) -> None:
    """SIGTERM reaches a stopped process whose clients go on, and SIGKILL comes 3.7 s after SIGTERM was sent.

    The router used to count from when it handled the signal. It then answered the report, whose deadline is
    20 s, only after SIGKILL.
    """
    client = router.connect_client()
    client.sendall(encode_request(1, "report", limit="20000"))
    router.accept_engine_connection()  # The engine never answers.
    router.run()
    terminated_at = time.monotonic()
    time.sleep(LONG_PAUSE)
    router.terminate()
    router.run_until(lambda: decode_answers(read_available(client)), seconds=LONG_PAUSE + KILLED_AFTER)
    assert time.monotonic() < terminated_at + KILLED_AFTER


def test_a_stop_without_a_pause_leaves_clients_their_time(router: SteppedRouter) -> None:
    client = router.connect_client()
    client.sendall(encode_request(1, "report", limit="20000"))
    engine = router.accept_engine_connection()
    router.run()
    router.terminate()
    router.run(KILLED_AFTER - 0.4)
    assert not read_available(client)
    engine.sendall(encode_answer(1))
    router.run_until(lambda: decode_answers(read_available(client)))
