"""Least-squares fits of measured points, and their extrapolation to larger sizes.

Fits minimize squared relative errors. Sizes span orders of magnitude, so with absolute errors the largest
size alone would determine the fit.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from enum import Enum
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray

from grebeproxy.lab.capacity.errors import FitError

Vector = NDArray[np.float64]
ROUNDING_ERROR = 1e-9  # an intercept below this fraction of the largest value counts as zero


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


class Curve(NamedTuple):
    """Coefficients of a fitted model, with the meaning that they have in ``Fit``."""

    intercept: float
    slope: float
    exponent: float = 1.0


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
        """Return the fitted value at a size."""
        if self.model is Model.POWER:
            return float(self.slope * size**self.exponent)
        if self.model is Model.CONSTANT:
            return self.intercept
        return float(self.intercept + self.slope * _FUNCTIONS[self.model](np.array([size]))[0])

    def extrapolation(self, size: float) -> float:
        """Return a size as a multiple of the largest measured size."""
        return size / max(self.sizes)


def fit(model: Model, sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a model by least squares. Raises ``FitError``."""
    if len(sizes) != len(values) or not sizes:
        raise FitError("there are no points to fit")
    x = np.array(sizes, dtype=np.float64)
    y = np.array(values, dtype=np.float64)
    curve = _fit_power_law(x, y) if model is Model.POWER else _fit_coefficients(model, x, y)
    fitted = Fit(model, curve.intercept, curve.slope, curve.exponent, 0.0, tuple(sizes))
    return replace(fitted, residual=_relative_rms(fitted, x, y))


def _identity(x: Vector) -> Vector:
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
    Model.LINEAR: _identity,
    Model.AFFINE: _identity,
    Model.LOG: _log,
    Model.N_LOG_N: _n_log_n,
    Model.SQUARE: _square,
    Model.INVERSE: _inverse,
}


def _fit_coefficients(model: Model, x: Vector, y: Vector) -> Curve:
    """Fit the coefficients with the least relative errors. Coefficients that the model lacks are zero."""
    if model in NEEDS_SIZES_ABOVE_ZERO and (x <= 0).any():
        raise FitError(f"{model.value} needs sizes above zero")
    ones = np.ones_like(x)
    if model is Model.CONSTANT:
        (intercept,) = _relative_least_squares(ones[:, None], y)
        return Curve(float(intercept), 0.0)
    column = _FUNCTIONS[model](x)
    if model is Model.LINEAR:
        (slope,) = _relative_least_squares(column[:, None], y)
        return Curve(0.0, float(slope))
    intercept, slope = _relative_least_squares(np.column_stack([ones, column]), y)
    negligible = abs(intercept) < ROUNDING_ERROR * np.abs(y).max()
    return Curve(0.0 if negligible else float(intercept), float(slope))


def _relative_least_squares(columns: Vector, y: Vector) -> Vector:
    """Return the factors of the columns that minimize the squared relative errors."""
    weights = 1.0 / _relative_error_scale(y)
    factors, *_ = np.linalg.lstsq(columns * weights[:, None], y * weights, rcond=None)
    return np.asarray(factors, dtype=np.float64)


def _relative_error_scale(y: Vector) -> Vector:
    """Return the divisor of each point's relative error: its absolute value, or 1 for a value of zero."""
    return np.where(y == 0, 1.0, np.abs(y))


def _fit_power_law(x: Vector, y: Vector) -> Curve:
    """Fit a power law as a straight line through the logarithms."""
    if (x <= 0).any() or (y <= 0).any():
        raise FitError("a power law needs sizes and values above zero")
    exponent, log_factor = np.polyfit(np.log(x), np.log(y), 1)
    return Curve(0.0, float(np.exp(log_factor)), float(exponent))


def _relative_rms(fitted: Fit, x: Vector, y: Vector) -> float:
    expected = np.array([fitted.at(size) for size in x])
    return float(np.sqrt(np.mean(((y - expected) / _relative_error_scale(y)) ** 2)))
