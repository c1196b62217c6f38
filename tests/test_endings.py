"""How connections, requests and the program end, on real sockets: what crosses an end is forced to."""

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
    """A client is served; gives the connection to the engine that did it."""
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


# --- a client that has gone


def test_a_client_that_left_while_its_connection_came_up_is_not_sent_on(stage: Stage) -> None:
    client = stage.client()
    client.sendall(ask(1))
    go = stage.dialling()
    client.close()
    go()
    engine = stage.engine()
    stage.run(0.2)
    assert b"REQ" not in waiting(engine)


def test_a_request_taken_back_while_its_connection_came_up_is_not_sent_on(stage: Stage) -> None:
    client = stage.client()
    client.sendall(ask(1))
    go = stage.dialling()
    client.sendall(give_up(1))
    go()
    engine = stage.engine()
    stage.run(0.2)
    assert b"REQ" not in waiting(engine)


@pytest.fixture
def one_engine() -> Iterator[Stage]:
    made = Stage(**{"known.results.0.fleet.endpoints.1.status": "Terminating"})
    yield made
    made.end()


def reads_nothing(stage: Stage) -> tuple[socket.socket, socket.socket]:
    """A client that has answers of some 400 KB to read, reads none, and has one more request open."""
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


def test_a_client_that_does_not_read_is_heard_when_it_takes_a_request_back(one_engine: Stage) -> None:
    stage = one_engine
    client, engine = reads_nothing(stage)
    client.sendall(give_up(10))
    stage.run(0.05)
    assert b"STOP\r\n$16\r\n000000000000000a" in waiting(engine)


@pytest.mark.parametrize("how", ["shutdown", "close"])
def test_a_client_that_does_not_read_is_seen_to_leave(one_engine: Stage, how: str) -> None:
    stage = one_engine
    client, engine = reads_nothing(stage)
    if how == "close":
        client.close()
    else:
        client.shutdown(socket.SHUT_WR)
    stage.run(0.05)
    assert b"STOP\r\n$16\r\n000000000000000a" in waiting(engine)


# --- connections that the router ends


def test_a_client_that_is_closed_on_reads_what_it_was_answered_before(stage: Stage) -> None:
    client = stage.client(unread=2048)
    client.sendall(ask(1))
    engine = stage.engine()
    stage.run()
    engine.sendall(long_answer(1))
    stage.run()
    client.sendall(b"\xc1" + b"x" * 1000)  # what cannot be read, and more that nobody will
    stage.run()
    client.sendall(b"x" * 1000)
    data = b""
    for _ in range(40):
        data += waiting(client)
        stage.run(0.01)
    assert answers_in(data)[0][1:3] == [1, None] and len(data) > 48_000
    assert ended(client)


def test_one_that_is_closed_on_and_goes_on_sending_is_cut_and_so_is_one_that_never_ends(stage: Stage) -> None:
    sends, stays = stage.client(), stage.client()
    for client in (sends, stays):
        client.sendall(b"\xc1")
    stage.run(0.02)
    assert stage.runtime.closing and not stage.runtime.clients
    with pytest.raises(ConnectionError):
        for _ in range(200):
            sends.sendall(b"x" * 65536)
            stage.run(0.005)
    assert len(stage.runtime.closing) == 1
    stage.run(0.6)
    assert not stage.runtime.closing


def test_those_closed_on_and_not_ended_are_few(stage: Stage) -> None:
    for _ in range(60):
        stage.client().sendall(b"\xc1")
    stage.run(0.1)
    assert len(stage.runtime.closing) == 16 and not stage.runtime.clients


def test_a_caller_that_says_more_than_a_call_reads_its_answer() -> None:
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


def test_small_writes_are_held_back_on_no_connection(stage: Stage) -> None:
    client = stage.client()
    served(stage, client)
    log = stage.runtime._change_log
    assert log is not None
    for connection in (*stage.runtime.clients.values(), *stage.runtime.links.values(), log):
        assert connection.transport is not None
        own = connection.transport.get_extra_info("socket")
        assert own.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


# --- the end of the program


def test_a_request_that_is_there_when_the_router_is_told_to_end_is_served(stage: Stage) -> None:
    client = stage.client()
    engine = served(stage, client)
    client.sendall(ask(2))  # on a connection that rests, and not read yet
    stage.terminate()
    stage.run()
    assert b"REQ" in waiting(engine)
    engine.sendall(answer(2))
    stage.run()
    assert answers_in(waiting(client))[0][1:3] == [2, None] and ended(client)


def test_a_request_behind_an_answer_is_served_before_a_router_that_ends_closes(stage: Stage) -> None:
    client = stage.client()
    engine = served(stage, client)
    client.sendall(ask(2))
    stage.run()
    stage.terminate()
    stage.run()
    engine.sendall(answer(2))
    client.sendall(ask(3))  # both are there in one turn: after the answer nothing is open
    stage.run()
    assert waiting(engine).count(b"REQ") == 2
    engine.sendall(answer(3))
    stage.run()
    assert [message[1] for message in answers_in(waiting(client))] == [2, 3] and ended(client)


def test_what_comes_behind_the_end_of_a_connection_is_not_sent_on(stage: Stage) -> None:
    client = stage.client()
    engine = served(stage, client)
    stage.terminate()
    stage.run()
    client.sendall(ask(2))
    stage.run()
    assert b"REQ" not in waiting(engine) and ended(client)  # no reset: its client may ask again elsewhere


def test_the_last_answer_is_read_whole_though_bytes_came_behind_the_end(stage: Stage) -> None:
    client = stage.client(unread=2048)
    client.sendall(ask(1, "report", limit="9000"))
    engine = stage.engine()
    stage.run()
    stage.terminate()
    stage.run(0.8)  # it ends with this answer
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


def unread_at_the_end(stage: Stage) -> socket.socket:
    """The program ends with an answer of 48 KB of which its client has read nothing yet."""
    client = stage.client(unread=2048)
    client.sendall(ask(1, "report", limit="9000"))
    engine = stage.engine()
    stage.run()
    stage.terminate()
    stage.run(0.8)  # it ends with this answer
    stage.narrow()
    engine.sendall(long_answer(1))
    stage.run(0.05)
    assert stage.runtime._done.is_set() and not stage.serving.done()
    return client


def test_a_client_that_reads_late_gets_the_last_answer_whole_before_the_program_ends(stage: Stage) -> None:
    client = unread_at_the_end(stage)
    stage.run(1.2)  # longer than any other connection may linger
    data = b""
    while not stage.serving.done():
        data += waiting(client)
        stage.run(0.01)
    data += waiting(client)
    assert answers_in(data)[0][1:3] == [1, None] and len(data) > 48_000


def test_a_client_that_never_reads_holds_the_end_of_the_program_for_two_seconds_at_most(stage: Stage) -> None:
    unread_at_the_end(stage)
    began = time.monotonic()
    while not stage.serving.done():
        stage.run(0.01)
    assert 1.5 < time.monotonic() - began < 2.5


def test_a_client_that_has_read_all_and_stays_holds_the_end_of_the_program_no_longer(stage: Stage) -> None:
    client = unread_at_the_end(stage)
    began = time.monotonic()
    while not stage.serving.done():
        waiting(client)
        stage.run(0.01)
    assert time.monotonic() - began < 1.0


# --- a process that stood still


def test_a_router_that_stood_still_reads_the_list_before_it_sends(stage: Stage) -> None:
    client = stage.client()
    stage.run()
    client.sendall(ask(1))  # comes first, and is read first
    time.sleep(0.01)
    stage.frame(2, stage.record(0, 1), stage.record(1, 1))
    stage.run(0.3)
    assert not stage.runtime.links
    stage.frame(3, stage.record(1, 0))
    engine = stage.engine(1)
    stage.run()
    assert b"REQ" in waiting(engine)


def test_a_connection_that_came_up_while_the_router_stood_still_is_used(stage: Stage) -> None:
    client = stage.client()
    client.sendall(ask(1))
    go = stage.dialling()
    go()
    stage.loop.call_soon(time.sleep, 0.3)  # its time to come up has passed, and it is up
    engine = stage.engine()
    stage.run()
    assert b"REQ" in waiting(engine)


def test_a_client_that_left_while_the_router_stood_still_costs_no_further_attempt(stage: Stage) -> None:
    client = stage.client()
    client.sendall(ask(1))
    engine = stage.engine()
    stage.run()
    waiting(engine)
    engine.sendall(answer(1, b"", "error", "-"))  # would be tried again
    time.sleep(0.01)
    client.close()
    stage.run(0.3)
    assert b"REQ" not in waiting(engine)
    with pytest.raises(BlockingIOError):
        stage.engines[1].accept()


def test_a_connection_that_is_asked_on_while_its_idle_time_ends_is_not_closed(stage: Stage) -> None:
    client = stage.client()
    stage.run(1.5)  # it never asked: 2 s are all it has
    time.sleep(0.8)
    client.sendall(ask(1))  # and here its first request is on time
    engine = stage.engine()
    stage.run()
    engine.sendall(answer(1))
    stage.run()
    assert answers_in(waiting(client))[0][1:3] == [1, None]


# --- descriptors


def test_idle_clients_may_fill_all_places_while_the_change_log_is_down() -> None:
    stage = Stage(**{"limits.sockets": 150})  # 52 of clients, 50 to engines
    crowd = [stage.client() for _ in range(90)]
    stage.run(0.3)
    assert len(stage.runtime.clients) == stage.runtime.bounds.clients == 52
    stage.watch.close()
    stage.log.close()  # connections are refused from now on
    stage.run(0.3)
    usual = stage.client()  # one that never asked makes room
    usual.sendall(ask(1))
    engine = stage.engine()
    stage.run()
    engine.sendall(answer(1))
    stage.run()
    assert answers_in(waiting(usual))[0][1:3] == [1, None]
    assert not any(node.fault_rate or node.ejected_at is not None for node in stage.nodes())
    dials = stage.runtime._router._log.dials
    stage.run(1.0)
    assert stage.runtime._router._log.dials > dials  # the log is asked for all the same
    assert all(ended(client) for client in crowd[:30])  # in order, and the oldest first
    stage.end()


def test_connections_that_wait_are_taken_before_a_full_router_stops_listening() -> None:
    stage = Stage(**{"limits.sockets": 150})
    crowd = [stage.client() for _ in range(52)]
    stage.run(0.3)
    late = [stage.client() for _ in range(40)]  # in the machine's queue
    for number, client in enumerate(late, 1):
        client.sendall(ask(number))
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (len(os.listdir("/proc/self/fd")) + 12, hard))
    try:
        stage.loop.call_soon(stage.runtime.stop_listening)
        stage.run(0.45)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    taken = [client for client in stage.runtime._router._clients.values() if client.has_requested]
    assert len(taken) == 40 and sum(map(ended, crowd)) >= 40
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
