"""Tests of the replica store: copies converge, records of stopped routers expire, and limits are kept."""

from __future__ import annotations

from dataclasses import replace
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from grebeproxy.replica import (
    Delta,
    Digest,
    Entry,
    Incarnation,
    KeyChange,
    Limits,
    MessageReceived,
    OriginChanged,
    ReachableMembers,
    Record,
    Send,
    Store,
    Version,
    Woken,
)
from grebeproxy.replica.records import HEARTBEAT_KEY

LIMITS = Limits()
SEEDS = range(60)
INCARNATION = Incarnation(0, 7)
ENTRIES = st.dictionaries(
    st.sampled_from("abc"),
    st.builds(Entry, st.integers(0, 5), st.one_of(st.none(), st.binary(max_size=2))),
    max_size=3,
)
INCARNATIONS = st.builds(Incarnation, st.integers(0, 1), st.integers(0, 1))
VERSIONS = st.builds(Version, st.integers(0, 1), st.integers(0, 1), st.integers(0, 9))
RECORDS = st.builds(Record, VERSIONS, st.floats(0, 9), ENTRIES)


def join_all(*records: Record) -> Record:
    result = Record()
    for record in records:
        result.join(record)
    return result


@given(RECORDS, RECORDS, RECORDS)
def test_join_is_commutative_associative_and_idempotent(a: Record, b: Record, c: Record) -> None:
    assert join_all(a, b, c) == join_all(c, join_all(b, a), a, b)


class SimulatedNetwork:
    """Stores on one simulated clock. A seed and the test determine the faults of the network between them."""

    def __init__(self, seed: int, size: int, limits: Limits = LIMITS) -> None:
        self.rng, self.now, self.limits, self.numbers = Random(seed), 100.0, limits, count()
        self.loss, self.partition_of = 0.0, [0] * size
        self.stores: dict[int, Store] = {}
        self.queue: list[tuple[float, int, int, Any]] = []
        # What each router publishes, as the expected state.
        self.published: list[dict[str, bytes]] = [{} for _ in range(size)]
        self.sent = 0
        for router in range(size):
            self.start(router)

    def start(self, router: int) -> None:
        self.stores[router] = Store(f"n{router}", self.limits, Random(self.rng.random()), self.now)
        self.published[router] = {}
        heappush(self.queue, (self.now, next(self.numbers), router, Woken()))

    def publish(self, router: int, key: str, value: bytes | None) -> None:
        self.stores[router].publish(self.now, key, value)
        if value is None:
            self.published[router].pop(key, None)
        else:
            self.published[router][key] = value

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, router, event = heappop(self.queue)
            store = self.stores.get(router)
            if store is None:
                continue
            versions = {origin: record.version for origin, record in store.records.items()}
            reachable = tuple(
                f"n{other}"
                for other in self.stores
                if other != router and self.partition_of[other] == self.partition_of[router]
            )
            for effect in store.step(self.now, [ReachableMembers(reachable), event]):
                if isinstance(effect, Send):
                    self.sent += 1
                    self.send(router, int(effect.to[1:]), effect.message)
            assert all(
                store.records[origin].version >= version
                for origin, version in versions.items()
                if origin in store.records
            )
            if isinstance(event, Woken):
                heappush(
                    self.queue,
                    (max(store.next_wake_at, self.now + 1e-3), next(self.numbers), router, Woken()),
                )
        self.now = until

    def send(self, sender: int, receiver: int, message: Digest | Delta) -> None:
        # Some messages are duplicated, and their order changes.
        for _ in range(1 + (self.rng.random() < 0.2)):
            if self.partition_of[sender] == self.partition_of[receiver] and self.rng.random() >= self.loss:
                at = self.now + self.rng.uniform(0.001, 0.3)
                heappush(
                    self.queue, (at, next(self.numbers), receiver, MessageReceived(f"n{sender}", message))
                )

    def converged(self) -> bool:
        """Whether each router holds what all routers publish, and nothing else."""

        def values(store: Store, origin: str) -> dict[str, bytes]:
            record = store.records.get(origin, Record())
            return {
                key: value
                for key, (_, value) in record.entries.items()
                if key != HEARTBEAT_KEY and value is not None
            }

        return all(
            values(store, f"n{router}") == self.published[router]
            for store in self.stores.values()
            for router in self.stores
        ) and not any(
            int(origin[1:]) not in self.stores for store in self.stores.values() for origin in store.records
        )

    def run_until_converged(self, max_seconds: float) -> float:
        began = self.now
        while not self.converged():
            assert self.now - began < max_seconds, f"not converged within {max_seconds} s"
            self.run(0.25)
        return self.now - began


@pytest.mark.parametrize("seed", SEEDS)
def test_copies_converge_after_loss_partitions_and_restarts(seed: int) -> None:
    network = SimulatedNetwork(seed, 3 + seed % 6)
    for _ in range(60):
        router = network.rng.choice(sorted(network.stores))
        key = f"k{network.rng.randrange(6)}"
        match network.rng.randrange(8):
            case 0 | 1 | 2:
                network.publish(router, key, network.rng.randbytes(network.rng.choice([1, 20, 500])))
            case 3:
                network.publish(router, key, None)
            case 4:
                network.start(router)  # A new process of the same name starts without state.
            case 5:
                network.partition_of = [network.rng.randrange(3) for _ in network.partition_of]
            case 6:
                network.partition_of = [0] * len(network.partition_of)
            case 7:
                network.loss = network.rng.choice([0.0, 0.3])
        network.run(network.rng.uniform(0.0, 2.0))
    network.partition_of, network.loss = [0] * len(network.partition_of), 0.0
    network.run_until_converged(30.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_record_of_a_stopped_router_expires_at_all_routers(seed: int) -> None:
    network = SimulatedNetwork(seed, 6)
    for router in range(6):
        network.publish(router, "k", b"v")
    network.run_until_converged(20.0)
    del network.stores[3]
    network.run(LIMITS.ttl + 2 * LIMITS.exchange_interval + 1.0)
    assert not any("n3" in store.records for store in network.stores.values())
    network.run(10.0)
    assert network.converged()


def test_a_delta_as_old_as_the_ttl_is_rejected() -> None:
    store = Store("n0", LIMITS, Random(1), 0.0)
    old = Delta("n1", INCARNATION, 0, 3, LIMITS.ttl, (KeyChange("k", 3, b"v"),))
    assert not [e for e in store.step(1.0, [MessageReceived("n2", old)]) if isinstance(e, OriginChanged)]
    store.step(1.0, [MessageReceived("n2", replace(old, age=LIMITS.ttl - 1.0))])
    assert store.get("n1", "k") == b"v"
    assert store.step(2.5, [Woken()]) == [OriginChanged("n1")] and store.get("n1", "k") is None


def test_a_delta_with_a_gap_before_it_is_rejected() -> None:
    store = Store("n0", LIMITS, Random(1), 0.0)
    store.step(0.0, [MessageReceived("n1", Delta("n1", INCARNATION, 4, 5, 0.0, (KeyChange("k", 5, b"v"),)))])
    assert "n1" not in store.records


@pytest.mark.parametrize("size", [2, 20, 100])
def test_large_records_and_large_fleets_are_exchanged_in_several_packets(size: int) -> None:
    network = SimulatedNetwork(1, size)
    for key in range(12 if size < 100 else 1):
        network.publish(0, f"k{key}", bytes(500))
    for router in range(size):
        network.publish(router, "k", b"%d" % router)
    network.run_until_converged(60.0)


DELTAS = st.tuples(
    st.sampled_from(["n1", "n2", "n0"]),
    INCARNATIONS,
    st.integers(-1, 9),
    st.integers(-1, 9),
    st.floats(-1, 20),
    st.lists(
        st.builds(
            KeyChange,
            st.sampled_from(["", "a", "b"]),
            st.integers(0, 9),
            st.one_of(st.none(), st.binary(max_size=3)),
        ),
        max_size=3,
    ),
)


@given(st.lists(DELTAS, max_size=20))
def test_copies_hold_only_what_was_received(deltas: list[Any]) -> None:
    store = Store("n0", LIMITS, Random(1), 0.0)
    store.publish(0.0, "mine", b"v")
    for origin, incarnation, base, top, age, entries in deltas:
        store.step(0.0, [MessageReceived("n3", Delta(origin, incarnation, base, top, age, tuple(entries)))])
    values = {(origin, key, value) for origin, _, _, _, _, entries in deltas for key, _, value in entries}
    for origin, record in store.records.items():
        if origin != "n0":
            assert {(origin, key, value) for key, (_, value) in record.entries.items()} <= values
    assert store.get("n0", "mine") == b"v"
    assert store.records["n0"].entries.keys() <= {"mine", ""}


def test_limits_of_keys_values_records_and_origins() -> None:
    limits = Limits(origins=4, keys=5, value=10, record=100)
    store = Store("n0", limits, Random(1), 0.0)
    for key, value in (("", b""), ("k" * 65, b""), ("k", b"x" * 11)):
        with pytest.raises(ValueError, match="at most|must have"):
            store.publish(0.0, key, value)
    for n in range(4):
        store.publish(0.0, f"k{n}", b"x")
    with pytest.raises(ValueError, match="keys at most"):
        store.publish(0.0, "k4", b"x")
    many = tuple(KeyChange(f"k{n}", n + 1, b"") for n in range(6))
    large = tuple(KeyChange(f"k{n}", n + 1, b"x" * 30) for n in range(4))
    for origin, entries in (("n1", many), ("n2", large)):
        store.step(0.0, [MessageReceived("n9", Delta(origin, INCARNATION, 0, 9, 0.0, entries))])
        assert origin not in store.records
    for n in range(1, 9):
        store.step(
            0.0, [MessageReceived("n9", Delta(f"n{n}", INCARNATION, 0, 1, 0.0, (KeyChange("k", 1, b"v"),)))]
        )
    assert len(store.records) == 4 and store.rejected == 2 + 5


def test_tombstones_are_removed_after_their_lifetime() -> None:
    network = SimulatedNetwork(1, 3)
    for n in range(400):
        network.publish(0, f"k{n}", b"x")
        network.publish(0, f"k{n}", None)
        network.run(0.5)
    assert max(len(store.records["n0"].entries) for store in network.stores.values()) < 100
