"""The replica store: copies converge, records of routers that are gone expire, and limits hold."""

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


def joined(*records: Record) -> Record:
    result = Record()
    for record in records:
        result.join(record)
    return result


@given(RECORDS, RECORDS, RECORDS)
def test_join_is_commutative_associative_and_idempotent(a: Record, b: Record, c: Record) -> None:
    assert joined(a, b, c) == joined(c, joined(b, a), a, b)


class Net:
    """Stores on one simulated clock; the network between them follows a seed and the test."""

    def __init__(self, seed: int, n: int, limits: Limits = LIMITS) -> None:
        self.rng, self.now, self.limits, self.numbers = Random(seed), 100.0, limits, count()
        self.loss, self.side = 0.0, [0] * n
        self.stores: dict[int, Store] = {}
        self.queue: list[tuple[float, int, int, Any]] = []
        self.published: list[dict[str, bytes]] = [{} for _ in range(n)]  # by each, as a model
        self.sent = 0
        for m in range(n):
            self.start(m)

    def start(self, m: int) -> None:
        self.stores[m] = Store(f"n{m}", self.limits, Random(self.rng.random()), self.now)
        self.published[m] = {}
        heappush(self.queue, (self.now, next(self.numbers), m, Woken()))

    def put(self, m: int, key: str, value: bytes | None) -> None:
        self.stores[m].publish(self.now, key, value)
        if value is None:
            self.published[m].pop(key, None)
        else:
            self.published[m][key] = value

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, m, event = heappop(self.queue)
            store = self.stores.get(m)
            if store is None:
                continue
            versions = {origin: record.version for origin, record in store.records.items()}
            reachable = tuple(f"n{o}" for o in self.stores if o != m and self.side[o] == self.side[m])
            for effect in store.step(self.now, [ReachableMembers(reachable), event]):
                if isinstance(effect, Send):
                    self.sent += 1
                    self.forward(m, int(effect.to[1:]), effect.message)
            assert all(
                store.records[origin].version >= version
                for origin, version in versions.items()
                if origin in store.records
            )
            if isinstance(event, Woken):
                heappush(
                    self.queue, (max(store.next_wake_at, self.now + 1e-3), next(self.numbers), m, Woken())
                )
        self.now = until

    def forward(self, a: int, b: int, message: Digest | Delta) -> None:
        for _ in range(1 + (self.rng.random() < 0.2)):  # some are duplicated, and the order changes
            if self.side[a] == self.side[b] and self.rng.random() >= self.loss:
                at = self.now + self.rng.uniform(0.001, 0.3)
                heappush(self.queue, (at, next(self.numbers), b, MessageReceived(f"n{a}", message)))

    def converged(self) -> bool:
        """Whether each holds what each publishes, and nothing else."""

        def values(store: Store, origin: str) -> dict[str, bytes]:
            record = store.records.get(origin, Record())
            return {
                key: value
                for key, (_, value) in record.entries.items()
                if key != HEARTBEAT_KEY and value is not None
            }

        return all(
            values(store, f"n{m}") == self.published[m] for store in self.stores.values() for m in self.stores
        ) and not any(
            int(origin[1:]) not in self.stores for store in self.stores.values() for origin in store.records
        )

    def until_converged(self, most: float) -> float:
        began = self.now
        while not self.converged():
            assert self.now - began < most, f"not converged within {most} s"
            self.run(0.25)
        return self.now - began


@pytest.mark.parametrize("seed", SEEDS)
def test_copies_converge_after_loss_partitions_and_restarts(seed: int) -> None:
    net = Net(seed, 3 + seed % 6)
    for _ in range(60):
        m = net.rng.choice(sorted(net.stores))
        key = f"k{net.rng.randrange(6)}"
        match net.rng.randrange(8):
            case 0 | 1 | 2:
                net.put(m, key, net.rng.randbytes(net.rng.choice([1, 20, 500])))
            case 3:
                net.put(m, key, None)
            case 4:
                net.start(m)  # a new process of the same name, without state
            case 5:
                net.side = [net.rng.randrange(3) for _ in net.side]
            case 6:
                net.side = [0] * len(net.side)
            case 7:
                net.loss = net.rng.choice([0.0, 0.3])
        net.run(net.rng.uniform(0.0, 2.0))
    net.side, net.loss = [0] * len(net.side), 0.0
    net.until_converged(30.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_record_of_a_router_that_is_gone_expires_everywhere_for_good(seed: int) -> None:
    net = Net(seed, 6)
    for m in range(6):
        net.put(m, "k", b"v")
    net.until_converged(20.0)
    del net.stores[3]
    net.run(LIMITS.ttl + 2 * LIMITS.exchange_interval + 1.0)
    assert not any("n3" in store.records for store in net.stores.values())
    net.run(10.0)
    assert net.converged()


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


@pytest.mark.parametrize("n", [2, 20, 100])
def test_large_records_and_large_fleets_are_exchanged_in_parts(n: int) -> None:
    net = Net(1, n)
    for key in range(12 if n < 100 else 1):
        net.put(0, f"k{key}", bytes(500))
    for m in range(n):
        net.put(m, "k", b"%d" % m)
    net.until_converged(60.0)


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


def test_bounds_of_keys_values_records_and_origins() -> None:
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


def test_tombstones_are_removed_in_time() -> None:
    net = Net(1, 3)
    for n in range(400):
        net.put(0, f"k{n}", b"x")
        net.put(0, f"k{n}", None)
        net.run(0.5)
    assert max(len(store.records["n0"].entries) for store in net.stores.values()) < 100
