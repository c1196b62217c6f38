"""Loads rows, targets and bounds from their TOML files.

The files ``docs/capacity/rows/*.toml`` hold ``[[row]]`` tables, ``docs/capacity/targets.toml`` holds named
numbers, and the files ``docs/capacity/bounds/*.toml`` hold ``[[bound]]`` tables.
``docs/capacity/README.md`` describes each field.
"""

from __future__ import annotations

import tomllib
from dataclasses import MISSING, fields
from pathlib import Path
from typing import Any, TypeVar

from grebeproxy.lab.capacity.errors import DeclarationError
from grebeproxy.lab.capacity.fit import Model
from grebeproxy.lab.capacity.rows import ROLES, Bound, Number, RequestPath, Row, Stage

ENUM_FIELDS = {"path": RequestPath, "fit": Model, "stage": Stage}
TUPLE_FIELDS = ("sum", "product", "over")

Table = dict[str, Any]  # a TOML table as tomllib returns it
Declared = TypeVar("Declared", Row, Bound)


def load_rows(folder: Path) -> list[Row]:
    """Load all rows, sorted by file name and then in the order of the file. Raises ``DeclarationError``."""
    rows: list[Row] = []
    for path in sorted(folder.glob("*.toml")):
        rows += [
            _build_declaration(Row, _convert_row_fields(path, table), path)
            for table in _array_of_tables(path, "row")
        ]
    ids: set[str] = set()
    for row in rows:
        if row.id in ids:
            raise DeclarationError(f"rows: {row.id}: declared twice")
        if row.role not in ROLES:
            raise DeclarationError(f"rows: {row.id}: {row.role} is not a known role")
        ids.add(row.id)
    return rows


def load_bounds(folder: Path) -> list[Bound]:
    """Load all bounds that contradict the target. Raises ``DeclarationError``."""
    bounds: list[Bound] = []
    for path in sorted(folder.glob("*.toml")):
        bounds += [_build_declaration(Bound, table, path) for table in _array_of_tables(path, "bound")]
    return bounds


def load_targets(path: Path) -> dict[str, Number]:
    """Load the target sizes of the fleet by name. Raises ``DeclarationError``."""
    targets = _read_toml(path)
    for name, value in targets.items():
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise DeclarationError(f"{path.name}: {name}: must be a number")
    return targets


def _read_toml(path: Path) -> Table:
    try:
        return tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise DeclarationError(f"{path.name}: {error}") from None


def _array_of_tables(path: Path, name: str) -> list[Table]:
    tables = _read_toml(path).get(name, [])
    if not isinstance(tables, list):
        raise DeclarationError(f"{path.name}: {name}: must be an array of tables")
    return tables


def _convert_row_fields(path: Path, table: Table) -> Table:
    """Return the fields of a row with strings converted to enum members and lists to tuples."""
    converted = dict(table)
    try:
        for name, enum in ENUM_FIELDS.items():
            if name in table:
                converted[name] = enum(table[name])
    except ValueError as error:
        raise DeclarationError(f"{path.name}: {table.get('id', '?')}: {error}") from None
    for name in TUPLE_FIELDS:
        if name in table:
            converted[name] = tuple(table[name])
    return converted


def _build_declaration(kind: type[Declared], table: Table, path: Path) -> Declared:
    where = f"{path.name}: {table.get('id') or table.get('name') or '?'}"
    known = {field.name for field in fields(kind)}
    required = {
        field.name for field in fields(kind) if field.default is MISSING and field.default_factory is MISSING
    }
    if unknown := sorted(table.keys() - known):
        raise DeclarationError(f"{where}: unknown keys: {', '.join(unknown)}")
    if missing := sorted(required - table.keys()):
        raise DeclarationError(f"{where}: missing keys: {', '.join(missing)}")
    return kind(**table)
