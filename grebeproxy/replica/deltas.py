"""Builds deltas from records, decides whether a received delta is applied to a copy, and applies it."""

from __future__ import annotations

from grebeproxy.replica.interface import Limits
from grebeproxy.replica.records import HEARTBEAT_KEY, MAX_COUNTER, Delta, Entry, KeyChange, Record

MAX_DELTA_BYTES = 800  # keys, values and overhead in one packet
CHANGE_OVERHEAD_BYTES = 16  # size counted for each change in a packet, besides its key and value


def delta_after(base: int, origin: str, record: Record, age: float) -> Delta:
    """A delta with the changes after number ``base``, in their order, as many as fit into one packet."""
    changes: list[KeyChange] = []
    size = 0
    top = record.version.top
    for key, (number, value) in sorted(record.entries.items(), key=lambda item: item[1][0]):
        if number <= base:
            continue
        size += len(key.encode()) + len(value or b"") + CHANGE_OVERHEAD_BYTES
        if changes and size > MAX_DELTA_BYTES:
            top = changes[-1].number  # The rest is sent at the next exchange.
            break
        changes.append(KeyChange(key, number, value))
    return Delta(origin, record.incarnation, base, top, age, tuple(changes))


def is_acceptable(delta: Delta, ttl: float) -> bool:
    """Whether a delta is younger than ``ttl`` seconds and its change numbers are in bounds.

    An older delta is rejected; otherwise routers would keep forwarding the record of a router that no longer
    runs.
    """
    return delta.age < ttl and 0 <= delta.base <= delta.top <= MAX_COUNTER


def can_apply(delta: Delta, copy: Record | None) -> bool:
    """Whether a delta can be applied to the copy: no earlier change is missing, and it is not outdated."""
    if copy is None:
        return delta.base <= 0
    known_top = copy.version.top if copy.incarnation == delta.incarnation else 0
    return delta.base <= known_top and delta.version >= copy.version


def apply_delta(delta: Delta, copy: Record | None, now: float) -> Record:
    """A new record with the delta's changes applied to the copy, or to an empty record without a copy."""
    entries = {key: Entry(number, value) for key, number, value in delta.entries}
    made_at = now - max(0.0, delta.age)
    record = copy.copy() if copy is not None else Record()
    record.join(Record(delta.version, made_at, entries))
    return record


def is_within(limits: Limits, record: Record) -> bool:
    """Whether a received record respects the limits of one origin."""
    return len(record.entries) <= limits.keys and record.size() <= limits.record


def has_same_values(before: Record | None, after: Record) -> bool:
    """Whether two copies of one origin have the same values under all keys except the heartbeat key."""
    return _values(before) == _values(after)


def _values(record: Record | None) -> dict[str, bytes]:
    if record is None:
        return {}
    return {
        key: value for key, (_, value) in record.entries.items() if value is not None and key != HEARTBEAT_KEY
    }
