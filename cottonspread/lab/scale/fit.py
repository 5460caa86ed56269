"""How a cost grows with a size: least squares over the points of a sweep, and the term that tells them best.

Residuals are relative to the values, so that each size counts alike: sweeps run over two decades and more,
and what strays in a measured cost strays in proportion to it. A value under a hundredth of the largest is
taken for that hundredth, or noise in what is next to nothing would decide.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np

from cottonspread.lab.scale.results import MIN_SIZES, Point

RESIDUAL_FLOOR = 0.01
"""Part of the largest value under which a residual is not held against the value itself."""

SAME_SIZE_FACTOR = 1.001
"""A target that is larger than a size by a smaller factor was played: 76,190.5 connections are 76,190."""

MIN_GROWTH = 0.1
"""A cost that grows by a smaller part from the smallest size to the largest, or falls, is constant: nothing
that a size adds makes it, and a fall carried on past the largest size would promise ever less."""

MIN_IMPROVEMENT = 4.0
"""Squares of residuals have to fall by this factor before a cost is called anything but linear."""

TERMS: dict[str, Callable[[float], float]] = {
    "constant": lambda size: 0.0,
    "log n": lambda size: math.log(size),
    "linear": lambda size: size,
    "n log n": lambda size: size * math.log(size),
    "quadratic": lambda size: size * size,
}
"""What a cost may grow with, the slowest first."""


class FitError(ValueError):
    """The points tell no slope."""


@dataclass(frozen=True)
class Fit:
    """`intercept + slope * TERMS[term](size)`."""

    term: str
    intercept: float
    slope: float
    """Of the term: of a linear cost, value a unit of size."""
    residual: float
    """The largest residual, relative to its value: 0.05 is 5%."""
    exponent: float
    """Of a power fit, `value = c * size ** exponent`; 0 where no value is over 0."""
    smallest: float
    largest: float
    """Sizes played."""

    def at(self, size: float) -> float:
        """The cost at a size, which need not have been played."""
        return self.intercept + self.slope * TERMS[self.term](size)

    def extrapolation(self, target: float) -> float:
        """How many times the largest size played the target is; 1 and less: it was played."""
        past = target / self.largest
        return 1.0 if 1.0 < past < SAME_SIZE_FACTOR else past

    def grows_faster_than(self, term: str) -> bool:
        """Whether the cost grows by a faster term than this one."""
        order = list(TERMS)
        return order.index(self.term) > order.index(term) and self.slope > 0


def fit(points: Sequence[Point]) -> Fit:
    """The fit of the points; linear unless the cost does not grow or another term tells it much better.

    Raises FitError for fewer than four sizes, a size that is not over 0 or a value that is no number.
    """
    sizes = np.array([point.size for point in points], dtype=float)
    values = np.array([point.value for point in points], dtype=float)
    if len(set(sizes)) < MIN_SIZES:
        raise FitError(f"{len(set(sizes))} sizes; {MIN_SIZES} at least are wanted")
    if not (np.isfinite(sizes).all() and np.isfinite(values).all() and (sizes > 0).all()):
        raise FitError("sizes over 0 and finite values are wanted")
    fits = {term: _least_squares(term, sizes, values) for term in TERMS if term != "constant"}
    squared_residuals = {term: found[1] for term, found in fits.items()}
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
    largest = np.abs(columns).max(axis=0)  # so that neither column is lost beside the other
    (intercept, slope), *_ = np.linalg.lstsq(columns / largest, values * weight, rcond=None)
    intercept, slope = intercept / largest[0], slope / largest[1]
    residuals = np.abs(values - intercept - slope * term_values) * weight
    found = Fit(
        term=term,
        intercept=float(intercept),
        slope=float(slope),
        residual=float(residuals.max()),
        exponent=_exponent(sizes, values),
        smallest=float(sizes.min()),
        largest=float(sizes.max()),
    )
    return found, float((residuals**2).sum())


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


def _is_constant(found: Fit, sizes: np.ndarray) -> bool:
    first, last = found.at(sizes.min()), found.at(sizes.max())
    return last - first <= MIN_GROWTH * max(abs(first), abs(last))


def _scale(values: np.ndarray) -> np.ndarray:
    largest = np.abs(values).max()
    return np.maximum(np.abs(values), RESIDUAL_FLOOR * largest) if largest else np.ones_like(values)


def _exponent(sizes: np.ndarray, values: np.ndarray) -> float:
    told = values > 0
    if told.sum() < 2:
        return 0.0
    return float(np.polyfit(np.log(sizes[told]), np.log(values[told]), 1)[0])
