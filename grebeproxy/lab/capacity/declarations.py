"""Loads rows, targets and bounds from their TOML files.

``docs/capacity/rows/*.toml`` hold ``[[row]]`` tables, ``docs/capacity/targets.toml`` named numbers, and
``docs/capacity/bounds/*.toml`` ``[[bound]]`` tables. ``docs/capacity/README.md`` describes each field.
"""

from __future__ import annotations

import tomllib
from dataclasses import MISSING, fields
from pathlib import Path
from typing import Any, TypeVar

from grebeproxy.lab.capacity.errors import DeclarationError
from grebeproxy.lab.capacity.fit import Model
from grebeproxy.lab.capacity.rows import ROLES, Bound, Number, RequestPath, Row, Stage

ENUMS = {"path": RequestPath, "fit": Model, "stage": Stage}
TUPLES = ("sum", "product", "over")

Table = dict[str, Any]  # as tomllib returns it: any TOML value by key
Declared = TypeVar("Declared", Row, Bound)


def load_rows(folder: Path) -> list[Row]:
    """All rows, by file and in the file's order. Raises ``DeclarationError``."""
    rows: list[Row] = []
    for path in sorted(folder.glob("*.toml")):
        rows += [_declared(Row, _converted(path, table), path) for table in _tables(path, "row")]
    ids: set[str] = set()
    for row in rows:
        if row.id in ids:
            raise DeclarationError(f"rows: {row.id}: declared twice")
        if row.role not in ROLES:
            raise DeclarationError(f"rows: {row.id}: {row.role} is no role")
        ids.add(row.id)
    return rows


def load_bounds(folder: Path) -> list[Bound]:
    """All bounds that contradict the target. Raises ``DeclarationError``."""
    bounds: list[Bound] = []
    for path in sorted(folder.glob("*.toml")):
        bounds += [_declared(Bound, table, path) for table in _tables(path, "bound")]
    return bounds


def load_targets(path: Path) -> dict[str, Number]:
    """The fleet's target figures by name. Raises ``DeclarationError``."""
    targets = _read(path)
    for name, value in targets.items():
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise DeclarationError(f"{path.name}: {name}: must be a number")
    return targets


def _read(path: Path) -> Table:
    try:
        return tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise DeclarationError(f"{path.name}: {error}") from None


def _tables(path: Path, name: str) -> list[Table]:
    tables = _read(path).get(name, [])
    if not isinstance(tables, list):
        raise DeclarationError(f"{path.name}: {name}: must be an array of tables")
    return tables


def _converted(path: Path, table: Table) -> Table:
    """The fields of a row with enum members and tuples in place of strings and lists."""
    converted = dict(table)
    try:
        for name, enum in ENUMS.items():
            if name in table:
                converted[name] = enum(table[name])
    except ValueError as error:
        raise DeclarationError(f"{path.name}: {table.get('id', '?')}: {error}") from None
    for name in TUPLES:
        if name in table:
            converted[name] = tuple(table[name])
    return converted


def _declared(kind: type[Declared], table: Table, path: Path) -> Declared:
    where = f"{path.name}: {table.get('id') or table.get('name') or '?'}"
    known = {field.name for field in fields(kind)}
    required = {
        field.name for field in fields(kind) if field.default is MISSING and field.default_factory is MISSING
    }
    if unknown := sorted(table.keys() - known):
        raise DeclarationError(f"{where}: not known: {', '.join(unknown)}")
    if missing := sorted(required - table.keys()):
        raise DeclarationError(f"{where}: missing: {', '.join(missing)}")
    return kind(**table)
