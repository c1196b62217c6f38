"""Transaction ids that were sent to engines recently, so that none of them is run for a second request."""

from __future__ import annotations

from collections import OrderedDict

RETENTION = 60.0  # seconds
MAX_TRANSACTIONS = 32_768  # beyond this number the oldest ones are forgotten earlier
HEX_BASE = 16


class RecentTransactions:
    """Remembers transaction ids for ``RETENTION``, at most ``MAX_TRANSACTIONS``. Times are in seconds."""

    def __init__(self) -> None:
        # The ids are kept as numbers, which take less memory than text. The oldest comes first: a plain dict
        # would search for it among the entries that were removed.
        self._sent_at: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        """The number of ids that are remembered."""
        return len(self._sent_at)

    def add(self, txn: str, now: float) -> None:
        """Remember an id that is sent to an engine, and forget those that are too old or too many."""
        number = int(txn, HEX_BASE)
        self._sent_at.pop(number, None)
        self._sent_at[number] = now
        while len(self._sent_at) > MAX_TRANSACTIONS:
            self._sent_at.popitem(last=False)
        self._forget_expired(now)

    def was_sent(self, txn: str, now: float) -> bool:
        """Whether the id was sent to an engine recently."""
        self._forget_expired(now)
        return int(txn, HEX_BASE) in self._sent_at

    def _forget_expired(self, now: float) -> None:
        while self._sent_at:
            oldest = next(iter(self._sent_at))
            if self._sent_at[oldest] > now - RETENTION:
                return
            del self._sent_at[oldest]
