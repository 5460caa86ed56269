"""Formulas of the capacity model: arithmetic is evaluated, anything else is rejected."""

import pytest

from cottonspread.lab.scale.formula import FormulaError, evaluate

VALUES = {"nodes": 420.0, "connections": 32e6, "zero": 0.0}


@pytest.mark.parametrize(
    "formula, value",
    [
        ("2 + 3 * 4", 14),
        ("(2 + 3) * 4", 20),
        ("8 / 4 / 2", 1),
        ("7 - 2 - 1", 4),
        ("-nodes + 421", 1),
        ("connections / nodes", 32e6 / 420),
        ("1.5e3 * 2", 3000),
    ],
)
def test_arithmetic_is_evaluated(formula, value):
    assert evaluate(formula, VALUES.__getitem__) == pytest.approx(value)


@pytest.mark.parametrize(
    "formula",
    [
        "",
        "2 +",
        "nodes ** 2",
        "nodes // 2",
        "nodes % 2",
        "max(nodes, 2)",
        "__import__('os').system('true')",
        "nodes.real",
        "nodes[0]",
        "[nodes]",
        "'text'",
        "True",
        "1j",
        "nodes if nodes else 2",
        "nodes < 2",
        "(lambda: 2)()",
        "+nodes",
        "not nodes",
        "nodes = 2",
        "1; 2",
        "nodes\x00",
        "1" + " + 1" * 400,
    ],
)
def test_anything_else_is_rejected(formula):
    with pytest.raises(FormulaError):
        evaluate(formula, VALUES.__getitem__)


def test_a_division_by_zero_is_an_error():
    with pytest.raises(FormulaError, match="nodes / zero: division by zero"):
        evaluate("nodes / zero", VALUES.__getitem__)
