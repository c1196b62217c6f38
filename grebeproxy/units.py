"""Conversion between milliseconds, as in files and on wires, and seconds, as in the program."""

from __future__ import annotations

MS_PER_SECOND = 1000.0


def seconds(milliseconds: float | None) -> float:
    """Milliseconds in seconds; 0 where there are none."""
    return (milliseconds or 0.0) / MS_PER_SECOND
