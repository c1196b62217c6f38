"""Upgrades: two processes of one router serve on one inherited socket while clients keep sending."""

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


def admin_call(address: str, line: str) -> str:
    with connect(address) as operator:
        operator.sendall(line.encode() + b"\n")
        return operator.makefile().readline()


def request(number: int, cls: str = "lookup", **fields: str) -> bytes:
    request = {"txn": f"{number:016x}", "limit": "2000", "team": "city", **fields}
    packed: bytes = msgpack.packb([0, number, cls, [request, b"SELECT n FROM ops_3.t"]])
    return packed


def answers(client: socket.socket) -> Iterator[Any]:
    """The answers to a client until its connection ends."""
    unpacker = msgpack.Unpacker()
    while data := client.recv(65536):
        unpacker.feed(data)
        yield from unpacker


class Deployment:
    """Toy engines, a listening socket, and the router processes that are started on it."""

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
        """Start a process. Returns it, once it accepts clients, with the address of its admin endpoint."""
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
                if admin_call(admin, "status").startswith("ACK"):
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
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path)
    yield deployment
    deployment.end()


def test_an_upgrade_loses_no_request_at_critical_moments(deployment: Deployment) -> None:
    old, _ = deployment.start()
    busy = connect(deployment.address)
    load = {"unique": "u1", "item": "k1", "limit": "9000"}
    busy.sendall(request(2, "load", **load))
    time.sleep(0.02)  # The load is in flight at its engine.
    new, _ = deployment.start()
    # The start may take longer than the 2 s that a client has for its first request. The new process is
    # stopped meanwhile, so that the old one accepts these connections.
    new.send_signal(signal.SIGSTOP)
    silent, half = connect(deployment.address), connect(deployment.address)
    half.sendall(request(1)[:20])
    time.sleep(0.02)
    busy.sendall(request(3, "load", **load | {"unique": "u2"}))
    old.send_signal(signal.SIGTERM)
    new.send_signal(signal.SIGCONT)
    time.sleep(0.05)
    # The connections are between accept and first byte, within a request, and between two loads of one key.
    silent.sendall(request(4))
    half.sendall(request(1)[20:])
    for client, ids in ((silent, [4]), (half, [1]), (busy, [2, 3])):
        received = list(answers(client))  # until the old process ends the connection
        assert [message[1] for message in received] == ids
        assert all(message[2] is None and message[3] for message in received)
    late = connect(deployment.address)  # Only the new process is left to accept it.
    late.sendall(request(5))
    assert next(answers(late))[2] is None
    assert old.wait(timeout=30) == 0 and new.poll() is None


def test_every_request_is_answered_through_three_upgrades(deployment: Deployment) -> None:
    process, _ = deployment.start()
    client, messages, number, opened, crossed = connect(deployment.address), iter(()), 0, 1, 0
    messages = answers(client)
    for _ in range(3):
        following, _ = deployment.start()
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
                if message is None:  # The request crossed the end of the connection and is retried.
                    crossed += 1
                    client.close()
                    client, opened = connect(deployment.address), opened + 1
                    messages = answers(client)
            assert message[1] == number and message[2] is None
        assert process.wait(timeout=30) == 0
        process = following
    assert opened >= 2 and crossed == opened - 1  # Each process ends the connection once.


def test_an_engine_stays_disabled_through_an_upgrade_whichever_endpoint_was_called(
    deployment: Deployment,
) -> None:
    (deployment.shared / "grebeproxy-n1.hands").write_bytes(b"half a file")
    old, first = deployment.start()
    assert admin_call(first, "maint-on s-00000001").startswith("ACK")
    _, second = deployment.start()
    # The new process has already read the file.
    assert admin_call(first, "maint-on s-00000002").startswith("ACK")
    time.sleep(0.6)
    with connect(deployment.address) as client:
        client.sendall(request(1, limit="400"))
        assert next(answers(client))[2][0] == "TryLater"  # Both processes have no engine left.
    assert admin_call(second, "maint-off s-00000002").startswith("ACK")
    old.send_signal(signal.SIGTERM)
    assert old.wait(timeout=30) == 0
    log = deployment.log(0)
    assert 'router.overrides.rejected file=grebeproxy-n1.hands error="torn' in log
    after = log.split("router.engines.disabled engines=s-00000001,s-00000002")[1]
    assert "router.engines.disabled engines=s-00000001\n" in after
    assert admin_call(second, "maint-off s-00000001").startswith("ACK")
    third, _ = deployment.start()
    assert third.poll() is None and "router.engines.disabled" not in deployment.log(2)


def test_the_admin_endpoint_answers_despite_silent_connections(deployment: Deployment) -> None:
    _, admin = deployment.start()
    silent = [connect(admin) for _ in range(40)]  # more connections than the router keeps
    for caller in silent[::2]:
        caller.sendall(b"maint-on ")
    began = time.monotonic()
    assert admin_call(admin, "status").startswith("ACK")
    assert admin_call(admin, "standby").startswith("ACK")
    with connect(deployment.address) as front:
        front.sendall(msgpack.packb([0, 1, "probe", [{}]]))
        assert list(answers(front)) == [[1, 1, None, [False, {}]]]
    assert admin_call(admin, "active").startswith("ACK")
    assert time.monotonic() - began < 1.0
