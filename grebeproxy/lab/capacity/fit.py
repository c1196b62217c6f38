"""Least-squares fits of measured points, and how far they are carried beyond them.

The squares are those of relative errors: sizes span decades, and with absolute errors the largest alone would
decide.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

import numpy as np
from numpy.typing import NDArray

Vector = NDArray[np.float64]
ROUNDING = 1e-9  # part of the largest value below which an intercept is an error of rounding


class FitError(Exception):
    """Points that the chosen model cannot be fitted to."""


class Model(Enum):
    """How a value grows with a size ``n``."""

    CONSTANT = "constant"
    LINEAR = "linear"
    AFFINE = "affine"
    LOG = "log"
    N_LOG_N = "n log n"
    INVERSE = "inverse"
    SQUARE = "square"
    POWER = "power"


NEEDS_SIZES_ABOVE_ZERO = (Model.LOG, Model.N_LOG_N, Model.INVERSE)


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted model.

    ``slope`` multiplies the model's function of the size (for ``POWER``, the size to the power of
    ``exponent``); ``residual`` is the root mean square of the relative errors at the measured points.
    """

    model: Model
    intercept: float
    slope: float
    exponent: float
    residual: float
    sizes: tuple[float, ...]

    def at(self, size: float) -> float:
        """The fitted value at a size."""
        if self.model is Model.POWER:
            return float(self.slope * size**self.exponent)
        if self.model is Model.CONSTANT:
            return self.intercept
        return float(self.intercept + self.slope * _FUNCTIONS[self.model](np.array([size]))[0])

    def beyond(self, size: float) -> float:
        """How many times the largest measured size a size is."""
        return size / max(self.sizes)


def fit(model: Model, sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a model by least squares. Raises ``FitError``."""
    if len(sizes) != len(values) or not sizes:
        raise FitError("there are no points to fit")
    x, y = np.array(sizes, dtype=np.float64), np.array(values, dtype=np.float64)
    if model is Model.POWER:
        intercept, slope, exponent = 0.0, *_power(x, y)
    else:
        intercept, slope = _least_squares(model, x, y)
        exponent = 1.0
    unrated = Fit(model, intercept, slope, exponent, 0.0, tuple(sizes))
    return Fit(model, intercept, slope, exponent, _relative_rms(unrated, x, y), tuple(sizes))


def _itself(x: Vector) -> Vector:
    return x


def _n_log_n(x: Vector) -> Vector:
    result: Vector = x * np.log(x)
    return result


def _log(x: Vector) -> Vector:
    result: Vector = np.log(x)
    return result


def _inverse(x: Vector) -> Vector:
    return 1.0 / x


def _square(x: Vector) -> Vector:
    return x * x


_FUNCTIONS: dict[Model, Callable[[Vector], Vector]] = {
    Model.LINEAR: _itself,
    Model.AFFINE: _itself,
    Model.LOG: _log,
    Model.N_LOG_N: _n_log_n,
    Model.SQUARE: _square,
    Model.INVERSE: _inverse,
}


def _least_squares(model: Model, x: Vector, y: Vector) -> tuple[float, float]:
    """Intercept and slope with the least relative errors; one of them is zero where the model has none."""
    if model in NEEDS_SIZES_ABOVE_ZERO and (x <= 0).any():
        raise FitError(f"{model.value} needs sizes above zero")
    ones = np.ones_like(x)
    if model is Model.CONSTANT:
        (intercept,) = _weighted(ones[:, None], y)
        return float(intercept), 0.0
    column = _FUNCTIONS[model](x)
    if model is Model.LINEAR:
        (slope,) = _weighted(column[:, None], y)
        return 0.0, float(slope)
    intercept, slope = _weighted(np.column_stack([ones, column]), y)
    nothing = abs(intercept) < ROUNDING * np.abs(y).max()
    return (0.0 if nothing else float(intercept)), float(slope)


def _weighted(columns: Vector, y: Vector) -> Vector:
    """The factors of the columns with the least squares of relative errors."""
    weights = 1.0 / _scale(y)
    factors, *_ = np.linalg.lstsq(columns * weights[:, None], y * weights, rcond=None)
    return np.asarray(factors, dtype=np.float64)


def _scale(y: Vector) -> Vector:
    """What errors are relative to: each value, or one where it is zero."""
    return np.where(y == 0, 1.0, np.abs(y))


def _power(x: Vector, y: Vector) -> tuple[float, float]:
    """Factor and exponent, fitted on logarithms."""
    if (x <= 0).any() or (y <= 0).any():
        raise FitError("a power needs sizes and values above zero")
    exponent, intercept = np.polyfit(np.log(x), np.log(y), 1)
    return float(np.exp(intercept)), float(exponent)


def _relative_rms(fitted: Fit, x: Vector, y: Vector) -> float:
    expected = np.array([fitted.at(size) for size in x])
    return float(np.sqrt(np.mean(((y - expected) / _scale(y)) ** 2)))
