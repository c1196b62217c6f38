"""Tests of the capacity measurements, at small sizes so that each takes seconds."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner

from grebeproxy import Choice
from grebeproxy.lab.__main__ import main
from grebeproxy.lab.capacity.measure import connections, end_to_end, engine_list, slow_start, start, statement
from grebeproxy.lab.capacity.measure.engines import engine_entries
from grebeproxy.lab.capacity.measure.process import RouterProcess
from grebeproxy.lab.capacity.measure.router_settings import settings
from grebeproxy.lab.capacity.measure.workload import Statements
from grebeproxy.lab.record import load_record
from grebeproxy.net import msgpack_rpc
from grebeproxy.net.messages import Call
from grebeproxy.policy import interface as api


@pytest.fixture(autouse=True)
def short_measurements(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(end_to_end, "WARM_UP", 0.2)
    monkeypatch.setattr(end_to_end, "WINDOW", 0.6)
    monkeypatch.setattr(connections, "IDLE_WINDOW", 0.2)
    monkeypatch.setattr(start, "RUNS", 1)
    monkeypatch.setattr(slow_start, "SECONDS", 2.5)
    monkeypatch.setattr(statement, "DECISION_SECONDS", 0.02)
    monkeypatch.setattr(statement, "CODEC_STATEMENTS", 50)


@pytest.fixture
def processes(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[int]]:
    """Ids of the router processes that a test starts; checks at its end that all have exited."""
    started: list[int] = []
    original_init: Callable[..., None] = RouterProcess.__init__

    def record_start(self: RouterProcess, *arguments: object) -> None:
        original_init(self, *arguments)
        started.append(self._process.pid)

    monkeypatch.setattr(RouterProcess, "__init__", record_start)
    yield started
    assert started
    assert not [pid for pid in started if Path(f"/proc/{pid}").exists()]


def test_requests_of_the_mix_decode_and_cover_all_classes() -> None:
    statements, decoder = Statements(1), msgpack_rpc.Decoder(settings(12))
    calls = [call for number in range(200) for call in decoder.feed(statements.request(number))]
    assert all(isinstance(call, Call) for call in calls) and len(calls) == 200
    assert {call.query_class for call in calls if isinstance(call, Call)} == {"lookup", "report", "load"}
    assert len({call.txn for call in calls if isinstance(call, Call)}) == 200


def test_engines_are_spread_over_all_zones() -> None:
    zones = [engine.zone for engine in engine_entries(60)]
    assert {zones.count(zone) for zone in zones} == {10}


class SlowChoice(Choice):
    """A decision module whose calls take two more milliseconds of CPU each."""

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        until = time.process_time() + 0.002
        while time.process_time() < until:
            pass
        return super().handle(now, events)


def test_decision_time_counts_the_calls_for_arrival_and_end(monkeypatch: pytest.MonkeyPatch) -> None:
    usual = statement.decide_us(8, 12, seed=1)
    monkeypatch.setattr(statement, "Choice", SlowChoice)
    assert 0 < usual < 4000 < statement.decide_us(8, 12, seed=1)


def test_the_cpu_of_a_statement_is_the_sum_of_its_parts() -> None:
    (point,) = statement.measure(engines=(8,), routers=(12,))
    parts = ("decode_us", "send_us", "read_us", "answer_us", "decide_us")
    assert point.values["sum_us"] == pytest.approx(sum(point.values[part] for part in parts))
    assert min(point.values.values()) > 0


def test_an_engine_list_grows_by_one_record_for_each_engine() -> None:
    few, many = engine_list.measure((20, 120))
    assert (many.values["whole_bytes"] - few.values["whole_bytes"]) / 100 == few.values["entry_bytes"]
    assert few.values["change_bytes"] == many.values["change_bytes"] < few.values["whole_bytes"]
    assert many.values["memory_kb_each"] > 0


def test_complete_statements_are_all_answered_by_a_real_router(processes: list[int]) -> None:
    (point,) = end_to_end.against_rate((100,))
    assert point.values["served_per_s"] == pytest.approx(100, rel=0.2)
    assert point.values["refused_per_s"] == 0
    assert 50 < point.values["cpu_us"] < 50_000


def test_connections_stay_open_and_are_all_answered(processes: list[int]) -> None:
    (point,) = connections.measure((120,))
    assert point.values["open"] == 120
    assert point.values["served"] + point.values["refused"] == 120
    assert point.values["busy_mb"] >= point.values["idle_mb"] >= 0


def test_a_start_is_timed_until_the_router_answers(processes: list[int]) -> None:
    (point,) = start.measure((30,))
    assert 0.05 < point.values["serves_s"] < 30
    assert point.values["cpu_s"] > 0 and point.values["rss_mb"] > 5


def test_a_measurement_is_written_as_a_record(tmp_path: Path) -> None:
    path = tmp_path / "made.json"
    arguments = ["measure", "enginelist", "--sizes", "8,16", "--seed", "3", "--json", str(path)]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0, result.output
    record = load_record(path)
    assert [point.sizes["engines"] for point in record.points] == [8, 16]
    assert record.seed == 3 and record.name == "enginelist" and record.machine.cores > 0


@pytest.mark.parametrize("sizes", ["x", "", "3,,4", "-1"])
def test_invalid_sizes_are_rejected(sizes: str) -> None:
    result = CliRunner().invoke(main, ["measure", "enginelist", "--sizes", sizes])
    assert result.exit_code == 2
    assert "Error" in result.output


def test_warming_engines_get_some_work_but_no_more_than_their_budget() -> None:
    (point,) = slow_start.measure((12,))
    assert 0 < point.values["most_over_bound"] <= 1
    assert 0 < point.values["sent_share"] < 1
