"""Checks of the settings' JSON form that name the faulty key. Later errors of the decoder name less."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

from grebeproxy.errors import GrebeproxyError
from grebeproxy.policy.interface import Scope

if TYPE_CHECKING:  # imports for types only would slow down each start by milliseconds
    from grebeproxy.settings.fields import CategoryFields, ObligationFields

KEYED_EFFECT = "dedup"  # the effect of classes whose requests have idempotency keys
# What bounds the retries of a class with idempotency keys. A default could allow retries that run twice.
REQUIRED_OF_KEYED_CLASSES = ("group", "window")
GROUPS = frozenset(scope.value for scope in Scope)
# The times of rules that always apply. Without one of them, its rule would be lifted.
REQUIRED_OBLIGATIONS = ("stopSendingWithin", "rampTime", "overloadFor")
BUDGET_WINDOW = "countedOver"
BUDGET_KEYS = ("extraFloor", "extraPerRequest")  # mean nothing without the window


class SettingsError(GrebeproxyError, ValueError):
    """A settings field is invalid; the text begins with the field's name.

    The error is also a ``ValueError`` for the sake of callers that catch that class.
    """


def check_categories(categories: Sequence[CategoryFields]) -> None:
    """Check what is needed to serve a request of each class and to bound its retries."""
    for index, category in enumerate(categories):
        prefix = f"categories.{index}."
        _positive_number(category["aim"], f"{prefix}aim")
        _positive_number(category["deadline"], f"{prefix}deadline")
        if category["effect"] == KEYED_EFFECT:
            _check_given(category, REQUIRED_OF_KEYED_CLASSES, prefix)
        if "group" in category and category["group"] not in GROUPS:
            raise SettingsError(f"{prefix}group: must be one of {', '.join(sorted(GROUPS))}")


def max_attempts(value: object) -> int:
    """The number of attempts that a request may have."""
    key = "limits.mostTries"
    return whole_number(_positive_number(value, key), key)


def whole_number(value: object, key: str) -> int:
    """The value as an integer. JSON has several forms of a whole number, such as 2, 2.0 and 2e0."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value % 1:
        raise SettingsError(f"{key}: must be a whole number")
    return int(value)


def check_obligations(obligations: ObligationFields) -> None:
    """Check that no rule is lifted because one of its keys is missing."""
    _check_given(obligations, REQUIRED_OBLIGATIONS, "obligations.")
    if any(key in obligations for key in BUDGET_KEYS):
        _check_given(obligations, (BUDGET_WINDOW,), "obligations.")


def check_length(key: str, values: Sequence[object], names: Sequence[object]) -> None:
    """Check that a list of ``familyInfo`` has one value for each name."""
    if len(values) != len(names):
        raise SettingsError(f"familyInfo.{key}: must have {len(names)} values, has {len(values)}")


def _check_given(fields: Mapping[str, object], keys: Sequence[str], prefix: str) -> None:
    for key in keys:
        if fields.get(key) is None:
            raise SettingsError(f"{prefix}{key}: missing")


def _positive_number(value: object, key: str) -> float:
    """The value as a number. Raises ``SettingsError`` unless it is a finite number above 0."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < float("inf"):
        raise SettingsError(f"{key}: must be a number above 0")
    return float(value)
