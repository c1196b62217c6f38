"""How the change log is followed: what comes next, when its silence is a break, where it is asked anew.

Plain state and functions; the reducer calls them and has their times and effects carried out.
"""

from __future__ import annotations

from dataclasses import dataclass

from grebeproxy.errors import GrebeproxyError
from grebeproxy.net.events import Address, OpenChangeLog
from grebeproxy.net.messages import ChangeLogUpdate
from grebeproxy.policy.interface import ListKind

FRAMES = 1.0  # seconds from one frame to the next, where nothing is new
MIN_LATENESS, MAX_LATENESS = 0.2, 0.6  # seconds that a frame may be late before it is missed
BACKOFF, MAX_BACKOFF = 0.05, 0.4
# Seconds in which a connection is to come up; twice as long after each one that did not.
CONNECT_TIMEOUT = 0.4
# Seconds for which a starting router waits to hear of the engines before it takes clients.
FIRST_EVENT_TIMEOUT = 0.25


class ChangeLogGapError(GrebeproxyError, ValueError):
    """An event of the change log came whose predecessors were never received.

    Derives from ``ValueError`` as well, so that callers that caught that before catch it still.
    """


@dataclass(slots=True)
class Follower:
    """The connection to the change log and the last event that was applied."""

    address: Address
    last_heard: float
    seq: int = 0
    backoff: float = BACKOFF
    connect_timeout: float = CONNECT_TIMEOUT
    open: bool = False
    up: bool = False  # what is dialled has come up
    dials: int = 0  # its number: keeps a connection's timers apart from an earlier one's


def dial(log: Follower, now: float) -> OpenChangeLog:
    """Ask for what came after the last event."""
    log.open, log.up, log.last_heard, log.dials = True, False, now, log.dials + 1
    return OpenChangeLog(log.address, log.seq, log.dials)


def opened(log: Follower, now: float) -> None:
    """The connection is up, and asked for what is new."""
    log.up, log.last_heard = True, now


def lose(log: Follower) -> float:
    """The connection is of no more use; returns the seconds until the next dial, longer each time in vain."""
    log.open, delay = False, log.backoff
    log.backoff = min(MAX_BACKOFF, 2 * log.backoff)
    return delay


def due(log: Follower, grace: float) -> float:
    """When the connection is given up, unless something is heard: silence ends it as a reset does.

    Guards against a log that stops and stays open, and against a connection that never comes up. A change
    counts from when it was written, and may be acted against for the ``grace`` of the rule on drains, in
    seconds: what is left of it is for a connection that hangs and one that does not.
    """
    if log.up:
        return (
            log.last_heard
            + FRAMES
            + min(MAX_LATENESS, max(MIN_LATENESS, grace - FRAMES - 1.5 * CONNECT_TIMEOUT))
        )
    return log.last_heard + log.connect_timeout


def hung(log: Follower) -> None:
    """The connection has had its time. The next is dialled at once, and has more where this never came up."""
    log.open = False
    if not log.up:
        log.connect_timeout = min(FRAMES + MAX_LATENESS, 2 * log.connect_timeout)


def migrate(log: Follower, address: Address) -> bool:
    """The log is elsewhere from now on; returns whether it is to be dialled at once, from the last event."""
    if address == log.address:
        return False
    log.address, log.backoff, log.connect_timeout = address, BACKOFF, CONNECT_TIMEOUT
    return True


def read(log: Follower, update: ChangeLogUpdate, now: float) -> bool:
    """Return whether an event is to be applied.

    Raises ``ChangeLogGapError`` when events before it are missing.
    """
    log.last_heard, log.backoff, log.connect_timeout = now, BACKOFF, CONNECT_TIMEOUT
    if update.change is None or update.seq <= log.seq:  # a sign of life, or an event that comes twice
        return False
    if update.change.how is not ListKind.FULL and update.seq != log.seq + 1:
        raise ChangeLogGapError(f"event {update.seq} came after {log.seq}")
    log.seq = update.seq
    return True
