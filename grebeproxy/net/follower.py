"""How the change log is followed: what comes next, when its silence is a break, where it is asked anew.

Plain state and functions; the reducer calls them and carries the times and effects.
"""

from __future__ import annotations

from dataclasses import dataclass

from grebeproxy.net.events import Address, OpenLog
from grebeproxy.net.messages import News
from grebeproxy.policy.interface import ListKind

SILENCE = 1.6  # seconds; a frame is due each second
BACKOFF, BACKOFF_MOST = 0.05, 0.4
FIRST_NEWS = 0.25  # seconds for which a starting router waits to hear of the engines before it takes clients


@dataclass(slots=True)
class Follower:
    """The connection to the change log and the last event that was applied."""

    address: Address
    heard: float
    seq: int = 0
    backoff: float = BACKOFF
    open: bool = False
    dials: int = 0  # tells a connection's timers from those of an earlier one


def dial(log: Follower, now: float) -> OpenLog:
    """Ask for what came after the last event."""
    log.open, log.heard, log.dials = True, now, log.dials + 1
    return OpenLog(log.address, log.seq)


def lose(log: Follower) -> float:
    """The connection is of no more use; tells after how long to dial again, longer each time in vain."""
    log.open, delay = False, log.backoff
    log.backoff = min(BACKOFF_MOST, 2 * log.backoff)
    return delay


def silent(log: Follower, now: float) -> bool:
    """Guards against a log that stops and stays open: silence ends a connection as a reset does."""
    return now - log.heard >= SILENCE - 1e-6


def move(log: Follower, address: Address) -> bool:
    """The log is elsewhere from now on; tells whether it is to be dialled, from the last event, at once."""
    if address == log.address:
        return False
    log.address, log.backoff = address, BACKOFF
    return True


def read(log: Follower, news: News, now: float) -> bool:
    """Tells whether an event is to be applied. Raises ``ValueError`` when events before it are missing."""
    log.heard, log.backoff = now, BACKOFF
    if news.change is None or news.seq <= log.seq:  # a sign of life, or an event that is told twice
        return False
    if news.change.how is not ListKind.FULL and news.seq != log.seq + 1:
        raise ValueError(f"event {news.seq} came after {log.seq}")
    log.seq = news.seq
    return True
