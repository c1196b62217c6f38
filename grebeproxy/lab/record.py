"""Recorded measurements, with the command, the commit, the machine and the raw points.

A record is one JSON file in ``docs/capacity``. Units are part of a value's name (``cpu_us``, ``bytes``).
"""

from __future__ import annotations

import os
import platform
import subprocess
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from datetime import UTC, datetime
from pathlib import Path

import orjson

from grebeproxy.errors import GrebeproxyError

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE


class RecordError(GrebeproxyError):
    """A record cannot be read; the message begins with the file's name."""


@dataclass(frozen=True, slots=True)
class Machine:
    """The machine that a measurement ran on. ``memory_mb`` is its physical memory in MiB."""

    cores: int
    memory_mb: int
    python: str

    @classmethod
    def this(cls) -> Machine:
        """The machine that this process runs on."""
        memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") // MEBIBYTE
        return cls(os.cpu_count() or 1, memory, platform.python_version())


@dataclass(frozen=True, slots=True)
class Point:
    """One measured point: its sizes (number of routers, engines, ...), and the values measured there."""

    sizes: Mapping[str, float]
    values: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Record:
    """One run of one measurement. ``recorded_at`` is an ISO 8601 time in UTC."""

    name: str
    command: str
    commit: str
    recorded_at: str
    machine: Machine
    seed: int
    points: tuple[Point, ...]
    note: str = ""

    def save(self, path: Path) -> None:
        """Write the record as indented JSON with sorted keys."""
        options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS | orjson.OPT_APPEND_NEWLINE
        path.write_bytes(orjson.dumps(asdict(self), option=options))


def record_now(name: str, command: str, seed: int, points: tuple[Point, ...], note: str = "") -> Record:
    """Make a record of points that the checked-out code has just measured on this machine."""
    recorded_at = datetime.now(UTC).isoformat(timespec="seconds")
    return Record(name, command, current_commit(), recorded_at, Machine.this(), seed, points, note)


def load_record(path: Path) -> Record:
    """Read a record. Raises ``RecordError`` for a file that is missing or is not a record."""
    try:
        document = orjson.loads(path.read_bytes())
        points = tuple(Point(point["sizes"], point["values"]) for point in document.pop("points"))
        machine = Machine(**document.pop("machine"))
        return Record(machine=machine, points=points, **document)
    except (OSError, orjson.JSONDecodeError, KeyError, TypeError) as error:
        raise RecordError(f"{path.name}: {error}") from None


def current_commit() -> str:
    """The commit that is checked out, with ``+changes`` if tracked files differ from it."""
    try:
        commit = _git("rev-parse", "--short=12", "HEAD")
        return commit + ("+changes" if _git("status", "--porcelain", "--untracked-files=no") else "")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"


def _git(*arguments: str) -> str:
    result = subprocess.run(["git", *arguments], capture_output=True, text=True, check=True)
    return result.stdout.strip()
