"""What all runs share: options, results, the error that ends a size, and progress lines."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from grebeproxy.errors import GrebeproxyError
from grebeproxy.lab.record import Point


class SizeNotReachedError(GrebeproxyError):
    """This machine cannot run that many routers; the text names the limit that was reached."""


@dataclass(frozen=True, slots=True)
class Options:
    """What a run measures, and its limits. Times in seconds."""

    sizes: tuple[int, ...]  # hollow routers of each point
    engines: tuple[int, ...]
    seed: int = 1
    quiet_s: float = 10.0  # length of each measurement without changes
    wait_s: float = 90.0  # A size ends if a state that it waits for takes longer than this.
    memory_mb: int = 5000  # of all processes together
    period_s: float = 0.5  # of the membership protocol
    duty: bool = True


class Progress:
    """Progress lines with the seconds since the start, on standard error by default."""

    def __init__(self, write: Callable[[str], None] | None = None) -> None:
        self._began = time.monotonic()
        self._write = write or _write_to_standard_error

    def line(self, text: str) -> None:
        """Write one line."""
        self._write(f"[{time.monotonic() - self._began:6.1f} s] {text}")


@dataclass(slots=True)
class Outcome:
    """The points measured until now, with a note for each size that was skipped or cut short."""

    points: list[Point] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def add_note(self, text: str, progress: Progress) -> None:
        """Keep a note for the record and show it at once."""
        self.notes.append(text)
        progress.line(text)


def _write_to_standard_error(text: str) -> None:
    print(text, file=sys.stderr, flush=True)
