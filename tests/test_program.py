"""The program as it is started: the example's toy engines, the router, one query, and a stop."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import msgpack
import orjson
from exchange import CONFIG, with_changes

EXAMPLES = CONFIG.parent


def start(*words: str, descriptors: int = 256, **environ: str) -> subprocess.Popen[str]:
    command = ["/bin/sh", "-c", f'ulimit -n {descriptors}; exec "$@"', "sh", sys.executable, *words]
    return subprocess.Popen(
        command, env={**os.environ, **environ}, text=True, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
    )


def first_line(process: subprocess.Popen[str]) -> str:
    assert process.stdout is not None
    return process.stdout.readline()


def free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def connect(address: str) -> socket.socket:
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=30)


def serves(client: socket.socket) -> bool:
    try:
        client.sendall(msgpack.packb([0, 1, "probe", [{}]]))
        answer = client.recv(100)
    except ConnectionError:
        return False
    return bool(answer) and msgpack.unpackb(answer) == [1, 1, None, [True, {}]]


def test_a_newcomer_can_try_it_and_sigterm_ends_it_in_order(tmp_path: Path) -> None:
    document = with_changes({"listen": free_address(), "changelog": free_address()})
    for entry in document["known"]["results"][0]["fleet"]["endpoints"]:
        entry["address"] = free_address()
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(document))
    engines = start(str(EXAMPLES / "toy_engines.py"), str(path))
    assert first_line(engines) == "toy engines: ready\n"
    router = start("-m", "grebeproxy", BALANCER_CONFIG=str(path))
    try:
        assert "router.listener.opened" in first_line(router)
        ask = start(str(EXAMPLES / "ask.py"), str(path), "lookup", "SELECT n FROM ops_3.t")
        rows = ask.communicate(timeout=30)[0].splitlines()
        assert [row.split("\t")[0] for row in rows if row] == list("012345")
        router.send_signal(signal.SIGTERM)
        assert router.wait(timeout=30) == 0
    finally:
        engines.kill()
        router.kill()
        engines.communicate()
        router.communicate()


def test_it_outlives_a_lack_of_descriptors(tmp_path: Path) -> None:
    address = free_address()
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(with_changes({"listen": address, "changelog": free_address()})))
    router = start("-m", "grebeproxy", descriptors=40, BALANCER_CONFIG=str(path))
    try:
        assert router.stdout is not None and any("router.listener.opened" in line for line in router.stdout)
        clients = [connect(address) for _ in range(60)]
        assert serves(clients[0])
        for client in clients:
            client.close()
        # The descriptors come back one by one; until then a new connection may be closed at once.
        assert any(serves(connect(address)) for _ in range(1000))
    finally:
        router.kill()
        router.communicate()


def test_an_address_that_cannot_be_listened_on_ends_it_with_one_line(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        for address, status in (("nowhere", 2), (f"127.0.0.1:{taken.getsockname()[1]}", 1)):
            path.write_bytes(orjson.dumps(with_changes({"listen": address})))
            router = start("-m", "grebeproxy", BALANCER_CONFIG=str(path))
            out = router.communicate(timeout=30)[0]
            assert router.returncode == status
            assert out.startswith("grebeproxy: listen: ") and out.count("\n") == 1
