"""Compares the declared bounds with the code."""

from __future__ import annotations

from importlib import import_module
from importlib.util import find_spec
from pathlib import Path

from grebeproxy.lab.capacity.rows import Bound


def problems_of(bound: Bound) -> list[str]:
    """Return how a declared bound differs from the code, or an empty list if it matches."""
    where = f"bound {bound.module}.{bound.name or bound.line}"
    file = module_file(bound.module)
    if file is None:
        return [f"{where}: the module does not exist"]
    if bound.line:
        return [] if bound.line in file.read_text() else [f"{where}: the module does not contain this line"]
    try:
        actual = current_value(bound)
    except (AttributeError, KeyError):
        return [f"{where}: the constant does not exist"]
    return [] if actual == bound.value else [f"{where}: the page says {bound.value}, the code says {actual}"]


def current_value(bound: Bound) -> object:
    """Return the value of a module's constant, or the default of a dataclass field (``Class.field``)."""
    name, _, field = bound.name.partition(".")
    constant = getattr(import_module(bound.module), name)
    if not field:
        return constant
    return constant.__dataclass_fields__[field].default


def module_file(module: str) -> Path | None:
    """Return the file of a module without importing the module, or ``None`` if it does not exist."""
    try:
        spec = find_spec(module)
    except ModuleNotFoundError:
        return None
    return Path(spec.origin) if spec is not None and spec.origin else None
