"""Following the change log: which event comes next, when silence counts as a failure, when to dial again.

Plain state without input or output; the router calls it, keeps its timers and emits its effects.
"""

from __future__ import annotations

from dataclasses import dataclass

from grebeproxy.errors import GrebeproxyError
from grebeproxy.net.events import Address, OpenChangeLog
from grebeproxy.net.messages import ChangeLogUpdate
from grebeproxy.policy.interface import ListKind

FRAME_INTERVAL = 1.0  # seconds from one frame to the next while nothing changes
# Seconds by which a frame may be late before it counts as missing.
MIN_LATENESS = 0.2
MAX_LATENESS = 0.6
# Seconds until the next dial; doubled with each failure.
BACKOFF = 0.05
MAX_BACKOFF = 0.4
# Seconds for a connection to come up; doubled with each one that does not.
CONNECT_TIMEOUT = 0.4
RECONNECT_ALLOWANCE = 1.5 * CONNECT_TIMEOUT  # seconds for one connection that hangs and one that does not
# Seconds for which a starting router waits for the engine list before it accepts clients.
FIRST_EVENT_TIMEOUT = 0.25


class ChangeLogGapError(GrebeproxyError, ValueError):
    """An event of the change log was received whose predecessors are missing.

    Derives from ``ValueError`` as well, so that callers that caught that before catch it still.
    """


@dataclass(slots=True)
class Follower:
    """The connection to the change log, and the last event that was applied. Times are in seconds."""

    address: Address
    last_received_at: float
    seq: int = 0  # of the last event that was applied
    backoff: float = BACKOFF
    connect_timeout: float = CONNECT_TIMEOUT
    open: bool = False  # a connection was dialled and not given up since
    connected: bool = False  # the connection has come up
    dials: int = 0  # the connection's number, which tells its timers from those of an earlier one

    def dial(self, now: float) -> OpenChangeLog:
        """Connect, and request what comes after the last event."""
        self.open = True
        self.connected = False
        self.last_received_at = now
        self.dials += 1
        return OpenChangeLog(self.address, self.seq, self.dials)

    def opened(self, now: float) -> None:
        """Record that the connection has come up and sent its request."""
        self.connected = True
        self.last_received_at = now

    def give_up(self) -> float:
        """Give up the connection. Returns the seconds until the next dial, doubled with each failure."""
        self.open = False
        delay = self.backoff
        self.backoff = min(MAX_BACKOFF, 2 * self.backoff)
        return delay

    def silence_deadline(self, drain_grace: float) -> float:
        """When the connection is given up unless something is received on it.

        Covers a log that stops sending while its connection stays open, and a connection that never comes up.
        ``drain_grace`` is how long after a change was written the rules still allow acting against it, in
        seconds. Silence is detected early enough to reconnect within it.
        """
        if not self.connected:
            return self.last_received_at + self.connect_timeout
        lateness = max(MIN_LATENESS, drain_grace - FRAME_INTERVAL - RECONNECT_ALLOWANCE)
        return self.last_received_at + FRAME_INTERVAL + min(MAX_LATENESS, lateness)

    def timed_out(self) -> None:
        """Give up the connection as silent. If it never came up, the next one is given longer."""
        self.open = False
        if not self.connected:
            self.connect_timeout = min(FRAME_INTERVAL + MAX_LATENESS, 2 * self.connect_timeout)

    def migrate(self, address: Address) -> bool:
        """Follow the log at another address. Returns whether it is to be dialled at once."""
        if address == self.address:
            return False
        self.address = address
        self._reset_delays()
        return True

    def receive(self, update: ChangeLogUpdate, now: float) -> bool:
        """Record an event. Returns whether it is to be applied: keep-alives and duplicates are not.

        Raises ``ChangeLogGapError`` when events before it are missing.
        """
        self.last_received_at = now
        self._reset_delays()
        if update.change is None or update.seq <= self.seq:
            return False
        if update.change.list_kind is not ListKind.FULL and update.seq != self.seq + 1:
            raise ChangeLogGapError(f"event {update.seq} came after {self.seq}")
        self.seq = update.seq
        return True

    def _reset_delays(self) -> None:
        self.backoff = BACKOFF
        self.connect_timeout = CONNECT_TIMEOUT
