"""The file by which the processes of one router tell each other what operators have set. Decides nothing."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

from grebeproxy.net import hands

LOOK = 0.25  # seconds between looks at the file
MOST_BYTES = 256 * 1024


class HandsFile:
    """One router's file in a folder."""

    def __init__(self, folder: Path, name: str) -> None:
        self._name = name
        self.path = folder / f"grebeproxy-{''.join(c if c.isalnum() else '-' for c in name)}.hands"
        self._seen: tuple[int, int, int] | None = None

    def read(self) -> hands.Calls | None:
        """What it says, where it has changed since the last look or writing.

        Raises ``OSError``, or ``hands.HandsError`` for what is torn or another router's.
        """
        try:
            with self.path.open("rb") as file:
                seen = _mark(os.fstat(file.fileno()))
                if seen == self._seen:
                    return None
                self._seen = seen
                return hands.decode(self._name, file.read(MOST_BYTES))
        except FileNotFoundError:
            return None

    def write(self, calls: hands.Calls) -> None:
        """Put the calls there, whole or not at all. Raises ``OSError``."""
        beside = self.path.with_suffix(f".{os.getpid()}")
        try:
            beside.write_bytes(hands.encode(self._name, calls))
            mark = _mark(beside.stat())
            beside.replace(self.path)
            self._seen = mark
        except OSError:
            with contextlib.suppress(OSError):
                beside.unlink()
            raise


def _mark(told: os.stat_result) -> tuple[int, int, int]:
    return told.st_ino, told.st_mtime_ns, told.st_size
