"""Formulas of the capacity model: numbers, names, + - * / and parentheses; anything else is rejected."""

import ast
import operator
from collections.abc import Callable

OPERATORS: dict[type, Callable[[float, float], float]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
}
MAX_LENGTH = 500
"""Most characters of a formula."""


class FormulaError(ValueError):
    """A formula that cannot be parsed or evaluated; the message begins with the formula."""


def evaluate(formula: str, value: Callable[[str], float]) -> float:
    """The formula's value; `value` maps each name to its value. Raises FormulaError."""
    try:
        return _evaluate_node(_parse(formula), value)
    except ZeroDivisionError:
        raise FormulaError(f"{formula}: division by zero") from None
    except FormulaError as error:
        raise FormulaError(f"{formula}: {error}") from None


def _parse(formula: str) -> ast.expr:
    if len(formula) > MAX_LENGTH:
        raise FormulaError(f"{formula[:40]}...: over {MAX_LENGTH} characters")
    try:
        return ast.parse(formula.strip(), mode="eval").body
    except (SyntaxError, ValueError, RecursionError, MemoryError) as error:
        raise FormulaError(f"{formula}: {type(error).__name__}") from None


def _evaluate_node(node: ast.expr, value: Callable[[str], float]) -> float:
    match node:
        case ast.Constant(value=float() | int() as number) if not isinstance(number, bool):
            return float(number)
        case ast.Name(id=name):
            return value(name)
        case ast.UnaryOp(op=ast.USub(), operand=operand):
            return -_evaluate_node(operand, value)
        case ast.BinOp(left=left, op=op, right=right) if type(op) in OPERATORS:
            first, second = _evaluate_node(left, value), _evaluate_node(right, value)
            return OPERATORS[type(op)](first, second)
    raise FormulaError(f"{type(node).__name__} is not allowed")
