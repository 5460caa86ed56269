"""Scale tests: sweeps of cost against size, hollow fleets, results and fits behind docs/CAPACITY.md."""
