"""When entries and records are dropped: tombstones, and records that are no longer refreshed."""

from __future__ import annotations

from grebeproxy.replica.records import Record

TOMBSTONE_LIFETIMES = 2  # times the ttl of a record


class Tombstones:
    """Withdrawn keys and when each was learned to be withdrawn.

    A withdrawn key stays in its record as an entry without a value, so that the withdrawal spreads. The entry
    is removed once every copy that lacks the withdrawal must itself have expired.
    """

    def __init__(self, now: float) -> None:
        self.now = now  # time of the store's latest step
        self._withdrawn_at: dict[tuple[str, str], float] = {}  # by origin and key

    def record(self, origin: str, key: str, value: bytes | None) -> None:
        """Note the value that a key has now; ``None`` makes it a tombstone."""
        if value is None:
            self._withdrawn_at[origin, key] = self.now
        else:
            self._withdrawn_at.pop((origin, key), None)

    def remove_expired(self, records: dict[str, Record], ttl: float) -> None:
        """Remove the entries whose withdrawal every router has learned by now."""
        oldest = self.now - TOMBSTONE_LIFETIMES * ttl
        for (origin, key), withdrawn_at in list(self._withdrawn_at.items()):
            record = records.get(origin)
            if record is None:
                del self._withdrawn_at[origin, key]
            elif withdrawn_at < oldest:
                del self._withdrawn_at[origin, key]
                record.entries.pop(key, None)


def expired_origins(records: dict[str, Record], own: str, now: float, ttl: float) -> list[str]:
    """The origins whose records were not refreshed for ``ttl`` seconds; one's own record never expires."""
    return [origin for origin, record in records.items() if origin != own and now - record.changed_at >= ttl]
