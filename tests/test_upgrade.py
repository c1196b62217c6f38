"""Two real processes of one router on one inherited socket, with clients that go on asking."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgpack
import orjson
import pytest
from exchange import with_changes
from test_program import EXAMPLES, connect, first_line, free_address, start


def call(address: str, line: str) -> str:
    with connect(address) as operator:
        operator.sendall(line.encode() + b"\n")
        return operator.makefile().readline()


def request(number: int, cls: str = "lookup", **fields: str) -> bytes:
    request = {"txn": f"{number:016x}", "limit": "2000", "team": "city", **fields}
    packed: bytes = msgpack.packb([0, number, cls, [request, b"SELECT n FROM ops_3.t"]])
    return packed


def answers(client: socket.socket) -> Iterator[Any]:
    """What a client is answered until its connection ends."""
    unpacker = msgpack.Unpacker()
    while data := client.recv(65536):
        unpacker.feed(data)
        yield from unpacker


class Fleet:
    """Toy engines, a held socket, and the processes that are started on it."""

    def __init__(self, folder: Path) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        document = with_changes({"listen": self.address, "changelog": free_address()})
        for entry in document["known"]["results"][0]["fleet"]["endpoints"]:
            entry["address"] = free_address()
        self.path = folder / "config.json"
        self.path.write_bytes(orjson.dumps(document))
        self.engines = start(str(EXAMPLES / "toy_engines.py"), str(self.path))
        assert first_line(self.engines) == "toy engines: ready\n"
        self.shared = folder / "shared"
        self.shared.mkdir()
        self.processes: list[subprocess.Popen[str]] = []

    def start(self) -> tuple[subprocess.Popen[str], str]:
        """A process, and where its admin endpoint is; it takes clients already."""
        admin = free_address()
        descriptor = self.listener.fileno()
        log = self.path.with_name(f"log{len(self.processes)}").open("w")
        process = subprocess.Popen(
            [sys.executable, "-m", "grebeproxy"],
            text=True,
            pass_fds=[descriptor],
            stderr=log,
            env={
                **os.environ,
                "BALANCER_CONFIG": str(self.path),
                "BALANCER_SOCKET_FD": str(descriptor),
                "BALANCER_ADMIN": admin,
                "TMPDIR": str(self.shared),
            },
        )
        self.processes.append(process)
        until = time.monotonic() + 30
        while time.monotonic() < until:
            try:
                if call(admin, "status").startswith("ACK"):
                    return process, admin
            except OSError:
                pass
            time.sleep(0.02)
        raise AssertionError("not ready")

    def log(self, number: int) -> str:
        return self.path.with_name(f"log{number}").read_text()

    def end(self) -> None:
        for process in [self.engines, *self.processes]:
            process.kill()
            process.wait()
        assert self.engines.stdout is not None
        self.engines.stdout.close()
        self.listener.close()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(tmp_path)
    yield made
    made.end()


def test_an_upgrade_loses_nothing_at_its_worst_moments(fleet: Fleet) -> None:
    old, _ = fleet.start()
    silent, half, busy = connect(fleet.address), connect(fleet.address), connect(fleet.address)
    half.sendall(request(1)[:20])
    load = {"unique": "u1", "item": "k1", "limit": "9000"}
    busy.sendall(request(2, "load", **load))
    time.sleep(0.02)  # the load is out at its engine
    new, _ = fleet.start()
    busy.sendall(request(3, "load", **load | {"unique": "u2"}))
    old.send_signal(signal.SIGTERM)
    time.sleep(0.05)
    # Between accept and first byte, in the middle of a request, and between two loads of one key.
    silent.sendall(request(4))
    half.sendall(request(1)[20:])
    for client, ids in ((silent, [4]), (half, [1]), (busy, [2, 3])):
        received = list(answers(client))  # to the end of the connection, which the old one makes
        assert [message[1] for message in received] == ids
        assert all(message[2] is None and message[3] for message in received)
    late = connect(fleet.address)  # nobody but the new one is left to take it
    late.sendall(request(5))
    assert next(answers(late))[2] is None
    assert old.wait(timeout=30) == 0 and new.poll() is None


def test_clients_that_go_on_asking_are_all_answered_through_three_upgrades(fleet: Fleet) -> None:
    process, _ = fleet.start()
    client, messages, number, opened, crossed = connect(fleet.address), iter(()), 0, 1, 0
    messages = answers(client)
    for _ in range(3):
        following, _ = fleet.start()
        process.send_signal(signal.SIGTERM)
        until = time.monotonic() + 0.4
        while time.monotonic() < until:
            number += 1
            message = None
            while message is None:
                try:
                    client.sendall(request(number))
                    message = next(messages, None)
                except ConnectionError:
                    message = None
                if message is None:  # it crossed the end of the connection: once more, on a new one
                    crossed += 1
                    client.close()
                    client, opened = connect(fleet.address), opened + 1
                    messages = answers(client)
            assert message[1] == number and message[2] is None
        assert process.wait(timeout=30) == 0
        process = following
    assert opened >= 2 and crossed == opened - 1  # each process ends the connection once


def test_an_engine_stays_disabled_through_an_upgrade_whichever_endpoint_was_called(fleet: Fleet) -> None:
    (fleet.shared / "grebeproxy-n1.hands").write_bytes(b"half a file")
    old, first = fleet.start()
    assert call(first, "maint-on s-00000001").startswith("ACK")
    _, second = fleet.start()
    assert call(first, "maint-on s-00000002").startswith("ACK")  # the new one has read the file already
    time.sleep(0.6)
    with connect(fleet.address) as client:
        client.sendall(request(1, limit="400"))
        assert next(answers(client))[2][0] == "TryLater"  # no engine is left, in either process
    assert call(second, "maint-off s-00000002").startswith("ACK")
    old.send_signal(signal.SIGTERM)
    assert old.wait(timeout=30) == 0
    log = fleet.log(0)
    after = log.split("router.engines.disabled engines=s-00000001,s-00000002")[1]
    assert "not used: torn" in log and "router.engines.disabled engines=s-00000001\n" in after
    assert call(second, "maint-off s-00000001").startswith("ACK")
    third, _ = fleet.start()
    assert third.poll() is None and "router.engines.disabled" not in fleet.log(2)


def test_the_admin_endpoint_answers_beside_callers_that_send_nothing(fleet: Fleet) -> None:
    _, admin = fleet.start()
    silent = [connect(admin) for _ in range(40)]  # more than are kept
    for caller in silent[::2]:
        caller.sendall(b"maint-on ")
    began = time.monotonic()
    assert call(admin, "status").startswith("ACK")
    assert call(admin, "standby").startswith("ACK")
    with connect(fleet.address) as front:
        front.sendall(msgpack.packb([0, 1, "probe", [{}]]))
        assert list(answers(front)) == [[1, 1, None, [False, {}]]]
    assert call(admin, "active").startswith("ACK")
    assert time.monotonic() - began < 1.0
