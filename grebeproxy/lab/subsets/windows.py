"""Helpers for windows: a row of engine numbers for each router, padded with ``NO_ENGINE``."""

from __future__ import annotations

import numpy as np

from grebeproxy.lab.subsets.fleet import Integers, Keys, mix

NO_ENGINE = -1
SALT_FACTOR = np.uint64(0x9E3779B97F4A7C15)  # increment of splitmix64


def salted(keys: Keys, salt: int) -> Keys:
    """Hashes of the keys; each salt gives different hashes."""
    with np.errstate(over="ignore"):
        return mix(keys + SALT_FACTOR * np.uint64(salt + 1))


def window_rows(order: Integers, starts: Integers, sizes: Integers) -> Integers:
    """For each start, the next ``sizes`` entries of a cyclic order, padded with ``NO_ENGINE``."""
    offsets = np.arange(int(sizes.max(initial=0)))
    rows = order[(starts[:, None] + offsets) % len(order)]
    return np.where(offsets < sizes[:, None], rows, NO_ENGINE)


def without_repeats(rows: Integers) -> Integers:
    """The rows with ``NO_ENGINE`` in place of each repeated occurrence of an engine."""
    by_engine = np.argsort(rows, axis=1, kind="stable")
    sorted_rows = np.take_along_axis(rows, by_engine, axis=1)
    repeated = np.zeros(rows.shape, dtype=np.bool_)
    repeated[:, 1:] = sorted_rows[:, 1:] == sorted_rows[:, :-1]
    result = np.empty_like(rows)
    np.put_along_axis(result, by_engine, np.where(repeated, NO_ENGINE, sorted_rows), axis=1)
    return result


def without_gaps(rows: Integers) -> Integers:
    """The rows with their engines moved to the front, in unchanged order."""
    result: Integers = np.take_along_axis(rows, np.argsort(rows == NO_ENGINE, axis=1, kind="stable"), axis=1)
    return result
