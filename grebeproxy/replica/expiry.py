"""Expiry of tombstones, and of records that are no longer refreshed."""

from __future__ import annotations

from grebeproxy.replica.records import Record

TOMBSTONE_LIFETIMES = 2  # lifetime of a tombstone, in multiples of the ttl of a record


class Tombstones:
    """The withdrawn keys, with the time at which this router learned of each withdrawal.

    A withdrawn key stays in its record as an entry without a value, so that the withdrawal spreads. The entry
    is removed once every copy that lacks the withdrawal must have expired.
    """

    def __init__(self, now: float) -> None:
        self.now = now  # time of the store's latest step
        self._withdrawn_at: dict[tuple[str, str], float] = {}  # seconds, by origin and key

    def update(self, origin: str, key: str, value: bytes | None) -> None:
        """Register the current value of a key; ``None`` makes the key a tombstone."""
        if value is None:
            self._withdrawn_at[origin, key] = self.now
        else:
            self._withdrawn_at.pop((origin, key), None)

    def remove_expired(self, records: dict[str, Record], ttl: float) -> None:
        """Remove the entries whose withdrawal is so old that no copy without it can still exist."""
        oldest = self.now - TOMBSTONE_LIFETIMES * ttl
        for (origin, key), withdrawn_at in list(self._withdrawn_at.items()):
            record = records.get(origin)
            if record is None:
                del self._withdrawn_at[origin, key]
            elif withdrawn_at < oldest:
                del self._withdrawn_at[origin, key]
                record.entries.pop(key, None)


def expired_origins(records: dict[str, Record], own: str, now: float, ttl: float) -> list[str]:
    """The origins whose records were not refreshed for ``ttl`` seconds; ``own`` never expires."""
    return [origin for origin, record in records.items() if origin != own and now - record.changed_at >= ttl]
