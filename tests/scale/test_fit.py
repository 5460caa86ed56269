"""Fits of costs by size, on data whose growth is known."""

import math
import random

import pytest

from cottonspread.lab.scale.fit import Fit, FitError, fit
from cottonspread.lab.scale.results import Point

SIZES = (1_000, 4_000, 10_000, 40_000, 76_190)


def points(cost, sizes=SIZES, noise=0.0, seed=1):
    rng = random.Random(seed)
    return [Point(size, cost(size) * (1 + rng.uniform(-noise, noise))) for size in sizes]


def test_the_fit_of_a_line_has_its_slope_and_intercept():
    found = fit(points(lambda n: 500 + 1.19 * n))
    assert found.term == "linear"
    assert found.slope == pytest.approx(1.19) and found.intercept == pytest.approx(500)
    assert found.residual < 1e-9
    assert (found.smallest, found.largest) == (1_000, 76_190)
    assert found.at(100_000) == pytest.approx(119_500)


@pytest.mark.parametrize(
    "cost, term, exponent",
    [
        (lambda n: 3 * n, "linear", 1.0),
        (lambda n: 2 + 0.5 * n * math.log(n), "n log n", 1.1),
        (lambda n: 7 + 1e-3 * n * n, "quadratic", 2.0),
        (lambda n: 40 + 9 * math.log(n), "log n", 0.08),
        (lambda n: 12.5, "constant", 0.0),
        (lambda n: 0.0, "constant", 0.0),
    ],
)
@pytest.mark.parametrize("noise", [0.0, 0.01])
def test_the_term_of_the_growth_is_found(cost, term, exponent, noise):
    found = fit(points(cost, noise=noise))
    assert found.term == term
    assert found.exponent == pytest.approx(exponent, abs=0.1)
    assert found.residual <= 0.03


def test_a_line_with_noise_is_fitted_as_linear():
    for seed in range(50):
        assert fit(points(lambda n: 100 + 0.02 * n, noise=0.05, seed=seed)).term == "linear"


def test_a_large_intercept_is_not_fitted_as_slow_growth():
    found = fit(points(lambda n: 1e6 + 10 * n))
    assert found.term == "linear" and found.exponent < 0.3
    assert found.slope == pytest.approx(10)


def test_the_residual_is_the_largest_relative_residual():
    measured = points(lambda n: 2 * n)
    measured[2] = Point(measured[2].size, measured[2].value * 1.3)
    found = fit(measured)
    relative_residuals = [abs(p.value - found.at(p.size)) / p.value for p in measured]
    assert found.residual == pytest.approx(max(relative_residuals)) and found.residual > 0.1


def test_all_sizes_have_the_same_weight():
    """With absolute residuals the largest size would decide alone, and the smallest be far off the line."""
    measured = points(lambda n: 2 * n)
    measured[-1] = Point(measured[-1].size, measured[-1].value * 1.05)
    found = fit(measured)
    assert abs(found.at(1_000) - 2_000) < 60


def test_extrapolation_is_the_target_over_the_largest_size():
    found = fit(points(lambda n: n, sizes=(50, 100, 200, 400)))
    assert found.extrapolation(3_000) == 7.5
    assert found.extrapolation(400) == 1.0
    assert found.extrapolation(100) < 1
    assert found.extrapolation(400.02) == 1.0 and found.extrapolation(401) > 1.0


def test_a_cost_that_falls_is_not_extrapolated():
    found = fit(points(lambda n: 300 - 0.002 * n, noise=0.02))
    assert found.term == "constant" and found.slope == 0
    assert found.at(10_000_000) == pytest.approx(250, rel=0.1)
    assert found.residual > 0.4


def test_growth_is_compared_with_a_term():
    quadratic, line = fit(points(lambda n: n * n)), fit(points(lambda n: n))
    assert quadratic.grows_faster_than("linear") and quadratic.grows_faster_than("n log n")
    assert not quadratic.grows_faster_than("quadratic")
    assert line.grows_faster_than("constant") and not line.grows_faster_than("linear")
    falling = Fit("quadratic", 9.0, -1.0, 0.0, -1.0, 1.0, 2.0)
    assert not falling.grows_faster_than("linear")


def test_fewer_than_four_sizes_are_an_error():
    with pytest.raises(FitError, match="3 sizes"):
        fit(points(lambda n: n, sizes=(1, 2, 3)))
    with pytest.raises(FitError, match="3 sizes"):
        fit(points(lambda n: n, sizes=(1, 2, 3, 3)))
    assert fit(points(lambda n: n, sizes=(1, 2, 3, 4))).slope == pytest.approx(1)


@pytest.mark.parametrize("point", [Point(0, 1), Point(-1, 1), Point(9, math.nan), Point(math.inf, 1)])
def test_points_that_are_not_finite_are_an_error(point):
    with pytest.raises(FitError, match="finite"):
        fit([point, *points(lambda n: n)])


def test_noise_in_a_value_close_to_zero_does_not_decide_the_fit():
    """At size 10 the value is 400 instead of 20; the largest value is 152,380.

    The residual is taken relative to a hundredth of the largest value, 1,524: the slope changes by 4% and no
    residual is over 10%. Without that floor the slope would change by 5%, and a residual would be 13%.
    """
    found = fit([Point(10, 400.0), *points(lambda n: 2 * n)])
    assert found.term == "linear"
    assert found.slope == pytest.approx(1.9249, rel=1e-3)
    assert found.residual == pytest.approx(0.0984, rel=0.01)


@pytest.mark.parametrize("slope", [1 / 6, 20.2, 1e9])
def test_a_coefficient_that_is_rounding_error_is_zero(slope):
    """Solvers round differently on other processors: what they leave of a zero must not reach the page."""
    found = fit(points(lambda n: slope * n, sizes=(10, 50, 100, 200, 420)))
    assert found.intercept == 0.0
    assert found.slope == pytest.approx(slope)


def test_a_small_coefficient_that_is_no_rounding_error_is_kept():
    found = fit(points(lambda n: 1e-9 + 20.2 * n, sizes=(10, 50, 100, 200, 420)))
    assert found.intercept == pytest.approx(1e-9, rel=1e-3)
