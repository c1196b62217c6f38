"""Errors of the capacity page."""

from __future__ import annotations

from grebeproxy.errors import GrebeproxyError


class CapacityError(GrebeproxyError):
    """The capacity page cannot be computed from its declarations and records."""


class DeclarationError(CapacityError):
    """A declaration is invalid. The message begins with the file's name."""


class FitError(CapacityError):
    """The chosen model cannot be fitted to the points."""


class FigureError(CapacityError):
    """A row's value cannot be derived. The message begins with the row's id."""


class PageError(CapacityError):
    """The page cannot be rendered. The message names the placeholder or the declaration."""
