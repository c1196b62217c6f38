"""One router's copies of all routers' records, as a state machine: ``step(now, events)`` returns effects.

About every ``Limits.exchange_interval`` seconds the store sends digests to one other member. That member
answers with the changes that the store lacks and requests those that it lacks itself. Each origin refreshes
its record regularly. A copy that was not refreshed for ``Limits.ttl`` seconds expires, and a delta of that
age is not accepted from others. Without this rule, routers would keep alive the record of a router that no
longer runs, by forwarding it to each other.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from grebeproxy.replica.deltas import apply_delta, can_apply, has_same_values, is_acceptable, is_within
from grebeproxy.replica.exchange import Exchange
from grebeproxy.replica.expiry import Tombstones, expired_origins
from grebeproxy.replica.interface import (
    Effect,
    Event,
    Limits,
    MessageReceived,
    OriginChanged,
    ReachableMembers,
    Send,
)
from grebeproxy.replica.own_record import OwnRecord
from grebeproxy.replica.records import NO_ENTRY, Delta, Digest, Record, Version

NONCE_BITS = 48
# Each interval is a random 0.75 to 1.25 of ``Limits.exchange_interval``.
MIN_INTERVAL_FACTOR, INTERVAL_FACTOR_SPREAD = 0.75, 0.5


class Store:
    """All records, including this router's own. Clock and randomness are passed in; there is no I/O."""

    def __init__(self, name: str, limits: Limits, rng: Random, now: float) -> None:
        self.name = name
        self.limits = limits
        self.rng = rng
        self.now = now
        own_record = Record(Version(0, rng.getrandbits(NONCE_BITS), 0), now)
        self.records: dict[str, Record] = {name: own_record}
        self.next_wake_at = now  # time in seconds at which the store needs its next step
        self.rejected = 0  # number of deltas rejected because they would exceed the limits
        self._members: tuple[str, ...] = ()
        self._tombstones = Tombstones(now)
        self._own = OwnRecord(name, own_record, limits, self._tombstones)
        self._exchange = Exchange(self._own, self.records, limits.ttl)
        self._effects: list[Effect] = []

    def publish(self, now: float, key: str, value: bytes | None) -> None:
        """Publish a value, or withdraw the key if the value is ``None``. Raises ``PublishLimitError``."""
        self._own.publish(now, key, value)

    def get(self, origin: str, key: str) -> bytes | None:
        """The value that an origin publishes under a key, or ``None`` if this router knows of none."""
        record = self.records.get(origin)
        return record.entries.get(key, NO_ENTRY).value if record is not None else None

    def values_by_origin(self, key: str) -> dict[str, bytes]:
        """The value that each origin publishes under a key, by origin, in the order of names."""
        published = ((origin, self.get(origin, key)) for origin in sorted(self.records))
        return {origin: value for origin, value in published if value is not None}

    def step(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Handle events in their order, and return the effects to carry out."""
        self.now = now
        self._tombstones.now = now
        self._effects = []
        for event in events:
            match event:
                case ReachableMembers(names):
                    self._members = names
                case MessageReceived(sender, Digest() as digest):
                    answers = self._exchange.answers(now, digest)
                    self._effects += [Send(sender, answer) for answer in answers]
                case MessageReceived(_, Delta() as delta):
                    self._on_delta(delta)
        if now >= self.next_wake_at:
            self._on_interval()
        return self._effects

    def _on_interval(self) -> None:
        interval_factor = MIN_INTERVAL_FACTOR + INTERVAL_FACTOR_SPREAD * self.rng.random()
        self.next_wake_at = self.now + self.limits.exchange_interval * interval_factor
        self._own.heartbeat_if_due(self.now)
        self._tombstones.remove_expired(self.records, self.limits.ttl)
        for origin in expired_origins(self.records, self.name, self.now, self.limits.ttl):
            del self.records[origin]
            self._effects.append(OriginChanged(origin))
        if self._members:
            to = self.rng.choice(self._members)
            self._effects += [Send(to, digest) for digest in self._exchange.digests()]

    def _on_delta(self, delta: Delta) -> None:
        if not is_acceptable(delta, self.limits.ttl):
            return
        if delta.origin == self.name:
            if delta.incarnation > self._own.record.incarnation:
                self._own.supersede(self.now, delta.incarnation)
            return
        copy = self.records.get(delta.origin)
        if not can_apply(delta, copy):
            return
        record = apply_delta(delta, copy, self.now)
        exceeds_origins = copy is None and len(self.records) >= self.limits.origins
        if exceeds_origins or not is_within(self.limits, record):
            self.rejected += 1
            return
        self.records[delta.origin] = record
        self._update_tombstones(delta, record)
        if not has_same_values(copy, record):
            self._effects.append(OriginChanged(delta.origin))

    def _update_tombstones(self, delta: Delta, record: Record) -> None:
        for key, _, value in delta.entries:
            if key in record.entries and record.entries[key].value == value:
                self._tombstones.update(delta.origin, key, value)
