"""Actions: what the decision module asks to be done. Clock times and delays are in seconds, memory in MB."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; it is abandoned at clock time ``until``.

    Where ``send_before`` is given, the attempt is a retry that may do harm when sent at that time or
    later. If it is still waiting for a connection then, it is not sent, and ends as ``SKIPPED``.
    """

    id: str
    engine: str
    until: float
    send_before: float | None = None


@dataclass(frozen=True, slots=True)
class SetTerms:
    """Memory grant (``None``: the engine chooses) and priority, 0 low to 3 high, of a query."""

    id: str
    priority: int
    memory_mb: float | None = None


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected, a retry is harmless, best after ``retry_after`` seconds."""

    id: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the query may have run."""

    id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Check whether an engine answers."""

    engine: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a ``TimerFired`` after ``delay`` seconds."""

    name: str
    delay: float


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask service discovery for changes from now on."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask service discovery for the whole list once."""


@dataclass(frozen=True, slots=True)
class Message:
    """Send bytes to one router, or to all when ``to`` is ``None``."""

    data: str
    to: int | None = None


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the log."""

    text: str


Action = Union[Send, SetTerms, Reject, Fail, Cancel, HealthCheck, SetTimer, Watch, FetchList, Message, Log]
