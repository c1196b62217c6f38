"""How connections, requests and the program end, on real sockets, with events forced to cross."""

from __future__ import annotations

import os
import resource
import socket
import time
from collections.abc import Iterator

import pytest
from stage import Stage, answer, ask, ended, give_up, answers_in, waiting

PAGE = b"".join(b"%04d\txxxxxxx\ty\n" % row for row in range(400))  # 6,000 bytes


@pytest.fixture
def stage() -> Iterator[Stage]:
    made = Stage()
    yield made
    made.end()


def served(stage: Stage, client: socket.socket, number: int = 1) -> socket.socket:
    """Serve a client's request. Returns the connection to the engine that ran it."""
    client.sendall(ask(number))
    engine = stage.engine()
    stage.run()
    engine.sendall(answer(number))
    stage.run()
    assert answers_in(waiting(client))[0][1:3] == [number, None]
    waiting(engine)
    return engine


def long_answer(number: int) -> bytes:
    """A result of eight pages."""
    rest = b"".join(answer(number, PAGE, "batch", f"pos={page}") for page in range(1, 8))
    return answer(number, PAGE, fields="count=8") + rest


# --- clients that disconnect


def test_the_request_of_a_client_that_left_while_its_connection_opened_is_not_forwarded(stage: Stage) -> None:
    client = stage.client()
    client.sendall(ask(1))
    let_dial = stage.dialling()
    client.close()
    let_dial()
    engine = stage.engine()
    stage.run(0.2)
    assert b"REQ" not in waiting(engine)


def test_a_request_cancelled_while_its_connection_opened_is_not_forwarded(stage: Stage) -> None:
    client = stage.client()
    client.sendall(ask(1))
    let_dial = stage.dialling()
    client.sendall(give_up(1))
    let_dial()
    engine = stage.engine()
    stage.run(0.2)
    assert b"REQ" not in waiting(engine)


@pytest.fixture
def one_engine() -> Iterator[Stage]:
    made = Stage(**{"known.results.0.fleet.endpoints.1.status": "Terminating"})
    yield made
    made.end()


def client_that_does_not_read(stage: Stage) -> tuple[socket.socket, socket.socket]:
    """A client that reads none of its answers, some 400 KB, and has one more request open."""
    client = stage.client(unread=2048)
    client.sendall(b"".join(map(ask, range(1, 11))))
    engine = stage.engine()
    stage.run()
    stage.narrow()
    assert waiting(engine).count(b"REQ") == 10
    for number in range(1, 10):
        engine.sendall(long_answer(number))
        stage.run(0.01)
    assert stage.runtime.clients.unsent_bytes() > 64 * 1024
    return client, engine


def test_a_cancellation_of_a_client_that_does_not_read_is_received(one_engine: Stage) -> None:
    stage = one_engine
    client, engine = client_that_does_not_read(stage)
    client.sendall(give_up(10))
    stage.run(0.05)
    assert b"STOP\r\n$16\r\n000000000000000a" in waiting(engine)


@pytest.mark.parametrize("end", ["shutdown", "close"])
def test_the_disconnect_of_a_client_that_does_not_read_is_noticed(one_engine: Stage, end: str) -> None:
    stage = one_engine
    client, engine = client_that_does_not_read(stage)
    if end == "close":
        client.close()
    else:
        client.shutdown(socket.SHUT_WR)
    stage.run(0.05)
    assert b"STOP\r\n$16\r\n000000000000000a" in waiting(engine)


# --- connections that the router closes


def test_a_client_that_is_disconnected_receives_its_earlier_answers(stage: Stage) -> None:
    client = stage.client(unread=2048)
    client.sendall(ask(1))
    engine = stage.engine()
    stage.run()
    engine.sendall(long_answer(1))
    stage.run()
    client.sendall(b"\xc1" + b"x" * 1000)  # malformed, and more that is not read
    stage.run()
    client.sendall(b"x" * 1000)
    data = b""
    for _ in range(40):
        data += waiting(client)
        stage.run(0.01)
    assert answers_in(data)[0][1:3] == [1, None] and len(data) > 48_000
    assert ended(client)


def test_a_disconnected_client_that_keeps_sending_or_never_closes_is_aborted(stage: Stage) -> None:
    sending, staying = stage.client(), stage.client()
    for client in (sending, staying):
        client.sendall(b"\xc1")
    stage.run(0.02)
    assert stage.runtime.closing and not stage.runtime.clients
    with pytest.raises(ConnectionError):
        for _ in range(200):
            sending.sendall(b"x" * 65536)
            stage.run(0.005)
    assert len(stage.runtime.closing) == 1
    stage.run(0.6)
    assert not stage.runtime.closing


def test_the_number_of_closing_connections_is_bounded(stage: Stage) -> None:
    for _ in range(60):
        stage.client().sendall(b"\xc1")
    stage.run(0.1)
    assert len(stage.runtime.closing) == 16 and not stage.runtime.clients


def test_an_operator_that_sends_more_than_a_call_receives_its_answer() -> None:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        admin = free.getsockname()
    stage = Stage(admin="{}:{}".format(*admin))
    operator = socket.create_connection(admin)
    operator.sendall(b"status\n" + b"x" * 3000)
    stage.run()
    operator.sendall(b"more\n")
    stage.run()
    operator.setblocking(False)
    assert waiting(operator).startswith(b"ACK") and ended(operator)
    operator.close()
    stage.end()


def test_no_connection_delays_small_writes(stage: Stage) -> None:
    client = stage.client()
    served(stage, client)
    log = stage.runtime._change_log
    assert log is not None
    for connection in (*stage.runtime.clients.values(), *stage.runtime.links.values(), log):
        assert connection.transport is not None
        own = connection.transport.get_extra_info("socket")
        assert own.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


# --- the end of the program


def test_a_request_received_when_the_router_is_stopped_is_served(stage: Stage) -> None:
    client = stage.client()
    engine = served(stage, client)
    client.sendall(ask(2))  # on an idle connection, and not read yet
    stage.terminate()
    stage.run()
    assert b"REQ" in waiting(engine)
    engine.sendall(answer(2))
    stage.run()
    assert answers_in(waiting(client))[0][1:3] == [2, None] and ended(client)


def test_a_request_that_follows_an_answer_is_served_before_a_stopping_router_closes(stage: Stage) -> None:
    client = stage.client()
    engine = served(stage, client)
    client.sendall(ask(2))
    stage.run()
    stage.terminate()
    stage.run()
    engine.sendall(answer(2))
    client.sendall(ask(3))  # both arrive in one turn: after the answer no request is open
    stage.run()
    assert waiting(engine).count(b"REQ") == 2
    engine.sendall(answer(3))
    stage.run()
    assert [message[1] for message in answers_in(waiting(client))] == [2, 3] and ended(client)


def test_a_request_received_after_the_half_close_is_not_forwarded(stage: Stage) -> None:
    client = stage.client()
    engine = served(stage, client)
    stage.terminate()
    stage.run()
    client.sendall(ask(2))
    stage.run()
    assert b"REQ" not in waiting(engine) and ended(client)  # no reset: its client may retry elsewhere


def test_the_last_answer_is_complete_though_bytes_arrive_after_the_half_close(stage: Stage) -> None:
    client = stage.client(unread=2048)
    client.sendall(ask(1, "report", limit="9000"))
    engine = stage.engine()
    stage.run()
    stage.terminate()
    stage.run(0.8)  # it exits after this answer
    stage.narrow()
    engine.sendall(long_answer(1))
    stage.run(0.01)
    data, crossing = b"", iter(ask(2)[:-1])
    while not stage.serving.done():
        client.sendall(bytes([next(crossing)]))
        stage.run(0.01)
        data += waiting(client)
    data += waiting(client)
    assert answers_in(data)[0][1:3] == [1, None] and len(data) > 48_000


def exiting_with_unread_answer(stage: Stage) -> socket.socket:
    """The program exits while its client has read nothing yet of an answer of 48 KB."""
    client = stage.client(unread=2048)
    client.sendall(ask(1, "report", limit="9000"))
    engine = stage.engine()
    stage.run()
    stage.terminate()
    stage.run(0.8)  # it exits after this answer
    stage.narrow()
    engine.sendall(long_answer(1))
    stage.run(0.05)
    assert stage.runtime._done.is_set() and not stage.serving.done()
    return client


def test_a_client_that_reads_late_gets_the_complete_last_answer_before_the_program_exits(
    stage: Stage,
) -> None:
    client = exiting_with_unread_answer(stage)
    stage.run(1.2)  # longer than any other connection may linger
    data = b""
    while not stage.serving.done():
        data += waiting(client)
        stage.run(0.01)
    data += waiting(client)
    assert answers_in(data)[0][1:3] == [1, None] and len(data) > 48_000


def test_a_client_that_never_reads_delays_the_exit_by_two_seconds_at_most(stage: Stage) -> None:
    exiting_with_unread_answer(stage)
    started_at = time.monotonic()
    while not stage.serving.done():
        stage.run(0.01)
    assert 1.5 < time.monotonic() - started_at < 2.5


def test_a_client_that_has_read_all_and_stays_connected_does_not_delay_the_exit(stage: Stage) -> None:
    client = exiting_with_unread_answer(stage)
    started_at = time.monotonic()
    while not stage.serving.done():
        waiting(client)
        stage.run(0.01)
    assert time.monotonic() - started_at < 1.0


# --- a process that was suspended


def test_a_router_that_was_suspended_reads_the_engine_list_before_it_forwards(stage: Stage) -> None:
    client = stage.client()
    stage.run()
    client.sendall(ask(1))  # arrives first, and is read first
    time.sleep(0.01)
    stage.frame(2, stage.record(0, 1), stage.record(1, 1))
    stage.run(0.3)
    assert not stage.runtime.links
    stage.frame(3, stage.record(1, 0))
    engine = stage.engine(1)
    stage.run()
    assert b"REQ" in waiting(engine)


def test_a_connection_that_opened_while_the_router_was_suspended_is_used(stage: Stage) -> None:
    client = stage.client()
    client.sendall(ask(1))
    let_dial = stage.dialling()
    let_dial()
    stage.loop.call_soon(time.sleep, 0.3)  # its connect timeout has passed, and it is open
    engine = stage.engine()
    stage.run()
    assert b"REQ" in waiting(engine)


def test_a_client_that_left_while_the_router_was_suspended_causes_no_retry(stage: Stage) -> None:
    client = stage.client()
    client.sendall(ask(1))
    engine = stage.engine()
    stage.run()
    waiting(engine)
    engine.sendall(answer(1, b"", "error", "-"))  # would be retried
    time.sleep(0.01)
    client.close()
    stage.run(0.3)
    assert b"REQ" not in waiting(engine)
    with pytest.raises(BlockingIOError):
        stage.engines[1].accept()


def test_a_connection_with_a_request_as_its_idle_timeout_ends_is_not_closed(stage: Stage) -> None:
    client = stage.client()
    stage.run(1.5)  # its first request is due within 2 s
    time.sleep(0.8)
    client.sendall(ask(1))  # and is sent just in time
    engine = stage.engine()
    stage.run()
    engine.sendall(answer(1))
    stage.run()
    assert answers_in(waiting(client))[0][1:3] == [1, None]


# --- descriptors


def test_idle_clients_may_reach_the_connection_limit_while_the_change_log_is_down() -> None:
    stage = Stage(**{"limits.sockets": 150})  # 52 of clients, 50 to engines
    idle_clients = [stage.client() for _ in range(90)]
    stage.run(0.3)
    assert len(stage.runtime.clients) == stage.runtime.bounds.clients == 52
    stage.watch.close()
    stage.log.close()  # connections are refused from now on
    stage.run(0.3)
    newcomer = stage.client()  # an idle connection without a request is closed for it
    newcomer.sendall(ask(1))
    engine = stage.engine()
    stage.run()
    engine.sendall(answer(1))
    stage.run()
    assert answers_in(waiting(newcomer))[0][1:3] == [1, None]
    assert not any(node.fault_rate or node.ejected_at is not None for node in stage.nodes())
    dials = stage.runtime._router._change_log.dials
    stage.run(1.0)
    assert stage.runtime._router._change_log.dials > dials  # the log is dialled all the same
    assert all(ended(client) for client in idle_clients[:30])  # in order, and the oldest first
    stage.end()


def test_queued_connections_are_accepted_before_a_full_router_stops_listening() -> None:
    stage = Stage(**{"limits.sockets": 150})
    idle_clients = [stage.client() for _ in range(52)]
    stage.run(0.3)
    late = [stage.client() for _ in range(40)]  # in the kernel's queue
    for number, client in enumerate(late, 1):
        client.sendall(ask(number))
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (len(os.listdir("/proc/self/fd")) + 12, hard))
    try:
        stage.loop.call_soon(stage.runtime.stop_listening)
        stage.run(0.45)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    requesting = [client for client in stage.runtime._router._clients.values() if client.has_requested]
    assert len(requesting) == 40 and sum(map(ended, idle_clients)) >= 40
    with pytest.raises(ConnectionRefusedError):
        stage.client()
    stage.end()


def test_a_second_sigterm_changes_nothing(stage: Stage) -> None:
    client = stage.client()
    client.sendall(ask(1, "report", limit="9000"))
    engine = stage.engine()
    stage.run()
    for _ in range(2):
        stage.terminate()
        stage.run(0.4)
    engine.sendall(answer(1))
    stage.run()
    assert answers_in(waiting(client))[0][1:3] == [1, None] and ended(client)
    client.close()
    stage.run(0.1)
    assert stage.serving.done()
