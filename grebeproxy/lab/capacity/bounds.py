"""Compares the declared bounds with the code."""

from __future__ import annotations

from importlib import import_module
from importlib.util import find_spec
from pathlib import Path

from grebeproxy.lab.capacity.rows import Bound


def problems_of(bound: Bound) -> list[str]:
    """How a declared bound differs from the code; empty where it does not."""
    where = f"bound {bound.module}.{bound.name or bound.line}"
    file = module_file(bound.module)
    if file is None:
        return [f"{where}: there is no such module"]
    if bound.line:
        return [] if bound.line in file.read_text() else [f"{where}: the file has no such line"]
    try:
        actual = current_value(bound)
    except (AttributeError, KeyError):
        return [f"{where}: there is no such constant"]
    return [] if actual == bound.value else [f"{where}: the page says {bound.value}, the code {actual}"]


def current_value(bound: Bound) -> object:
    """The value in the code: of a module's constant, or a dataclass field's default (``Class.field``)."""
    name, _, field = bound.name.partition(".")
    constant = getattr(import_module(bound.module), name)
    if not field:
        return constant
    return constant.__dataclass_fields__[field].default


def module_file(module: str) -> Path | None:
    """The file of a module, without importing it; ``None`` where there is no such module."""
    try:
        spec = find_spec(module)
    except ModuleNotFoundError:
        return None
    return Path(spec.origin) if spec is not None and spec.origin else None
