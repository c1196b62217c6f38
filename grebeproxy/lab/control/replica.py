"""Measures replicated state with one small key for each router: a quiet fleet, a change, and a join."""

from __future__ import annotations

from grebeproxy.lab.control import memory
from grebeproxy.lab.control.addresses import name
from grebeproxy.lab.control.converged import KEY_NAME
from grebeproxy.lab.control.errors import NotReachedError
from grebeproxy.lab.control.fleet import Fleet
from grebeproxy.lab.control.usage import Traffic
from grebeproxy.lab.record import KIBIBYTE, Point
from grebeproxy.replica import Limits

SIZES = (30, 60, 120, 240)
KEY_BYTES = 16
# Largest fleet in which a change and a join are measured. In larger ones only the quiet fleet is measured,
# which bounds the time of the run.
MAX_CHANGE_SIZE = 240
SETTLING_SECONDS = 6.0
EXPIRY_SECONDS = 16.0  # after this time, a copy that was not refreshed has expired
QUIET_SECONDS = 5.0
MAX_CHANGE_SECONDS = 20.0
MAX_JOIN_SECONDS = 10.0
TRAFFIC_KINDS = (Traffic.REPLICA,)


def measure(size: int, seed: int) -> list[Point]:
    """Measure a quiet fleet, a change and a join in a fleet of one size, and the memory of one router."""
    fleet = Fleet(size, seed, limits=Limits(), key_bytes=KEY_BYTES)
    fleet.start_converged()
    fleet.run(SETTLING_SECONDS if size <= MAX_CHANGE_SIZE else EXPIRY_SECONDS)
    values = _quiet_values(fleet)
    if size <= MAX_CHANGE_SIZE:
        values |= _change_values(fleet)
        values |= _join_values(fleet)
    members = memory.MEMORY_FACTOR * size
    membership_bytes = memory.membership_bytes(members, seed)
    copies_bytes = memory.replica_bytes(members, seed, KEY_BYTES) - membership_bytes
    resident = {"memory_kb": copies_bytes / KIBIBYTE}
    return [Point({"members": size}, values), Point({"members": members}, resident)]


def _quiet_values(fleet: Fleet) -> dict[str, float]:
    routers = range(fleet.size)
    before = fleet.usage(routers, TRAFFIC_KINDS)
    fleet.run(QUIET_SECONDS)
    used = fleet.usage(routers, TRAFFIC_KINDS) - before
    return {
        **used.rates("quiet", fleet.size * QUIET_SECONDS),
        "copies_held_percent": 100.0 * _stored_fraction(fleet),
    }


def _stored_fraction(fleet: Fleet) -> float:
    """Return the fraction of all copies of keys that routers store; 1 if each stores the keys of all."""
    stored = sum(len(process.node.store.values_by_origin(KEY_NAME)) for process in fleet.processes.values())
    return stored / len(fleet.processes) / fleet.size


def _change_values(fleet: Fleet) -> dict[str, float]:
    """Change router 0's key. Omit the time if a router lacks the value after ``MAX_CHANGE_SECONDS``."""
    value = b"\xff" * KEY_BYTES
    fleet.processes[0].node.store.publish(fleet.now, KEY_NAME, value)

    def reached() -> float:
        stores = [process.node.store for process in fleet.processes.values()]
        return sum(store.get(name(0), KEY_NAME) == value for store in stores) / len(stores)

    try:
        seconds = fleet.run_until(lambda: reached() == 1.0, MAX_CHANGE_SECONDS)
    except NotReachedError:
        return {"change_reached_percent": 100.0 * reached()}
    return {"change_to_all_s": seconds, "change_reached_percent": 100.0}


def _join_values(fleet: Fleet) -> dict[str, float]:
    """Restart one router. Its new process knows only the seeds."""
    router = fleet.size // 2
    fleet.start(router)
    process = fleet.processes[router]

    def copies() -> int:
        return len(process.node.store.values_by_origin(KEY_NAME))

    values: dict[str, float] = {}
    try:
        values["join_s"] = fleet.run_until(lambda: copies() >= fleet.size - 1, MAX_JOIN_SECONDS)
    except NotReachedError:
        values["join_copies_percent"] = 100.0 * copies() / fleet.size
    values["join_received_bytes"] = process.account.total(TRAFFIC_KINDS).bytes_received
    return values
