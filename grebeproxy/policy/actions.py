"""Actions: what the decision module asks its caller for. Times and delays are in seconds, memory is in MB."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; it is abandoned at clock time ``until``.

    Where ``send_before`` is given, the attempt is a retry that may do harm when sent at that time or
    later. If the attempt is still waiting for a connection then, it is not sent and ends as ``SKIPPED``.
    """

    id: str
    engine: str
    until: float
    send_before: float | None = None


@dataclass(frozen=True, slots=True)
class SetTerms:
    """Set the priority (0 low to 3 high) and memory grant (``None``: the engine chooses) of a query."""

    id: str
    priority: int
    memory_mb: float | None = None


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer a query finally: it is rejected, and may be retried, best after ``retry_after`` seconds."""

    id: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer a query finally: it has failed, and may have run."""

    id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt; ``attempt`` counts the query's attempts from 0."""

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
    """Ask service discovery to send changes of the engine list from now on, or no more if ``on`` is False."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask service discovery to send the whole engine list once."""


@dataclass(frozen=True, slots=True)
class Message:
    """Send a message to one router, or to all when ``to`` is ``None``."""

    data: str
    to: int | None = None


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Union[Send, SetTerms, Reject, Fail, Cancel, HealthCheck, SetTimer, Watch, FetchList, Message, Log]
