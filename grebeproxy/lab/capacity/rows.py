"""Rows of the capacity page, the fleet's targets and the bounds in the code, as declared in TOML files.

``docs/capacity/rows/*.toml`` hold ``[[row]]`` tables, ``docs/capacity/targets.toml`` named numbers, and
``docs/capacity/bounds/*.toml`` ``[[bound]]`` tables. ``docs/capacity/README.md`` describes each field.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import MISSING, dataclass, field, fields
from enum import Enum
from pathlib import Path
from typing import Any, TypeVar

from grebeproxy.lab.capacity.fit import Model

MISSING_MECHANISM = "missing"
ROLES = (
    "router-data",
    "router-control",
    "engine",
    "changelog",
    "control-machine",
    "relay",
    "publisher",
    "restart",
)

Number = int | float
NumberOrName = int | float | str  # a name is looked up among the targets, or the rows


class DeclarationError(Exception):
    """A declaration that cannot be used; the text begins with the file's name."""


class Stage(Enum):
    """Whether a row holds only before, only after the mechanism that the ranking chose, or at both times."""

    BOTH = "both"
    BEFORE = "before"
    NOW = "now"


class RequestPath(Enum):
    """What waits for the thing that a row measures."""

    STATEMENT = "statement"
    CONTROL = "control"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the page.

    A row is fitted (``record``, ``metric``, ``axis``), an assumption (``assumption``, ``value``), a sum
    (``sum``) or a product of numbers, targets and rows (``product``, divided by all of ``over``).
    """

    id: str
    role: str
    what: str
    title: str
    unit: str
    mechanism: str
    path: RequestPath = RequestPath.OTHER
    record: str = ""
    metric: str = ""
    axis: str = ""
    axis_unit: str = ""
    where: Mapping[str, Number] = field(default_factory=dict)
    from_size: Number = 0  # smaller points are left out; ``why`` says why
    fit: Model = Model.AFFINE
    why: str = ""
    metric_unit: str = ""
    target: NumberOrName = 0
    factor: Number = 1
    factor_note: str = ""
    budget: NumberOrName | None = None
    budget_source: str = ""
    assumption: str = ""
    value: NumberOrName | None = None
    sum: tuple[str, ...] = ()
    product: tuple[NumberOrName, ...] = ()
    over: tuple[NumberOrName, ...] = ()
    because: str = ""
    short: str = ""
    without: str = ""
    needs: str = ""
    stage: Stage = Stage.BOTH

    @property
    def size_name(self) -> str:
        """What sizes are counted in."""
        return self.axis_unit or self.axis

    @property
    def fitted(self) -> bool:
        """Whether the row's value comes from a fit of recorded points."""
        return bool(self.record)


@dataclass(frozen=True, slots=True)
class Bound:
    """A bound in the code that contradicts the target.

    Either ``module`` and ``name`` (``CONSTANT`` or ``Class.field``) have ``value``, or the file of the
    module contains ``line``.
    """

    module: str
    text: str
    name: str = ""
    value: Number | None = None
    line: str = ""
    needs: NumberOrName | None = None
    unit: str = ""


Declared = TypeVar("Declared", Row, Bound)


def load_rows(folder: Path) -> list[Row]:
    """All rows, by file and in the file's order. Raises ``DeclarationError``."""
    rows: list[Row] = []
    for path in sorted(folder.glob("*.toml")):
        rows += [_declared(Row, _converted(path, told), path) for told in _tables(path, "row")]
    seen: set[str] = set()
    for row in rows:
        if row.id in seen:
            raise DeclarationError(f"rows: {row.id}: declared twice")
        if row.role not in ROLES:
            raise DeclarationError(f"rows: {row.id}: {row.role} is no role")
        seen.add(row.id)
    return rows


def load_bounds(folder: Path) -> list[Bound]:
    """All bounds that contradict the target. Raises ``DeclarationError``."""
    bounds: list[Bound] = []
    for path in sorted(folder.glob("*.toml")):
        bounds += [_declared(Bound, told, path) for told in _tables(path, "bound")]
    return bounds


def load_targets(path: Path) -> dict[str, Number]:
    """The fleet's target figures by name. Raises ``DeclarationError``."""
    targets = _read(path)
    for name, value in targets.items():
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise DeclarationError(f"{path.name}: {name}: must be a number")
    return targets


def _read(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise DeclarationError(f"{path.name}: {error}") from None


def _tables(path: Path, name: str) -> list[dict[str, Any]]:
    tables = _read(path).get(name, [])
    if not isinstance(tables, list):
        raise DeclarationError(f"{path.name}: {name}: must be an array of tables")
    return tables


def _converted(path: Path, told: dict[str, Any]) -> dict[str, Any]:
    """The fields of a row as Python's types."""
    converted = dict(told)
    try:
        if "path" in told:
            converted["path"] = RequestPath(told["path"])
        if "fit" in told:
            converted["fit"] = Model(told["fit"])
        if "stage" in told:
            converted["stage"] = Stage(told["stage"])
    except ValueError as error:
        raise DeclarationError(f"{path.name}: {told.get('id', '?')}: {error}") from None
    for name in ("sum", "product", "over"):
        if name in told:
            converted[name] = tuple(told[name])
    return converted


def _declared(kind: type[Declared], told: dict[str, Any], path: Path) -> Declared:
    where = f"{path.name}: {told.get('id') or told.get('name') or '?'}"
    known = {f.name for f in fields(kind)}
    needed = {f.name for f in fields(kind) if f.default is MISSING and f.default_factory is MISSING}
    if unknown := sorted(told.keys() - known):
        raise DeclarationError(f"{where}: not known: {', '.join(unknown)}")
    if missing := sorted(needed - told.keys()):
        raise DeclarationError(f"{where}: missing: {', '.join(missing)}")
    return kind(**told)
