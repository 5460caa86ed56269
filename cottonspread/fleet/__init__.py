"""Many instances on one machine under one supervisor process.

`core` makes the decisions, `supervisor` executes them, `plan` defines what each instance is.
"""
