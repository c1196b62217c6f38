"""Follows the change log: which event is next, when silence counts as a failure, and when to reconnect.

The module holds plain state without input or output. The router calls it, keeps its timers and emits its
effects.
"""

from __future__ import annotations

from dataclasses import dataclass

from grebeproxy.errors import GrebeproxyError
from grebeproxy.net.events import Address, OpenChangeLog
from grebeproxy.net.messages import ChangeLogUpdate
from grebeproxy.policy.interface import ListKind

FRAME_INTERVAL = 1.0  # seconds between two frames while no engine changes
# Bounds of the seconds by which a frame may be late before the connection counts as lost.
MIN_LATENESS = 0.2
MAX_LATENESS = 0.6
# Bounds of the seconds until the next connection attempt, which double with each failure.
MIN_BACKOFF = 0.05
MAX_BACKOFF = 0.4
# Seconds in which a connection has to come up; doubled with each attempt that times out.
CONNECT_TIMEOUT = 0.4
RECONNECT_ALLOWANCE = 1.5 * CONNECT_TIMEOUT  # seconds for one attempt that times out and one that succeeds
# Seconds that a starting router waits for the engine list before it accepts clients.
FIRST_EVENT_TIMEOUT = 0.25


class ChangeLogGapError(GrebeproxyError, ValueError):
    """Events of the change log are missing before the one that was received.

    The error is also a ``ValueError`` for the sake of callers that catch that class.
    """


@dataclass(slots=True)
class Follower:
    """The state of the connection to the change log, and the last applied event. Times are in seconds."""

    address: Address
    last_received_at: float
    seq: int = 0  # sequence number of the last applied event
    backoff: float = MIN_BACKOFF
    connect_timeout: float = CONNECT_TIMEOUT
    open: bool = False  # a connection was dialled and has not been given up
    connected: bool = False  # the connection is established
    dials: int = 0  # number of the connection, which tells its timers from those of earlier ones

    def dial(self, now: float) -> OpenChangeLog:
        """Return the effect that connects and requests the events after the last applied one."""
        self.open = True
        self.connected = False
        self.last_received_at = now
        self.dials += 1
        return OpenChangeLog(self.address, self.seq, self.dials)

    def opened(self, now: float) -> None:
        """Record that the connection is established and has sent its request."""
        self.connected = True
        self.last_received_at = now

    def give_up(self) -> float:
        """Give up the connection. Returns the backoff in seconds, which doubles with each failure."""
        self.open = False
        delay = self.backoff
        self.backoff = min(MAX_BACKOFF, 2 * self.backoff)
        return delay

    def silence_deadline(self, drain_grace: float) -> float:
        """The time at which the connection is given up unless something is received on it.

        The deadline covers a change log that stops sending while its connection stays open, and a connection
        that never comes up. ``drain_grace`` is the time in seconds for which a router may still act on the
        old state after a change is written. Silence is detected early enough to reconnect within that time.
        """
        if not self.connected:
            return self.last_received_at + self.connect_timeout
        lateness = max(MIN_LATENESS, drain_grace - FRAME_INTERVAL - RECONNECT_ALLOWANCE)
        return self.last_received_at + FRAME_INTERVAL + min(MAX_LATENESS, lateness)

    def timed_out(self) -> None:
        """Give up a silent connection. If it never came up, the next one has a longer connect timeout."""
        self.open = False
        if not self.connected:
            self.connect_timeout = min(FRAME_INTERVAL + MAX_LATENESS, 2 * self.connect_timeout)

    def migrate(self, address: Address) -> bool:
        """Follow the log at another address. Returns whether the caller has to connect to it now."""
        if address == self.address:
            return False
        self.address = address
        self._reset_delays()
        return True

    def receive(self, update: ChangeLogUpdate, now: float) -> bool:
        """Record an event. Returns whether to apply it; heartbeats and duplicates are not applied.

        Raises ``ChangeLogGapError`` if earlier events are missing.
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
        self.backoff = MIN_BACKOFF
        self.connect_timeout = CONNECT_TIMEOUT
