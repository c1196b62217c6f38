"""The record that this router publishes. It is the only record in which this router makes changes."""

from __future__ import annotations

from grebeproxy.replica.expiry import Tombstones
from grebeproxy.replica.interface import Limits, PublishLimitError
from grebeproxy.replica.records import HEARTBEAT_KEY, MAX_COUNTER, Entry, Incarnation, Record, Version

MAX_KEY_BYTES = 64
HEARTBEATS_PER_TTL = 4  # With several, losing some messages lets no record expire.


class OwnRecord:
    """The record of one router name, with changes kept within ``Limits``."""

    def __init__(self, name: str, record: Record, limits: Limits, tombstones: Tombstones) -> None:
        self.name = name
        self.record = record
        self._limits = limits
        self._tombstones = tombstones

    def publish(self, now: float, key: str, value: bytes | None) -> None:
        """Publish a value, or withdraw the key if the value is ``None``. Raises ``PublishLimitError``."""
        self._check(key, value)
        previous = self.record.entries.get(key)
        previous_value = previous.value if previous is not None else None
        if previous_value == value:
            return
        limits = self._limits
        # One key is reserved for the heartbeat.
        if previous is None and len(self.record.entries) >= limits.keys - 1:
            raise PublishLimitError(f"{key}: a record may have {limits.keys} keys at most")
        self._change(now, key, value)
        if value is not None and self.record.size() > limits.record:
            self._change(now, key, previous_value)
            raise PublishLimitError(f"{key}: a record may have {limits.record} bytes at most")

    def heartbeat_if_due(self, now: float) -> None:
        """Refresh the record if its last change was a quarter of ``Limits.ttl`` ago or earlier."""
        if now - self.record.changed_at >= self._limits.ttl / HEARTBEATS_PER_TTL:
            self._change(now, HEARTBEAT_KEY, b"")

    def supersede(self, now: float, other: Incarnation) -> None:
        """Begin an incarnation above that of another process of this name, which may still be running."""
        _, nonce, top = self.record.version
        self.record.version = Version(min(other.generation, MAX_COUNTER) + 1, nonce, top)
        self._change(now, HEARTBEAT_KEY, b"")

    def _check(self, key: str, value: bytes | None) -> None:
        if not key or len(key.encode()) > MAX_KEY_BYTES:
            raise PublishLimitError(f"key: must have 1 to {MAX_KEY_BYTES} bytes")
        if value is not None and len(value) > self._limits.value:
            raise PublishLimitError(f"{key}: a value may have {self._limits.value} bytes at most")

    def _change(self, now: float, key: str, value: bytes | None) -> None:
        generation, nonce, top = self.record.version
        number = top + 1
        self.record.version = Version(generation, nonce, number)
        self.record.changed_at = now
        self.record.entries[key] = Entry(number, value)
        self._tombstones.update(self.name, key, value)
