"""Anti-entropy: digests of this router's copies, and answers to the digests of other members."""

from __future__ import annotations

from grebeproxy.replica.deltas import delta_after
from grebeproxy.replica.own_record import OwnRecord
from grebeproxy.replica.records import Delta, Digest, Record, Version

MAX_ORIGINS_PER_DIGEST = 16  # A digest of 16 origins fits one packet.
MAX_DIGESTS_PER_EXCHANGE = 6
_ABSENT_RECORD = Record(Version(-1, 0, 0))  # The version is lower than that of any copy.


class Exchange:
    """Compares this router's copies with those of other members; changes only this router's own record."""

    def __init__(self, own: OwnRecord, records: dict[str, Record], ttl: float) -> None:
        self._own = own
        self._records = records
        self._ttl = ttl
        self._next_index = 0  # index among the sorted origins where the next partial digests begin

    def digests(self) -> list[Digest]:
        """Digests of the versions of all copies.

        With more origins than one digest holds, each call covers the next origins in the order of their
        names, at most ``MAX_DIGESTS_PER_EXCHANGE`` digests of them.
        """
        origins = sorted(self._records)
        if len(origins) <= MAX_ORIGINS_PER_DIGEST:
            return [Digest(self._versions(origins), complete=True)]
        count = min(len(origins), MAX_ORIGINS_PER_DIGEST * MAX_DIGESTS_PER_EXCHANGE)
        start = self._next_index % len(origins)
        self._next_index += count
        versions = self._versions((origins + origins)[start : start + count])
        return [
            Digest(versions[position : position + MAX_ORIGINS_PER_DIGEST])
            for position in range(0, count, MAX_ORIGINS_PER_DIGEST)
        ]

    def _versions(self, origins: list[str]) -> tuple[tuple[str, Version], ...]:
        return tuple((origin, self._records[origin].version) for origin in origins)

    def answers(self, now: float, digest: Digest) -> list[Delta | Digest]:
        """The answers to the sender of a digest: newer changes, and a digest of the outdated copies.

        Begins a new incarnation of this router's own record if the digest names a higher incarnation of it.
        """
        answers: list[Delta | Digest] = []
        outdated: list[tuple[str, Version]] = []
        for origin, remote in digest.versions:
            copy = self._records.get(origin, _ABSENT_RECORD)
            if origin == self._own.name and remote.incarnation > copy.incarnation:
                self._own.supersede(now, remote.incarnation)
            version = copy.version
            if version > remote:
                base = remote.top if copy.incarnation == remote.incarnation else 0
                answers += self._changes_after(base, origin, copy, now)
            elif version < remote:
                outdated.append((origin, version))
        if digest.complete:
            named = {origin for origin, _ in digest.versions}
            for origin in sorted(self._records.keys() - named):
                answers += self._changes_after(0, origin, self._records[origin], now)
        if outdated and digest.requests_newer:
            answers.append(Digest(tuple(outdated), requests_newer=False))
        return answers

    def _changes_after(self, base: int, origin: str, record: Record, now: float) -> list[Delta]:
        """The delta to send, in a list that is empty for a copy that is old enough to have expired."""
        age = max(0.0, now - record.changed_at)
        if origin != self._own.name and age >= self._ttl:
            return []
        return [delta_after(base, origin, record, age)]
