"""Replicated state with one small key for each router: quiet, a change, and a join."""

from __future__ import annotations

from grebeproxy.lab.control import memory
from grebeproxy.lab.control.fleet import KEY_NAME, Fleet, NotReachedError, name
from grebeproxy.lab.control.usage import Traffic
from grebeproxy.lab.record import Point
from grebeproxy.replica import Limits

SIZES = (30, 60, 120, 240)
KEY_BYTES = 16
MOST_CHANGE_SIZE = 240  # above it only the quiet fleet is measured, for the sake of the run's time
SETTLING_SECONDS = 6.0
EXPIRY_SECONDS = 16.0  # a copy that was not refreshed has expired after it
QUIET_SECONDS = 5.0
MOST_SECONDS = 20.0
MOST_JOIN_SECONDS = 10.0
MEMORY_TIMES = 4
NANOSECONDS_PERCENT = 1e7
KINDS = (Traffic.REPLICA,)


def measure(size: int, seed: int) -> list[Point]:
    """All points of one size."""
    fleet = Fleet(size, seed, limits=Limits(), key_bytes=KEY_BYTES)
    fleet.start_acquainted()
    fleet.run(SETTLING_SECONDS if size <= MOST_CHANGE_SIZE else EXPIRY_SECONDS)
    values = _quiet_values(fleet)
    if size <= MOST_CHANGE_SIZE:
        values |= {**_change_values(fleet), **_join_values(fleet)}
    members = MEMORY_TIMES * size
    only_members = memory.membership_bytes(members, seed)
    copies = memory.replica_bytes(members, seed, KEY_BYTES) - only_members
    return [Point({"members": size}, values), Point({"members": members}, {"memory_kb": copies / 1024})]


def _quiet_values(fleet: Fleet) -> dict[str, float]:
    everyone = range(fleet.size)
    before = fleet.usage(everyone, KINDS)
    fleet.run(QUIET_SECONDS)
    used = fleet.usage(everyone, KINDS) - before
    router_seconds = fleet.size * QUIET_SECONDS
    return {
        "quiet_packets_per_s": used.packets_sent / router_seconds,
        "quiet_bytes_per_s": used.bytes_sent / router_seconds,
        "quiet_cpu_percent": used.cpu_ns / router_seconds / NANOSECONDS_PERCENT,
        "copies_held_percent": 100.0 * _copies_held(fleet),
    }


def _copies_held(fleet: Fleet) -> float:
    """The part of all copies of keys that routers hold; 1 where each holds those of all."""
    held = sum(len(process.node.store.all(KEY_NAME)) for process in fleet.processes.values())
    return held / len(fleet.processes) / fleet.size


def _change_values(fleet: Fleet) -> dict[str, float]:
    """Change router 0's key; without a time where some router has not got it in ``MOST_SECONDS``."""
    value = b"\xff" * KEY_BYTES
    fleet.processes[0].node.store.publish(fleet.now, KEY_NAME, value)

    def reached() -> float:
        stores = [process.node.store for process in fleet.processes.values()]
        return sum(store.get(name(0), KEY_NAME) == value for store in stores) / len(stores)

    try:
        seconds = fleet.run_until(lambda: reached() == 1.0, MOST_SECONDS)
    except NotReachedError:
        return {"change_reached_percent": 100.0 * reached()}
    return {"change_to_all_s": seconds, "change_reached_percent": 100.0}


def _join_values(fleet: Fleet) -> dict[str, float]:
    """Start one router anew, with nothing."""
    router = fleet.size // 2
    fleet.start(router)
    process = fleet.processes[router]
    values: dict[str, float] = {}
    try:
        values["join_s"] = fleet.run_until(
            lambda: len(process.node.store.all(KEY_NAME)) >= fleet.size - 1, MOST_JOIN_SECONDS
        )
    except NotReachedError:
        values["join_copies_percent"] = 100.0 * len(process.node.store.all(KEY_NAME)) / fleet.size
    values["join_received_bytes"] = process.account.total(KINDS).bytes_received
    return values
