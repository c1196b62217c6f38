"""The program as it is started: the example's toy engines, the router, one query, and a stop."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import orjson
from exchange import CONFIG, with_changes

EXAMPLES = CONFIG.parent


def start(*words: str, **environ: str) -> subprocess.Popen[str]:
    return subprocess.Popen([sys.executable, *words], env={**os.environ, **environ}, text=True,
                            stdout=subprocess.PIPE, stderr=subprocess.STDOUT)


def first_line(process: subprocess.Popen[str]) -> str:
    assert process.stdout is not None
    return process.stdout.readline()


def free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def test_a_newcomer_can_try_it_and_sigterm_ends_it_in_order(tmp_path: Path) -> None:
    told = with_changes({"listen": free_address(), "changelog": free_address()})
    for entry in told["known"]["results"][0]["fleet"]["endpoints"]:
        entry["address"] = free_address()
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(told))
    engines = start(str(EXAMPLES / "toy_engines.py"), str(path))
    assert first_line(engines) == "toy engines: ready\n"
    router = start("-m", "grebeproxy", BALANCER_CONFIG=str(path))
    try:
        assert "serving on" in first_line(router)
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


def test_a_faulty_configuration_ends_it_with_one_line(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(with_changes({"listen": "nowhere"})))
    router = start("-m", "grebeproxy", BALANCER_CONFIG=str(path))
    out = router.communicate(timeout=30)[0]
    assert router.returncode == 2 and out == "grebeproxy: listen: 'nowhere' is not host:port\n"
