"""Conversion between milliseconds, which files and wires use, and seconds, which the program uses."""

from __future__ import annotations

MS_PER_SECOND = 1000.0


def seconds(milliseconds: float | None) -> float:
    """Convert milliseconds to seconds; ``None`` gives 0."""
    return (milliseconds or 0.0) / MS_PER_SECOND
