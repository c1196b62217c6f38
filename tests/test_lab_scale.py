"""The scale runs at small sizes: their hollow parts, their command, and that they leave nothing behind."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

import hiredis
import pytest
from click.testing import CliRunner

from grebeproxy.lab.__main__ import main
from grebeproxy.lab.record import load_record
from grebeproxy.lab.scale.addresses import engine_addresses
from grebeproxy.lab.scale.changelog_run import run_changelog
from grebeproxy.lab.scale.changelog_server import ChangeLog, frame
from grebeproxy.lab.scale.clock import MAX_DRIFT, SkewedClock
from grebeproxy.lab.scale.deployment import DRAINING, EngineRecord, settings
from grebeproxy.lab.scale.fleet_run import run_fleet
from grebeproxy.lab.scale.hollow_engines import FIELDS, PAGE
from grebeproxy.lab.scale.hollow_routers import HollowRouters
from grebeproxy.lab.scale.membership_run import run_membership
from grebeproxy.lab.scale.plans import RoutersPlan
from grebeproxy.lab.scale.processes import WorkerError, Workers
from grebeproxy.lab.scale.run import Options, Outcome, Progress
from grebeproxy.membership.lease import MAX_CLOCK_DRIFT
from grebeproxy.net import changelog, resp
from grebeproxy.policy.interface import EngineState, ListKind

COMMAND = [sys.executable, "-m", "grebeproxy.lab", "scale"]
SILENT = Progress(lambda text: None)
RECORDS = [EngineRecord(number, address) for number, address in enumerate(engine_addresses(30), 1)]


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([*COMMAND, *arguments], capture_output=True, text=True, timeout=60)


# --- the command


@pytest.mark.parametrize(
    "arguments, expected",
    [
        ((), "Missing argument 'NAME'"),
        (("nothing",), "'nothing' is not one of changelog, membership, fleet"),
        (("changelog", "--sizes", "0"), "--sizes: '0' is not a whole number"),
        (("changelog", "--sizes", "5,,6"), "--sizes: '' is not a whole number"),
        (("changelog", "--sizes", "99999999"), "from 1 to 10000"),
        (("changelog", "--sizes", "5,5"), "--sizes: a number is given twice"),
        (("changelog", "--engines", "many"), "--engines: 'many' is not"),
        (("changelog", "--seed", "x"), "--seed"),
        (("changelog", "--quiet-s", "1000"), "--quiet-s"),
        (("changelog", "--json", "/nowhere/at/all.json"), "--json"),
        (("changelog", "--plot", "/nowhere/at/all.svg"), "--plot: /nowhere/at is not a folder"),
        (("changelog", "--plot", "plot.doc"), "--plot: plot.doc ends in none of .svg, .png"),
        (("changelog", "--nothing"), "--nothing"),
        (("changelog", "more"), "more"),
    ],
)
def test_bad_arguments_are_reported_in_one_line_with_status_2(
    arguments: tuple[str, ...], expected: str
) -> None:
    done = CliRunner().invoke(main, ["scale", *arguments])
    assert done.exit_code == 2 and done.stdout == ""
    assert done.stderr.count("\n") == 1 and done.stderr.startswith("scale: ")
    assert expected in done.stderr


def test_bad_arguments_of_the_program_are_reported_alike() -> None:
    done = run("changelog", "--sizes", "none")
    message = "scale: --sizes: 'none' is not a whole number from 1 to 10000\n"
    assert (done.returncode, done.stdout, done.stderr) == (2, "", message)


def test_a_run_prints_a_table_and_saves_a_record(tmp_path: Path) -> None:
    path = tmp_path / "record.json"
    arguments = (
        "--sizes",
        "4",
        "--engines",
        "10,30",
        "--quiet-s",
        "0.3",
        "--seed",
        "5",
        "--plot",
        str(tmp_path / "plot.svg"),
    )
    done = run("changelog", *arguments, "--json", str(path))
    assert done.returncode == 0, done.stderr
    record = load_record(path)
    assert record.name == "scale-changelog" and record.seed == 5
    assert record.command.startswith("python -m grebeproxy.lab scale changelog --sizes 4 --engines 10,30")
    played = [(point.sizes["routers"], point.sizes["engines"]) for point in record.points]
    assert played == [(4, 10), (4, 30)]
    for point in record.points:
        whole = changelog.HEAD.size + point.sizes["engines"] * changelog.RECORD.size
        assert point.values["whole_bytes"] == whole
        assert point.values["whole_lists_sent"] == point.sizes["routers"]
        assert point.values["change_bytes"] == changelog.HEAD.size + changelog.RECORD.size
        assert 0.0 < point.values["change_last_s"] < 10.0
        assert point.values["whole_cpu_ms"] > 0.0 and point.values["lost_connections"] == 0.0
    assert "<svg" in (tmp_path / "plot.svg").read_text()
    rows = [line.split() for line in done.stdout.splitlines()]
    assert rows[0] == ["routers", "4", "4"] and rows[1] == ["engines", "10", "30"]
    assert "changelog: 4 routers, 30 engines" in done.stderr


def test_a_size_beyond_the_memory_limit_is_noted_and_not_measured() -> None:
    options = Options(sizes=(4,), engines=(10,), quiet_s=0.2, memory_mb=1)
    outcome = Outcome()
    run_changelog(options, SILENT, outcome)
    assert outcome.points == []
    assert len(outcome.notes) == 1 and "4 routers with 10 engines: ended by memory" in outcome.notes[0]


def test_an_interrupted_run_saves_what_it_has_measured(tmp_path: Path) -> None:
    path = tmp_path / "record.json"
    arguments = ["changelog", "--sizes", "2,3", "--engines", "10", "--quiet-s", "0.2", "--json", str(path)]
    process = subprocess.Popen(
        [*COMMAND, *arguments], stderr=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    try:
        assert process.stderr is not None
        for line in process.stderr:
            if "3 routers" in line:
                process.terminate()
        assert process.wait(20.0) == 143
    finally:
        process.kill()
        process.communicate()
    record = load_record(path)
    assert [point.sizes["routers"] for point in record.points] == [2.0]
    assert record.note == "interrupted"


# --- the runs


def test_membership_is_measured_when_quiet_after_a_kill_and_after_restarts() -> None:
    options = Options(sizes=(8,), engines=(1,), quiet_s=1.5, period_s=0.1)
    outcome = Outcome()
    run_membership(options, SILENT, outcome)
    assert outcome.notes == []
    values = outcome.points[0].values
    assert values["quiet_packets_per_s"] > 5.0  # at least a ping or its acknowledgement in each period
    assert values["quiet_bytes_per_s"] > 30.0 * values["quiet_packets_per_s"]
    assert 0.0 < values["kill_first_s"] <= values["kill_last_s"] < 30.0
    assert values["restart_routers"] == 1.0 and values["restart_last_s"] > 0.0
    assert values["origins_held"] > 1.0 and values["duty_done"] > 0.0 and values["duty_refused"] == 0.0


def test_clients_of_real_routers_are_measured_alone_and_beside_hollow_ones() -> None:
    options = Options(sizes=(5,), engines=(12,), quiet_s=1.0, period_s=0.2)
    outcome = Outcome()
    run_fleet(options, SILENT, outcome)
    [point] = outcome.points
    assert point.sizes == {"routers": 5.0, "engines": 12.0, "real_routers": 3.0}
    for name in ("alone", "beside"):
        assert point.values[f"{name}_asked"] > 5.0 and point.values[f"{name}_lost"] == 0.0
        assert 0.0 < point.values[f"{name}_p50_ms"] <= point.values[f"{name}_p99_ms"]
        assert point.values[f"{name}_real_cpu_us_per_s"] > 0.0
    assert point.values["engines_asked"] > 0.0 and point.values["hollow_bytes_per_s"] > 0.0


# --- the hollow parts and the change log


@pytest.mark.parametrize("cut", [1, 7, 36, 10_000])
def test_frames_are_decoded_by_the_products_codec(cut: int) -> None:
    decoder = changelog.Decoder(settings(8, 3), lambda unix_ms: unix_ms / 1000)
    changed = EngineRecord(2, RECORDS[1].address, DRAINING)
    data = frame(1, changelog.FULL, b"".join(record.pack() for record in RECORDS))
    data += frame(1, changelog.HEARTBEAT) + frame(2, changelog.CHANGES, changed.pack())
    pieces = [data[start : start + cut] for start in range(0, len(data), cut)]
    updates = [update for piece in pieces for update in decoder.feed(piece)]
    full, heartbeat, changes = updates
    assert full.change is not None and full.change.list_kind is ListKind.FULL
    assert [engine.id for engine in full.change.engines] == [f"s-{number:08x}" for number in range(1, 31)]
    assert full.addresses == {f"s-{record.number:08x}": record.address for record in RECORDS}
    assert len({engine.zone for engine in full.change.engines}) == 6
    assert (heartbeat.seq, heartbeat.change, heartbeat.addresses) == (1, None, None)
    assert changes.change is not None and changes.change.list_kind is ListKind.CHANGES
    assert [(engine.id, engine.state) for engine in changes.change.engines] == [
        ("s-00000002", EngineState.DRAINING)
    ]


def test_hollow_routers_resume_after_a_cut_from_the_event_they_have() -> None:
    with Workers() as workers:
        log = workers.start(ChangeLog)
        routers = workers.start(HollowRouters, RoutersPlan(0, 5, 5, 1, log.call("listen", RECORDS)))
        routers.call("start")
        deadline = time.monotonic() + 20.0
        while len(routers.call("applied", 1)) < 5 and time.monotonic() < deadline:
            time.sleep(0.05)
        published = log.call("set_state", [1, 2], DRAINING)
        while len(routers.call("applied", published.seq)) < 5 and time.monotonic() < deadline:
            time.sleep(0.05)
        log.call("disconnect_all")
        while log.call("hellos") != [published.seq] * 5 and time.monotonic() < deadline:
            time.sleep(0.05)
        assert log.call("hellos") == [published.seq] * 5
        assert routers.call("engines_known") == [30] * 5
        assert log.call("totals").full_lists == 5  # none was sent again


def test_an_engines_answer_is_decoded_by_the_products_codec() -> None:
    words: tuple[Any, ...] = (b"00ff00ff00ff00ff", b"ok", FIELDS, PAGE)
    [answer] = resp.Decoder().feed(hiredis.pack_command(words))
    # A damaged answer would be decoded without its page.
    assert (answer.txn, answer.body, answer.pages, answer.page) == (words[0].decode(), PAGE, 1, 0)
    assert answer.report == {"cpu": 0.1, "waiting": 0.0, "memory_granted": 0.05}


def test_clocks_differ_by_less_than_leases_allow() -> None:
    assert 2 * MAX_DRIFT < MAX_CLOCK_DRIFT
    clocks = [SkewedClock(Random(seed)) for seed in range(20)]
    shown = [clock.now() for clock in clocks]
    assert max(shown) - min(shown) > 10.0
    for clock in clocks:
        assert clock.delay_until(clock.now() + 1.0) == pytest.approx(1.0, abs=MAX_DRIFT + 0.01)


# --- the processes


class Failing:
    """A service with a method that always fails."""

    def fail(self) -> None:
        raise ValueError("no such thing")

    def pid(self) -> int:
        return os.getpid()

    async def close(self) -> None:
        pass


def test_a_call_that_fails_and_a_child_that_dies_are_reported() -> None:
    with Workers() as workers:
        worker = workers.start(Failing)
        with pytest.raises(WorkerError, match="Failing: fail: ValueError: no such thing"):
            worker.call("fail")
        assert worker.call("pid") == worker.pid
        os.kill(worker.pid, signal.SIGKILL)
        with pytest.raises(WorkerError, match="the process has ended|Broken pipe|reset"):
            worker.call("pid")


SOCKETS = 12 + 3 + 1  # engines, routers and the change log at least


def descendants(pid: int) -> set[int]:
    """All processes below one, the real routers among them; one that ends meanwhile has none."""
    found: set[int] = set()
    with suppress(OSError):
        for task in Path(f"/proc/{pid}/task").iterdir():
            for child in (task / "children").read_text().split():
                found |= {int(child)} | descendants(int(child))
    return found


def sockets(pids: set[int]) -> set[str]:
    """The inodes of sockets that these processes hold."""
    links = []
    for pid in pids:
        with suppress(OSError):
            for descriptor in Path(f"/proc/{pid}/fd").iterdir():
                with suppress(OSError):
                    links.append(os.readlink(descriptor))
    return {link[len("socket:[") : -1] for link in links if link.startswith("socket:[")}


def open_inodes() -> set[str]:
    """The inodes of all sockets for TCP and UDP on this machine."""
    lines = [
        line for name in ("tcp", "udp") for line in Path(f"/proc/net/{name}").read_text().splitlines()[1:]
    ]
    return {line.split()[9] for line in lines}


def running(pids: set[int]) -> set[int]:
    """Those that have not ended; a zombie counts as ended."""
    alive = set()
    for pid in pids:
        try:
            state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
        except OSError:
            continue
        if state != "Z":
            alive.add(pid)
    return alive


def restore_interrupts() -> None:
    """A shell starts what runs in the background with SIGINT ignored, and a child inherits that."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)


@pytest.fixture
def fleet_run(tmp_path: Path) -> Iterator[subprocess.Popen[str]]:
    arguments = ["fleet", "--sizes", "10", "--engines", "12", "--quiet-s", "30"]
    process = subprocess.Popen(
        [*COMMAND, *arguments], stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True, cwd=tmp_path,
        env={**os.environ, "TMPDIR": str(tmp_path), "PYTHONPATH": str(Path(__file__).parent.parent)},
        preexec_fn=restore_interrupts,
    )  # fmt: skip
    yield process
    process.kill()
    process.communicate()


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_an_interrupted_run_leaves_no_process_socket_or_file(
    fleet_run: subprocess.Popen[str], tmp_path: Path, number: signal.Signals
) -> None:
    deadline = time.monotonic() + 30.0
    children: set[int] = set()
    open_sockets: set[str] = set()
    while time.monotonic() < deadline and (
        sum(map(is_real_router, children)) < 3 or len(open_sockets) < SOCKETS
    ):
        time.sleep(0.1)
        children |= descendants(fleet_run.pid)
        open_sockets = sockets(running(children)) & open_inodes()
    assert sum(map(is_real_router, children)) == 3 and len(open_sockets) >= SOCKETS
    fleet_run.send_signal(number)
    assert fleet_run.wait(20.0) != 0
    deadline = time.monotonic() + 20.0
    while (left := running(children)) and time.monotonic() < deadline:
        time.sleep(0.1)
    assert not left
    assert not open_sockets & open_inodes()
    assert list(tmp_path.iterdir()) == []


def is_real_router(pid: int) -> bool:
    try:
        words = Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")
    except OSError:
        return False
    return words[1:3] == [b"-m", b"grebeproxy"]
