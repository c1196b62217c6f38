"""One router's copies of what all routers publish, as a state machine: ``step(now, events)`` gives effects.

Every ``Limits.exchange_interval`` or so the store sends digests to one other member, which answers with what
is newer there and requests what is newer here. Each origin refreshes its record regularly. A copy that was
not refreshed for ``Limits.ttl`` seconds expires, and one of that age is not accepted from others, so the
record of a router that no longer runs is not kept alive by being forwarded.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from grebeproxy.replica.deltas import extends, is_acceptable, is_within, joined, publishes_the_same
from grebeproxy.replica.exchange import Exchange
from grebeproxy.replica.expiry import Tombstones, expired_origins
from grebeproxy.replica.interface import (
    Changed,
    Effect,
    Event,
    Limits,
    Members,
    MessageReceived,
    Send,
)
from grebeproxy.replica.own_record import OwnRecord
from grebeproxy.replica.records import NO_ENTRY, Delta, Digest, Record, Version

NONCE_BITS = 48
LEAST_INTERVAL, INTERVAL_SPREAD = 0.75, 0.5  # parts of the exchange interval: it is 0.75 to 1.25 of it


class Store:
    """All records, this router's own among them. Clock and randomness are passed in; no I/O."""

    def __init__(self, name: str, limits: Limits, rng: Random, now: float) -> None:
        self.name = name
        self.limits = limits
        self.rng = rng
        self.now = now
        own_record = Record(Version(0, rng.getrandbits(NONCE_BITS), 0), now)
        self.records: dict[str, Record] = {name: own_record}
        self.next_at = now  # when it wants to be woken
        self.rejected = 0  # deltas that would have exceeded the limits
        self._members: tuple[str, ...] = ()
        self._tombstones = Tombstones(now)
        self._own = OwnRecord(name, own_record, limits, self._tombstones)
        self._exchange = Exchange(self._own, self.records, limits.ttl)
        self._effects: list[Effect] = []

    def publish(self, now: float, key: str, value: bytes | None) -> None:
        """Publish a value, or withdraw the key with ``None``. Raises ``PublishLimitError``."""
        self._own.publish(now, key, value)

    def get(self, origin: str, key: str) -> bytes | None:
        """What an origin publishes under a key, as far as is known here."""
        record = self.records.get(origin)
        return record.entries.get(key, NO_ENTRY).value if record is not None else None

    def values_by_origin(self, key: str) -> dict[str, bytes]:
        """What each origin publishes under a key, in the order of names."""
        published = ((origin, self.get(origin, key)) for origin in sorted(self.records))
        return {origin: value for origin, value in published if value is not None}

    def step(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Handle events in their order; gives the effects to carry out."""
        self.now = now
        self._tombstones.now = now
        self._effects = []
        for event in events:
            match event:
                case Members(names):
                    self._members = names
                case MessageReceived(sender, Digest() as digest):
                    answers = self._exchange.answers(now, digest)
                    self._effects += [Send(sender, answer) for answer in answers]
                case MessageReceived(_, Delta() as delta):
                    self._on_delta(delta)
        if now >= self.next_at:
            self._on_interval()
        return self._effects

    def _on_interval(self) -> None:
        interval = LEAST_INTERVAL + INTERVAL_SPREAD * self.rng.random()
        self.next_at = self.now + self.limits.exchange_interval * interval
        self._own.heartbeat_if_due(self.now)
        self._tombstones.remove_expired(self.records, self.limits.ttl)
        for origin in expired_origins(self.records, self.name, self.now, self.limits.ttl):
            del self.records[origin]
            self._effects.append(Changed(origin))
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
        if not extends(delta, copy):
            return
        record = joined(delta, copy, self.now)
        too_many = copy is None and len(self.records) >= self.limits.origins
        if too_many or not is_within(self.limits, record):
            self.rejected += 1
            return
        self.records[delta.origin] = record
        self._record_tombstones(delta, record)
        if not publishes_the_same(copy, record):
            self._effects.append(Changed(delta.origin))

    def _record_tombstones(self, delta: Delta, record: Record) -> None:
        for key, _, value in delta.entries:
            if key in record.entries and record.entries[key].value == value:
                self._tombstones.record(delta.origin, key, value)
