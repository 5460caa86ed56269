"""A deterministic simulator of whole fleets: real reducers in simulated time.

Clocks, threads, the network, hosts and clients are simulated, so that a fault can be placed to the
microsecond.
"""
