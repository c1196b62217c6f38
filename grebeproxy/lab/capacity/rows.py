"""Rows of the capacity page and bounds in the code, as typed values.

The fields have the names of the keys in the TOML declarations; ``docs/capacity/README.md`` describes them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

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
NumberOrName = int | float | str  # a name refers to a target or a row


class Stage(Enum):
    """Whether a row holds before the chosen mechanism was introduced, with the mechanism, or both."""

    BOTH = "both"
    BEFORE = "before"
    NOW = "now"


class RequestPath(Enum):
    """The path that waits for the work that a row measures."""

    STATEMENT = "statement"
    CONTROL = "control"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the page.

    Its value is fitted (``record``, ``metric``, ``axis``), assumed (``assumption``, ``value``), a sum of rows
    (``sum``), or a product of numbers, targets and rows (``product``, divided by all of ``over``).
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
    from_size: Number = 0  # points of smaller sizes are left out
    fit: Model = Model.AFFINE
    why: str = ""  # reason for ``from_size`` and for a fit that is not a straight line
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
    because: str = ""  # reason for a sum or a product
    short: str = ""  # reason why the largest measured size is far below the target
    without: str = ""  # what happens while the mechanism is missing
    needs: str = ""  # the mechanism that a row over its budget would need
    stage: Stage = Stage.BOTH

    @property
    def size_name(self) -> str:
        """The unit that sizes are counted in."""
        return self.axis_unit or self.axis

    @property
    def fitted(self) -> bool:
        """Whether the row's value comes from a fit of recorded points."""
        return bool(self.record)


@dataclass(frozen=True, slots=True)
class Bound:
    """A bound in the code that contradicts the target; ``text`` states the consequence.

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
