"""Formats numbers for the page."""

from __future__ import annotations

import math

SIGNIFICANT_DIGITS = 3
MAX_WHOLE = 1e15  # whole numbers below this are exact as floats and are written with all digits
PERCENT = 100


def format_number(value: float) -> str:
    """Format a number with three significant digits, or a whole number with all its digits."""
    if math.isinf(value):
        return "without bound"
    if value == 0:
        return "0"
    if float(value).is_integer() and abs(value) < MAX_WHOLE:
        return f"{int(value):,}"
    decimals = SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(abs(value)))
    rounded = round(value, decimals)
    text = f"{rounded:,.{max(0, decimals)}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def format_with_unit(value: float, unit: str) -> str:
    """Format a number and its unit, which may be empty."""
    return f"{format_number(value)} {unit}".rstrip()


def format_percent(fraction: float) -> str:
    """Format a fraction as a percentage."""
    return f"{fraction * PERCENT:.1f}%"
