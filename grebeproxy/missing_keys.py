"""Finds the keys that a new configuration file lacks although the file in force has them.

A file that an editor has cut short can still be valid JSON, and a default for a missing key may lift a rule.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

# Keys that an element may lack although all elements of the list in force have them, by path of the list.
# They apply only to elements that the list in force does not have.
OPTIONAL_IN_NEW_ELEMENTS: Mapping[str, frozenset[str]] = {
    "settings.categories": frozenset({"aimStretch", "confinedTo", "inTurn", "servedOn", "stream"}),
}


def first_missing_key(in_force: object, new: object) -> str | None:
    """The dotted path of a key that the JSON value ``new`` lacks; ``None`` if it lacks none.

    Keys are compared at any depth. A key whose value is null counts as missing, unless it was null before.
    Lists may become shorter and longer. An object in a list is compared with the object of the same ``name``
    in the list in force, or with the one at the same position if it has no name. An object without a
    counterpart must have the keys that all objects of the list in force share.
    """
    return next(_missing_keys(in_force, new, ""), None)


def _missing_keys(in_force: object, new: object, path: str) -> Iterator[str]:
    if isinstance(in_force, dict):
        yield from _missing_in_object(in_force, new, path)
    elif isinstance(in_force, list) and isinstance(new, list):
        yield from _missing_in_list(in_force, new, path)


def _missing_in_object(in_force: Mapping[str, object], new: object, path: str) -> Iterator[str]:
    values = new if isinstance(new, dict) else {}
    for key, value_in_force in in_force.items():
        key_path = f"{path}.{key}" if path else key
        value = values.get(key)
        if key not in values or (value is None and value_in_force is not None):
            yield key_path
        else:
            yield from _missing_keys(value_in_force, value, key_path)


def _missing_in_list(in_force: Sequence[object], new: Sequence[object], path: str) -> Iterator[str]:
    by_identity = {_identity(element, index): element for index, element in enumerate(in_force)}
    model = _shared_keys(in_force, OPTIONAL_IN_NEW_ELEMENTS.get(path, frozenset()))
    for index, element in enumerate(new):
        counterpart = by_identity.get(_identity(element, index), model)
        yield from _missing_keys(counterpart, element, f"{path}.{index}")


def _identity(element: object, index: int) -> str | int:
    """What identifies an element of a list: its name, or else its position."""
    name = element.get("name") if isinstance(element, dict) else None
    return name if isinstance(name, str) else index


def _shared_keys(elements: Sequence[object], optional: frozenset[str]) -> dict[str, bool]:
    """The keys that have a value in all objects among ``elements``, except the optional ones."""
    key_sets = [
        {key for key, value in element.items() if value is not None}
        for element in elements
        if isinstance(element, dict)
    ]
    shared = set[str]().union(*key_sets[:1]).intersection(*key_sets) - optional
    return dict.fromkeys(sorted(shared), True)
