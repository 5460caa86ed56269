"""Runs at the size the fleet is to have: sweeps of costs, fits, hollow fleets and their results."""
