"""How numbers are written on the page."""

from __future__ import annotations

import math

SIGNIFICANT = 3


def shown(value: float) -> str:
    """A number with three significant digits, or all digits of a whole part that is longer."""
    if math.isinf(value):
        return "without bound"
    if value == 0:
        return "0"
    if float(value).is_integer() and abs(value) < 1e15:
        return f"{int(value):,}"
    decimals = SIGNIFICANT - 1 - math.floor(math.log10(abs(value)))
    rounded = round(value, decimals)
    text = f"{rounded:,.{max(0, decimals)}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def with_unit(value: float, unit: str) -> str:
    """A number and its unit."""
    return f"{shown(value)} {unit}".rstrip()


def percent(value: float) -> str:
    """A share as a percentage."""
    return f"{value * 100:.1f}%"
