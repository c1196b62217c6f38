"""Tests of the simulated fleets that measure the control code for the capacity page."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from grebeproxy.lab.__main__ import main
from grebeproxy.lab.control import handover, lease, membership, memory, outage, replica
from grebeproxy.lab.control.addresses import address, name, zone
from grebeproxy.lab.control.converged import KEY_NAME
from grebeproxy.lab.control.errors import NotReachedError
from grebeproxy.lab.control.fleet import DUTY, Fleet
from grebeproxy.lab.control.model import Network
from grebeproxy.lab.control.usage import TRAFFIC_OF_PAYLOAD, Traffic, Usage
from grebeproxy.lab.record import load_record
from grebeproxy.membership.model import Condition, Fact, Kind, Message, State
from grebeproxy.membership.wire import REPLAY_WINDOW, PacketCodec, pack_message
from grebeproxy.peers import node
from grebeproxy.replica import Limits

FLEET_SIZE = 24


def start_converged_fleet(size: int = FLEET_SIZE, seed: int = 1) -> Fleet:
    fleet = Fleet(size, seed)
    fleet.start_converged()
    return fleet


def ping_payload(sender: int, target: int) -> list[object]:
    fact = Fact(name(sender), address(sender), 1, 0, State.ALIVE)
    return [node.MEMBER, pack_message(Message(Kind.PING, fact, number=1, target=name(target)))]


def usage_without_cpu(fleet: Fleet) -> list[Usage]:
    """Return what each router used, with CPU time set to 0 because it differs between runs."""
    usage = [fleet.usage([router]) for router in sorted(fleet.processes)]
    for counted in usage:
        counted.cpu_ns = 0
    return usage


def test_routers_that_know_only_the_seeds_learn_of_all_routers() -> None:
    fleet = Fleet(FLEET_SIZE, seed=1)
    fleet.start(*range(FLEET_SIZE))
    fleet.run_until(lambda: fleet.has_converged(range(FLEET_SIZE)), 30.0)
    assert len(fleet.members_seen_by(0)) == FLEET_SIZE


def test_a_fleet_started_as_converged_sends_as_much_as_one_that_has_converged() -> None:
    started, preset = Fleet(FLEET_SIZE, seed=1), start_converged_fleet()
    started.start(*range(FLEET_SIZE))
    started.run(60.0)
    preset.run(20.0)
    rates = []
    for fleet in (started, preset):
        before = fleet.usage(range(FLEET_SIZE))
        fleet.run(40.0)
        rates.append(fleet.usage(range(FLEET_SIZE)) - before)
    assert started.has_converged(range(FLEET_SIZE)) and preset.has_converged(range(FLEET_SIZE))
    assert rates[0].packets_sent == pytest.approx(rates[1].packets_sent, rel=0.03)
    assert rates[0].bytes_sent == pytest.approx(rates[1].bytes_sent, rel=0.03)


def test_counted_bytes_are_those_of_sealed_packets(monkeypatch: pytest.MonkeyPatch) -> None:
    sealed_lengths: list[int] = []
    seal = PacketCodec.seal

    def counting(self: PacketCodec, payload: object) -> bytes:
        packet = seal(self, payload)
        sealed_lengths.append(len(packet))
        return packet

    monkeypatch.setattr(PacketCodec, "seal", counting)
    fleet = Fleet(FLEET_SIZE, seed=1, limits=Limits(), duties=(DUTY,), key_bytes=16)
    fleet.start_converged()
    fleet.request_lease(0)
    fleet.run(5.0)
    used = fleet.usage(range(FLEET_SIZE))
    assert (used.packets_sent, used.bytes_sent) == (len(sealed_lengths), sum(sealed_lengths))
    for kind in Traffic:
        assert fleet.usage(range(FLEET_SIZE), [kind]).packets_sent > 0


def test_each_packet_arrives_within_the_delay_or_is_lost() -> None:
    fleet = start_converged_fleet()
    fleet.run(10.0)
    for process in fleet.processes.values():
        process.wake_at = float("inf")  # no further timer fires
    fleet.run(0.1)
    used = fleet.usage(range(FLEET_SIZE))
    assert (used.packets_received, used.bytes_received) == (used.packets_sent, used.bytes_sent)
    lossy = Fleet(FLEET_SIZE, seed=1, network=Network(loss=0.2))
    lossy.start_converged()
    lossy.run(30.0)
    lost = lossy.usage(range(FLEET_SIZE))
    assert lost.packets_received / lost.packets_sent == pytest.approx(0.8, abs=0.03)


def test_a_packet_that_is_late_by_more_than_the_window_is_rejected_and_counted() -> None:
    fleet = start_converged_fleet()
    fleet._queue.clear()
    sender = fleet.processes[1]
    fleet._send(sender, address(0), ping_payload(1, 0))
    sender.codec._number += REPLAY_WINDOW  # as if the sender had sent this many packets to other routers
    fleet._send(sender, address(0), ping_payload(1, 0))
    first, late = sorted(fleet._queue, key=lambda arrival: arrival[1], reverse=True)
    before = fleet.usage([0]).packets_received
    for *_, packet in (first, late):
        fleet._deliver(fleet.processes[0], packet)
    assert (fleet.usage([0]).packets_received - before, fleet.rejected_packets) == (1, 1)


def test_the_same_seed_gives_the_same_run_and_another_one_does_not() -> None:
    fleets = [start_converged_fleet(seed=seed) for seed in (7, 7, 8)]
    for fleet in fleets:
        fleet.run(5.0)
        fleet.kill(3)
        fleet.run(15.0)
        fleet.start(3)
        fleet.run(5.0)
    first, again, other = (usage_without_cpu(fleet) for fleet in fleets)
    assert first == again
    assert first != other
    assert fleets[0].failure_reports == fleets[1].failure_reports


def test_a_partitioned_zone_is_a_minority_and_rejoins_when_the_partition_heals() -> None:
    fleet = start_converged_fleet()
    fleet.run(3.0)
    remaining = [router for router in range(FLEET_SIZE) if zone(router) != 0]
    fleet.partitioned = lambda sender, receiver: (zone(sender) == 0) != (zone(receiver) == 0)
    fleet.run_until(lambda: fleet.has_converged(remaining), 60.0)
    partitioned = fleet.processes[0].node.view
    assert partitioned.condition in (Condition.MINORITY, Condition.ALONE)
    assert fleet.processes[remaining[0]].node.view.quorate
    assert {report.failed for report in fleet.failure_reports if report.reporter in remaining} == {
        name(router) for router in range(FLEET_SIZE) if zone(router) == 0
    }
    fleet.partitioned = None
    fleet.run_until(lambda: fleet.has_converged(range(FLEET_SIZE)), 60.0)


def test_a_condition_that_is_not_reached_is_an_error_with_its_time_limit() -> None:
    fleet = start_converged_fleet()
    started_at = fleet.now
    with pytest.raises(NotReachedError, match="not within 2 s with 24 routers"):
        fleet.run_until(lambda: False, 2.0)
    assert fleet.now - started_at == pytest.approx(2.0, abs=0.1)


def test_membership_points_hold_a_quiet_fleet_a_failure_and_a_join() -> None:
    values, resident = membership.measure(FLEET_SIZE, seed=1)
    assert values.sizes == {"members": FLEET_SIZE}
    assert 4.0 < values.values["quiet_packets_per_s"] < 4.5
    assert 0 < values.values["failure_known_to_first_s"] <= values.values["failure_known_to_all_s"]
    assert values.values["failure_known_to_all_s"] <= values.values["failure_known_to_all_most_s"] < 20.0
    assert values.values["false_alarms"] == 0
    # Each fact holds at least the name and the address of a member.
    assert values.values["join_received_bytes"] > (FLEET_SIZE - 1) * len(name(0) + "10.0.0.0")
    assert resident.sizes == {"members": FLEET_SIZE * memory.MEMORY_FACTOR}
    assert resident.values["memory_kb"] > 0


def test_a_lease_is_renewed_with_a_packet_to_each_other_member_and_is_taken_over() -> None:
    [point] = lease.measure(FLEET_SIZE, seed=1)
    assert point.values["renewal_packets_sent"] == pytest.approx(FLEET_SIZE - 1, abs=0.2 * FLEET_SIZE)
    assert 1.0 < point.values["takeover_s"] <= point.values["takeover_most_s"]
    assert point.values["takeover_packets"] >= FLEET_SIZE - 1


def test_a_handover_is_detection_and_decision_and_a_graceful_one_needs_no_detection() -> None:
    [point] = handover.measure(FLEET_SIZE, seed=1)
    assert point.values["stopped_detection_s"] < 0.1 < point.values["failed_detection_s"]
    parts = point.values["failed_detection_s"] + point.values["failed_decision_s"]
    assert 0.9 * parts <= point.values["failed_most_s"] < 30.0
    assert 50.0 < point.values["failed_promised_percent"] <= 100.0


def test_each_router_stores_the_keys_of_all_and_a_change_reaches_all() -> None:
    point, resident = replica.measure(FLEET_SIZE, seed=1)
    assert point.values["copies_held_percent"] == point.values["change_reached_percent"] == 100.0
    assert 0 < point.values["change_to_all_s"] < 10.0
    assert point.values["join_received_bytes"] > FLEET_SIZE * replica.KEY_BYTES
    assert resident.values["memory_kb"] > 0


def test_published_keys_are_the_same_at_all_routers_from_the_start() -> None:
    fleet = Fleet(FLEET_SIZE, seed=1, limits=Limits(), key_bytes=16)
    fleet.start_converged()
    keys = [process.node.store.values_by_origin(KEY_NAME) for process in fleet.processes.values()]
    assert len(keys[0]) == FLEET_SIZE and all(stored == keys[0] for stored in keys)


def test_of_two_partitioned_regions_neither_is_quorate_and_views_agree_after_healing() -> None:
    [point] = outage.measure_regions(FLEET_SIZE, seed=1)
    assert point.values["regions_parted_quorate_routers"] == 0
    for outcome in ("regions_parted_s", "regions_healed_s"):
        assert 0 < point.values[outcome] < outage.MAX_SECONDS


def test_fleets_converge_after_outages_and_the_busiest_router_sends_no_less_than_the_mean() -> None:
    [restart], [zone_outage] = (
        outage.measure_restart(FLEET_SIZE, seed=1),
        outage.measure_zone(FLEET_SIZE, seed=1),
    )
    values = {**restart.values, **zone_outage.values}
    for outcome in ("all_restart", "rack_lost", "rack_returned", "zone_lost", "zone_returned"):
        assert 0 < values[f"{outcome}_s"] < outage.MAX_SECONDS
        assert values[f"{outcome}_most_bytes"] >= values[f"{outcome}_bytes"] > 0


def test_memory_grows_with_the_number_of_members_and_with_replicated_keys() -> None:
    few, many = memory.membership_bytes(50, seed=1), memory.membership_bytes(200, seed=1)
    assert 150 * 100 < many - few < 150 * 4000  # bytes for each further member
    assert memory.replica_bytes(200, seed=1, key_bytes=16) > many


def test_a_command_writes_its_record(tmp_path: Path) -> None:
    path = tmp_path / "control-membership.json"
    command = [sys.executable, "-m", "grebeproxy.lab", "control", "membership"]
    arguments = ["--sizes", "24", "--seed", "3", "--json", str(path)]
    done = subprocess.run([*command, *arguments], capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr
    assert "membership: 24 routers took" in done.stderr
    assert "members=24 quiet_packets_per_s=" in done.stdout
    record = load_record(path)
    assert (record.name, record.seed) == ("control-membership", 3)
    assert [point.sizes["members"] for point in record.points] == [24, 24 * memory.MEMORY_FACTOR]


@pytest.mark.parametrize(
    "arguments",
    [
        ("nonsense",),
        (),
        ("lease", "--sizes", "5"),
        ("lease", "--sizes", "2401"),
        ("lease", "--sizes", "many"),
        ("lease", "--seed", "x"),
        ("lease", "--unknown"),
    ],
)
def test_bad_arguments_are_reported_on_one_line(arguments: tuple[str, ...]) -> None:
    done = CliRunner().invoke(main, ["control", *arguments])
    assert done.exit_code == 2
    assert done.stderr.startswith("Error: ") and done.stderr.count("\n") == 1
    assert done.stdout == ""


def test_node_payload_kinds_are_all_counted() -> None:
    kinds = {node.MEMBER, node.VOTE, node.DIGEST, node.DELTA}
    assert TRAFFIC_OF_PAYLOAD.keys() == kinds
