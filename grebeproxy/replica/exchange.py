"""Anti-entropy: digests of how far copies go, and the answers to those of others."""

from __future__ import annotations

from grebeproxy.replica.deltas import delta_after
from grebeproxy.replica.own_record import OwnRecord
from grebeproxy.replica.records import Delta, Digest, Record, Version

MAX_ORIGINS_PER_DIGEST = 16  # so that a digest fits one packet
MAX_DIGESTS_PER_EXCHANGE = 6
_NO_RECORD = Record(Version(-1, 0, 0))  # below any copy


class Exchange:
    """Compares the copies of all origins with those of other members; changes none but one's own record."""

    def __init__(self, own: OwnRecord, records: dict[str, Record], ttl: float) -> None:
        self._own = own
        self._records = records
        self._ttl = ttl
        self._first = 0  # position among the sorted origins where the next partial digest begins

    def digests(self) -> list[Digest]:
        """How far all copies go; where they do not fit, the next ones each time, in the order of names."""
        origins = sorted(self._records)
        if len(origins) <= MAX_ORIGINS_PER_DIGEST:
            return [Digest(self._versions(origins), complete=True)]
        count = min(len(origins), MAX_ORIGINS_PER_DIGEST * MAX_DIGESTS_PER_EXCHANGE)
        start = self._first % len(origins)
        self._first += count
        versions = self._versions((origins + origins)[start : start + count])
        return [
            Digest(versions[position : position + MAX_ORIGINS_PER_DIGEST])
            for position in range(0, count, MAX_ORIGINS_PER_DIGEST)
        ]

    def _versions(self, origins: list[str]) -> tuple[tuple[str, Version], ...]:
        return tuple((origin, self._records[origin].version) for origin in origins)

    def answers(self, now: float, digest: Digest) -> list[Delta | Digest]:
        """What to send to the sender of a digest: newer changes, and a digest of the copies that are behind.

        Begins a new incarnation of one's own record where the digest names a higher one.
        """
        answers: list[Delta | Digest] = []
        behind: list[tuple[str, Version]] = []
        for origin, remote in digest.versions:
            copy = self._records.get(origin, _NO_RECORD)
            if origin == self._own.name and remote.incarnation > copy.incarnation:
                self._own.supersede(now, remote.incarnation)
            version = copy.version
            if version > remote:
                base = remote.top if copy.incarnation == remote.incarnation else 0
                answers += self._changes_after(base, origin, copy, now)
            elif version < remote:
                behind.append((origin, version))
        if digest.complete:
            named = {origin for origin, _ in digest.versions}
            for origin in sorted(self._records.keys() - named):
                answers += self._changes_after(0, origin, self._records[origin], now)
        if behind and digest.requests_newer:
            answers.append(Digest(tuple(behind), requests_newer=False))
        return answers

    def _changes_after(self, base: int, origin: str, record: Record, now: float) -> list[Delta]:
        """The delta to send; none for a copy that is old enough to have expired."""
        age = max(0.0, now - record.changed_at)
        if origin != self._own.name and age >= self._ttl:
            return []
        return [delta_after(base, origin, record, age)]
