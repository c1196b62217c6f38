"""The file through which the processes of one router share manual overrides."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import NamedTuple

from grebeproxy.net import manual_overrides

POLL_INTERVAL = 0.25  # seconds between two reads of the file
MAX_BYTES = 256 * 1024  # size beyond which the rest of the file is not read


class FileVersion(NamedTuple):
    """Identifies a version of the file."""

    inode: int
    modified_ns: int
    size: int


class OverrideFile:
    """The file of one router, in a folder that its processes share."""

    def __init__(self, folder: Path, name: str) -> None:
        self._name = name
        safe_name = "".join(character if character.isalnum() else "-" for character in name)
        self.path = folder / f"grebeproxy-{safe_name}.hands"
        self._last_version: FileVersion | None = None  # last version that this process read or wrote

    def read(self) -> manual_overrides.Calls | None:
        """The calls in the file; ``None`` if it is missing or has not changed since the last read or write.

        Raises ``OSError``, or ``OverrideFileError`` for a file that is corrupt or belongs to another router.
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
