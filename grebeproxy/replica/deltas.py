"""Making a delta from a record, and deciding whether and how a received one changes a copy."""

from __future__ import annotations

from grebeproxy.replica.interface import Limits
from grebeproxy.replica.records import HEARTBEAT_KEY, MAX_COUNTER, Delta, Entry, KeyChange, Record

MAX_DELTA_BYTES = 800  # of keys and values in one packet
CHANGE_OVERHEAD_BYTES = 16  # counted for each change in a packet, beside its key and value


def delta_after(base: int, origin: str, record: Record, age: float) -> Delta:
    """The changes after ``base`` in their order, as many as fit into one packet."""
    changes: list[KeyChange] = []
    size = 0
    top = record.version.top
    for key, (number, value) in sorted(record.entries.items(), key=lambda item: item[1][0]):
        if number <= base:
            continue
        size += len(key.encode()) + len(value or b"") + CHANGE_OVERHEAD_BYTES
        if changes and size > MAX_DELTA_BYTES:
            top = changes[-1].number  # the rest follows at the next exchange
            break
        changes.append(KeyChange(key, number, value))
    return Delta(origin, record.incarnation, base, top, age, tuple(changes))


def is_acceptable(delta: Delta, ttl: float) -> bool:
    """Whether a delta is younger than ``ttl`` seconds and its numbers are in bounds.

    An older one is rejected, or routers would go on forwarding the record of one that no longer runs.
    """
    return delta.age < ttl and 0 <= delta.base <= delta.top <= MAX_COUNTER


def extends(delta: Delta, copy: Record | None) -> bool:
    """Whether a delta can be joined to the copy: no change before it is missing, and it is not outdated."""
    if copy is None:
        return delta.base <= 0
    known_top = copy.version.top if copy.incarnation == delta.incarnation else 0
    return delta.base <= known_top and delta.version >= copy.version


def joined(delta: Delta, copy: Record | None, now: float) -> Record:
    """A new record: the copy, if there is one, with the delta's changes."""
    entries = {key: Entry(number, value) for key, number, value in delta.entries}
    made_at = now - max(0.0, delta.age)
    record = copy.copy() if copy is not None else Record()
    record.join(Record(delta.version, made_at, entries))
    return record


def is_within(limits: Limits, record: Record) -> bool:
    """Whether a received record respects the limits of one origin."""
    return len(record.entries) <= limits.keys and record.size() <= limits.record


def publishes_the_same(before: Record | None, after: Record) -> bool:
    """Whether two copies of one origin have the same values under all keys but the heartbeat's."""
    return _published(before) == _published(after)


def _published(record: Record | None) -> dict[str, bytes]:
    if record is None:
        return {}
    return {
        key: value for key, (_, value) in record.entries.items() if value is not None and key != HEARTBEAT_KEY
    }
