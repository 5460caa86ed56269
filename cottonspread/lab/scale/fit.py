"""How a cost grows with a size: least squares over the points of a sweep, for the term that fits best.

Residuals are relative to the values, so that all sizes have the same weight: sweeps span two decades and
more, and the noise of a measured cost is proportional to it. For a value under a hundredth of the largest,
the residual is relative to that hundredth; otherwise noise in values close to zero would decide the fit.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np

from cottonspread.lab.scale.results import MIN_SIZES, Point

RESIDUAL_FLOOR = 0.01
"""Share of the largest value; residuals of values below it are relative to it, not to the value itself."""

SAME_SIZE_FACTOR = 1.001
"""A target larger than a size by a smaller factor counts as measured: 76,190.5 connections are 76,190."""

MIN_GROWTH = 0.1
"""A cost that grows by a smaller share from the smallest size to the largest, or falls, is constant: it does
not come from the size, and a decrease extrapolated past the largest size would predict ever lower costs."""

MIN_IMPROVEMENT = 4.0
"""Another term than linear is used only if the sum of squared residuals falls by this factor."""

TERMS: dict[str, Callable[[float], float]] = {
    "constant": lambda size: 0.0,
    "log n": lambda size: math.log(size),
    "linear": lambda size: size,
    "n log n": lambda size: size * math.log(size),
    "quadratic": lambda size: size * size,
}
"""The terms by which a cost may grow, the slowest first."""


class FitError(ValueError):
    """The points do not determine a fit."""


@dataclass(frozen=True)
class Fit:
    """`intercept + slope * TERMS[term](size)`."""

    term: str
    intercept: float
    slope: float
    """Value per unit of the term; of a linear cost, per unit of size."""
    residual: float
    """The largest residual, relative to its value: 0.05 is 5%."""
    exponent: float
    """Exponent of a power-law fit, `value = c * size ** exponent`; 0 with fewer than two values over 0."""
    smallest: float
    largest: float
    """Largest measured size; `smallest` is the smallest one."""

    def at(self, size: float) -> float:
        """The cost at a size, measured or not."""
        return self.intercept + self.slope * TERMS[self.term](size)

    def extrapolation(self, target: float) -> float:
        """The target over the largest measured size; 1 or less: within the measured sizes."""
        ratio = target / self.largest
        return 1.0 if 1.0 < ratio < SAME_SIZE_FACTOR else ratio

    def grows_faster_than(self, term: str) -> bool:
        """Whether the cost grows, by a faster term than this one."""
        order = list(TERMS)
        return order.index(self.term) > order.index(term) and self.slope > 0


def fit(points: Sequence[Point]) -> Fit:
    """The fit of the points; linear unless the cost does not grow or another term fits it much better.

    Raises FitError for fewer than four sizes, a size that is not over 0 or a value that is not finite.
    """
    sizes = np.array([point.size for point in points], dtype=float)
    values = np.array([point.value for point in points], dtype=float)
    if len(set(sizes)) < MIN_SIZES:
        raise FitError(f"{len(set(sizes))} sizes; at least {MIN_SIZES} required")
    if not (np.isfinite(sizes).all() and np.isfinite(values).all() and (sizes > 0).all()):
        raise FitError("sizes over 0 and finite values required")
    fits = {term: _least_squares(term, sizes, values) for term in TERMS if term != "constant"}
    squared_residuals = {term: fitted[1] for term, fitted in fits.items()}
    term = min(squared_residuals, key=squared_residuals.__getitem__)
    if squared_residuals[term] * MIN_IMPROVEMENT > squared_residuals["linear"]:
        term = "linear"
    if _is_constant(fits[term][0], sizes):
        return _constant_fit(sizes, values)
    return fits[term][0]


def _least_squares(term: str, sizes: np.ndarray, values: np.ndarray) -> tuple[Fit, float]:
    """The fit by one term, and the sum of its squared relative residuals."""
    term_values = np.array([TERMS[term](size) for size in sizes])
    weight = 1 / _scale(values)
    columns = np.column_stack([np.ones_like(term_values), term_values]) * weight[:, None]
    largest = np.abs(columns).max(axis=0)  # scales both columns alike, so that neither is lost to rounding
    (intercept, slope), *_ = np.linalg.lstsq(columns / largest, values * weight, rcond=None)
    error = _rounding_error(values)
    intercept = _zero_within(error, intercept / largest[0])
    slope = _zero_within(error / np.abs(term_values).max(), slope / largest[1])
    residuals = np.abs(values - intercept - slope * term_values) * weight
    fitted = Fit(
        term=term,
        intercept=intercept,
        slope=slope,
        residual=float(residuals.max()),
        exponent=_exponent(sizes, values),
        smallest=float(sizes.min()),
        largest=float(sizes.max()),
    )
    return fitted, float((residuals**2).sum())


def _rounding_error(values: np.ndarray) -> float:
    """Bound on what rounding alone adds to a fitted value: one rounding of the largest value per point."""
    return float(len(values) * np.finfo(float).eps * np.abs(values).max())


def _zero_within(error: float, coefficient: float) -> float:
    """The coefficient, or 0 if it may be rounding error alone, which differs between processors."""
    return 0.0 if abs(coefficient) <= error else float(coefficient)


def _constant_fit(sizes: np.ndarray, values: np.ndarray) -> Fit:
    """The fit of a cost that does not grow: the mean."""
    mean = float(values.mean())
    return Fit(
        term="constant",
        intercept=mean,
        slope=0.0,
        residual=float((np.abs(values - mean) / _scale(values)).max()),
        exponent=_exponent(sizes, values),
        smallest=float(sizes.min()),
        largest=float(sizes.max()),
    )


def _is_constant(fitted: Fit, sizes: np.ndarray) -> bool:
    first, last = fitted.at(sizes.min()), fitted.at(sizes.max())
    return last - first <= MIN_GROWTH * max(abs(first), abs(last))


def _scale(values: np.ndarray) -> np.ndarray:
    largest = np.abs(values).max()
    return np.maximum(np.abs(values), RESIDUAL_FLOOR * largest) if largest else np.ones_like(values)


def _exponent(sizes: np.ndarray, values: np.ndarray) -> float:
    positive = values > 0
    if positive.sum() < 2:
        return 0.0
    return float(np.polyfit(np.log(sizes[positive]), np.log(values[positive]), 1)[0])
