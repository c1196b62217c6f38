"""Errors of the capacity page."""

from __future__ import annotations

from grebeproxy.errors import GrebeproxyError


class CapacityError(GrebeproxyError):
    """The capacity page cannot be computed from its declarations and records."""


class DeclarationError(CapacityError):
    """A declaration that cannot be used; the text begins with the file's name."""


class FitError(CapacityError):
    """Points that the chosen model cannot be fitted to."""


class FigureError(CapacityError):
    """A row whose value cannot be derived; the text begins with the row's id."""


class PageError(CapacityError):
    """A page that cannot be rendered; the text names the placeholder or the declaration."""
