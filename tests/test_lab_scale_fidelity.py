"""Hollow routers beside real ones send as many messages and bytes, and reach the same state."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from statistics import fmean

import pytest
from scale_relays import DENY, GRANT, REQUEST, Packet, Relays, digest_versions

from grebeproxy.lab.scale.addresses import engine_addresses
from grebeproxy.lab.scale.changelog_server import ChangeLog
from grebeproxy.lab.scale.deployment import DRAINING, EngineRecord
from grebeproxy.lab.scale.duty_target import DutyTarget
from grebeproxy.lab.scale.hollow_routers import HollowRouters
from grebeproxy.lab.scale.plans import MembershipPlan, RoutersPlan, router_name
from grebeproxy.lab.scale.processes import Worker, Workers
from grebeproxy.lab.scale.real_routers import RealRouterPlan, RealRouters

HOLLOW, REAL = 3, 3
ALL = HOLLOW + REAL
ENGINES = 40
WINDOW_S = 15.0
MAX_DIFFERENCE = 0.25  # relative, of packets and bytes, between the means of hollow and real routers
MAX_REPLIES_RATIO = 2.5  # between all replies of hollow routers and all of real ones
MAX_HEARTBEAT_DIFFERENCE = 2  # between connections to the change log: one at each end of the window
HEARTBEAT_BYTES = 13
MAX_VERSION_DIFFERENCE = 2  # between the replicated records of two routers


@dataclass(frozen=True)
class Stage:
    relays: Relays
    log: Worker
    hollow: Worker
    real: Worker
    names: list[str]

    def views(self) -> dict[str, tuple[str, str]]:
        """Members and condition as each router sees them."""
        hollow, real = self.hollow.call("views"), self.real.call("views")
        seen = {name: (" ".join(view.members), view.condition) for name, view in hollow.items()}
        return seen | {name: (view.members, view.condition) for name, view in real.items()}


def wait_until(condition: Callable[[], bool], description: str, timeout_s: float = 40.0) -> None:
    began = time.monotonic()
    while not condition():
        assert time.monotonic() - began < timeout_s, f"{description}: not within {timeout_s} s"
        time.sleep(0.1)


def free_port(kind: socket.SocketKind) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


@pytest.fixture
def stage() -> Iterator[Stage]:
    relays = Relays(ALL)
    try:
        with Workers() as workers:
            yield start(relays, workers)
    finally:
        relays.close()


def start(relays: Relays, workers: Workers) -> Stage:
    records = [EngineRecord(number, address) for number, address in enumerate(engine_addresses(ENGINES), 1)]
    log, duty = workers.start(ChangeLog), workers.start(DutyTarget)
    real = workers.start(RealRouters)
    changelog = log.call("listen", records)
    plan = MembershipPlan(ALL, 0.2, lease_s=1.2, settle_s=0.5, duty_report=duty.call("listen"))
    seeds = tuple(relays.addresses[:2])
    hollow = workers.start(HollowRouters, RoutersPlan(0, HOLLOW, ALL, 7, changelog, plan))
    relays.sockets += hollow.call("addresses")
    relays.sockets += [("127.0.0.1", free_port(socket.SOCK_DGRAM)) for _ in range(REAL)]
    names = [router_name(number) for number in range(HOLLOW)]
    names += [f"r{number:05d}" for number in range(HOLLOW, ALL)]
    plans = [
        RealRouterPlan(
            names[number],
            number,
            ALL,
            ("127.0.0.1", free_port(socket.SOCK_STREAM)),
            changelog,
            relays.sockets[number],
            relays.addresses[number],
            seeds,
            plan,
        )
        for number in range(HOLLOW, ALL)
    ]
    hollow.call("configure", [seeds] * HOLLOW, relays.addresses[:HOLLOW])
    real.send("start", plans)
    hollow.call("start")
    real.receive()
    return Stage(relays, log, hollow, real, names)


def agree(hollow: list[float], real: list[float], what: str) -> None:
    """The means of both kinds are within the bound of each other."""
    hollow_mean, real_mean = fmean(hollow), fmean(real)
    assert min(hollow_mean, real_mean) > 0.0, f"{what}: hollow {hollow}, real {real}"
    bound = MAX_DIFFERENCE * max(hollow_mean, real_mean)
    assert abs(hollow_mean - real_mean) <= bound, f"{what}: hollow {hollow}, real {real}"


def totals(packets: list[Packet], sender: int, group: str) -> tuple[int, int]:
    sizes = [packet.size for packet in packets if packet.sender == sender and packet.group == group]
    return len(sizes), sum(sizes)


def compare_packets(packets: list[Packet]) -> None:
    """Packets and bytes of membership, and of digests that begin an anti-entropy exchange, by router."""
    for group in ("membership", "digests"):
        for position, unit in enumerate(("packets", "bytes")):
            sent = [float(totals(packets, sender, group)[position]) for sender in range(ALL)]
            agree(sent[:HOLLOW], sent[HOLLOW:], f"{group} {unit}")


def compare_replies(packets: list[Packet]) -> None:
    """Who replies first is random, so the bound is wide for the number and the usual one for bytes each."""
    replies = [totals(packets, sender, "replies") for sender in range(ALL)]
    hollow, real = replies[:HOLLOW], replies[HOLLOW:]
    counts = sum(count for count, _ in hollow), sum(count for count, _ in real)
    assert 0 < max(counts) <= MAX_REPLIES_RATIO * min(counts), replies
    sizes = [
        sum(size for _, size in part) / count for part, count in zip((hollow, real), counts, strict=True)
    ]
    agree(sizes[:1], sizes[1:], "bytes of a reply")


def compare_votes(packets: list[Packet]) -> None:
    """Leases: one router requests votes of all others, so the answers to a request are compared."""
    votes = [packet for packet in packets if packet.group == "leases"]
    requests = [packet for packet in votes if packet.payload[3][0] == REQUEST]
    answers = [packet for packet in votes if packet.payload[3][0] in (GRANT, DENY)]
    hollow, real = (votes_of(requests, answers, kind) for kind in (range(HOLLOW), range(HOLLOW, ALL)))
    for position, unit in enumerate(("answers to a request", "bytes of answers to a request")):
        agree([hollow[position]], [real[position]], f"leases, {unit}")


def votes_of(requests: list[Packet], answers: list[Packet], routers: range) -> tuple[float, float]:
    """Packets and bytes that these routers answered for each request they received."""
    received = sum(packet.receiver in routers for packet in requests)
    sizes = [packet.size for packet in answers if packet.sender in routers]
    return len(sizes) / max(1, received), sum(sizes) / max(1, received)


def test_hollow_and_real_routers_agree_in_messages_bytes_and_state(stage: Stage) -> None:
    settled = {name: (" ".join(stage.names), "settled") for name in stage.names}
    wait_until(lambda: stage.views() == settled, "all settled")
    time.sleep(1.5)  # the lease is granted, and the gossip about the joins has ended

    # Messages and bytes in a quiet time.
    began, log_before = time.monotonic(), stage.log.call("bytes_by_port")
    time.sleep(WINDOW_S)
    log_after, packets = stage.log.call("bytes_by_port"), stage.relays.between(began, time.monotonic())
    compare_packets(packets)
    compare_replies(packets)
    compare_votes(packets)
    assert len(log_before) == ALL and log_before.keys() == log_after.keys()
    read = [log_after[port] - log_before[port] for port in log_before]
    assert max(read) - min(read) <= MAX_HEARTBEAT_DIFFERENCE * HEARTBEAT_BYTES and min(read) > 0, read

    # The same replicated records: the same origins and incarnations, two versions apart at most.
    digests = [digest_versions(packets, sender) for sender in range(ALL)]
    assert {frozenset(versions) for versions in digests} == {frozenset(stage.names)}
    for origin in stage.names:
        replicas = [versions[origin] for versions in digests]
        assert len({version[:2] for version in replicas}) == 1
        latest = [top for _, _, top in replicas]
        assert max(latest) - min(latest) <= MAX_VERSION_DIFFERENCE

    # The engine list: after two changes all name the last of them when they connect again.
    for number in (1, 2):
        published = stage.log.call("set_state", [number], DRAINING)
    wait_until(
        lambda: len(stage.hollow.call("applied", published.seq)) == HOLLOW, "the change at hollow routers"
    )
    time.sleep(0.5)
    stage.log.call("disconnect_all")
    wait_until(
        lambda: stage.log.call("hellos") == [published.seq] * ALL, "all connected again after the change"
    )

    # One is killed: all the others see the same.
    stage.hollow.call("kill", [stage.names[0]])
    rest = {name: (" ".join(stage.names[1:]), "settled") for name in stage.names[1:]}
    wait_until(lambda: stage.views() == rest, "all settled without the killed one")
