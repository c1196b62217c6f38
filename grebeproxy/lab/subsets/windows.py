"""Helpers for windows: for each router a row of engine numbers, filled up with ``NO_ENGINE``."""

from __future__ import annotations

import numpy as np

from grebeproxy.lab.subsets.fleet import Integers, Keys, mix

NO_ENGINE = -1
SALT_FACTOR = np.uint64(0x9E3779B97F4A7C15)


def salted(keys: Keys, salt: int) -> Keys:
    """Hashes of the keys that differ by salt."""
    with np.errstate(over="ignore"):
        return mix(keys + SALT_FACTOR * np.uint64(salt + 1))


def window_rows(order: Integers, starts: Integers, sizes: Integers) -> Integers:
    """The next ``sizes`` entries of a cyclic order from each start on."""
    offsets = np.arange(int(sizes.max(initial=0)))
    rows = order[(starts[:, None] + offsets) % len(order)]
    return np.where(offsets < sizes[:, None], rows, NO_ENGINE)


def without_repeats(rows: Integers) -> Integers:
    """Rows in which an engine occurs once, at its first position."""
    by_engine = np.argsort(rows, axis=1, kind="stable")
    sorted_rows = np.take_along_axis(rows, by_engine, axis=1)
    repeated = np.zeros(rows.shape, dtype=np.bool_)
    repeated[:, 1:] = sorted_rows[:, 1:] == sorted_rows[:, :-1]
    result = np.empty_like(rows)
    np.put_along_axis(result, by_engine, np.where(repeated, NO_ENGINE, sorted_rows), axis=1)
    return result


def without_gaps(rows: Integers) -> Integers:
    """Rows with their engines first, in unchanged order."""
    result: Integers = np.take_along_axis(rows, np.argsort(rows == NO_ENGINE, axis=1, kind="stable"), axis=1)
    return result
