"""Recorded measurements: what was run, on which machine, and the raw points.

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
from typing import NotRequired, TypedDict

import orjson

from grebeproxy.errors import GrebeproxyError

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE


class RecordError(GrebeproxyError):
    """A record that cannot be read; the text begins with the file's name."""


class MachineFields(TypedDict):
    """A machine as it is stored."""

    cores: int
    memory_mb: int
    python: str


class PointFields(TypedDict):
    """A point as it is stored."""

    sizes: dict[str, float]
    values: dict[str, float]


class RecordFields(TypedDict):
    """A record as it is stored; records from before there were notes lack theirs."""

    name: str
    command: str
    commit: str
    recorded_at: str
    machine: MachineFields
    seed: int
    points: list[PointFields]
    note: NotRequired[str]


@dataclass(frozen=True, slots=True)
class Machine:
    """The machine that a measurement ran on."""

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
    """One measured point: the sizes it was taken at, and the values that were read there."""

    sizes: Mapping[str, float]
    values: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Record:
    """One run of one measurement."""

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
    """A record of points measured just now by the code that is checked out."""
    recorded_at = datetime.now(UTC).isoformat(timespec="seconds")
    return Record(name, command, current_commit(), recorded_at, Machine.this(), seed, points, note)


def load_record(path: Path) -> Record:
    """Read a record. Raises ``RecordError``."""
    try:
        fields: RecordFields = orjson.loads(path.read_bytes())
        points = tuple(Point(point["sizes"], point["values"]) for point in fields["points"])
        return Record(**{**fields, "machine": Machine(**fields["machine"]), "points": points})  # type: ignore[arg-type]
    except (OSError, orjson.JSONDecodeError, KeyError, TypeError) as error:
        raise RecordError(f"{path.name}: {error}") from None


def current_commit() -> str:
    """The commit that is checked out, with ``+changes`` where the tree differs from it."""
    try:
        commit = _git("rev-parse", "--short=12", "HEAD")
        return commit + ("+changes" if _git("status", "--porcelain", "--untracked-files=no") else "")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"


def _git(*arguments: str) -> str:
    result = subprocess.run(["git", *arguments], capture_output=True, text=True, check=True)
    return result.stdout.strip()
