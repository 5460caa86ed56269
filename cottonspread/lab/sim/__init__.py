"""Whole fleets in simulated time: the real reducers, with everything round them simulated and
every fault placed to the microsecond.
"""
