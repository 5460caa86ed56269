"""Scale tests: cost measured by size, simulated fleets, and the results and fits behind docs/CAPACITY.md."""
