"""The file that carries manual overrides between the processes of one router. Decides nothing."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

from grebeproxy.net import manual_overrides

POLL_INTERVAL = 0.25  # seconds between two looks at the file
MAX_BYTES = 256 * 1024


class OverrideFile:
    """One router's file in a folder."""

    def __init__(self, folder: Path, name: str) -> None:
        self._name = name
        self.path = folder / f"grebeproxy-{''.join(c if c.isalnum() else '-' for c in name)}.hands"
        self._seen: tuple[int, int, int] | None = None

    def read(self) -> manual_overrides.Calls | None:
        """The calls in the file, where it has changed since the last look or writing.

        Raises ``OSError``, or ``OverrideFileError`` for what is torn or another router's.
        """
        try:
            with self.path.open("rb") as file:
                seen = _identity(os.fstat(file.fileno()))
                if seen == self._seen:
                    return None
                self._seen = seen
                return manual_overrides.decode(self._name, file.read(MAX_BYTES))
        except FileNotFoundError:
            return None

    def write(self, calls: manual_overrides.Calls) -> None:
        """Put the calls there, whole or not at all. Raises ``OSError``."""
        beside = self.path.with_suffix(f".{os.getpid()}")
        try:
            beside.write_bytes(manual_overrides.encode(self._name, calls))
            identity = _identity(beside.stat())
            beside.replace(self.path)
            self._seen = identity
        except OSError:
            with contextlib.suppress(OSError):
                beside.unlink()
            raise


def _identity(status: os.stat_result) -> tuple[int, int, int]:
    return status.st_ino, status.st_mtime_ns, status.st_size
