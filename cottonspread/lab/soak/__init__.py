"""Soak tests: a node process runs against stub hosts and a stub host list on loopback.

A seed determines the injected faults; an audit checks the recorded run for violations.
"""
