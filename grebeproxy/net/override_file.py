"""The file that carries manual overrides between the processes of one router."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import NamedTuple

from grebeproxy.net import manual_overrides

POLL_INTERVAL = 0.25  # seconds between two reads
MAX_BYTES = 256 * 1024  # of the file that are read


class FileVersion(NamedTuple):
    """Tells one version of the file from another."""

    inode: int
    modified_ns: int
    size: int


class OverrideFile:
    """One router's file in a folder that its processes share."""

    def __init__(self, folder: Path, name: str) -> None:
        self._name = name
        safe_name = "".join(character if character.isalnum() else "-" for character in name)
        self.path = folder / f"grebeproxy-{safe_name}.hands"
        self._last_version: FileVersion | None = None  # last read or written by this process

    def read(self) -> manual_overrides.Calls | None:
        """The calls in the file; ``None`` where it is missing or as it was at the last read or write.

        Raises ``OSError``, or ``OverrideFileError`` for a file that is damaged or another router's.
        """
        try:
            with self.path.open("rb") as file:
                version = _version(os.fstat(file.fileno()))
                if version == self._last_version:
                    return None
                self._last_version = version
                return manual_overrides.decode(self._name, file.read(MAX_BYTES))
        except FileNotFoundError:
            return None

    def write(self, calls: manual_overrides.Calls) -> None:
        """Replace the file atomically. Raises ``OSError``."""
        temporary = self.path.with_suffix(f".{os.getpid()}")
        try:
            temporary.write_bytes(manual_overrides.encode(self._name, calls))
            version = _version(temporary.stat())
            temporary.replace(self.path)
            self._last_version = version
        except OSError:
            with contextlib.suppress(OSError):
                temporary.unlink()
            raise


def _version(status: os.stat_result) -> FileVersion:
    return FileVersion(status.st_ino, status.st_mtime_ns, status.st_size)
