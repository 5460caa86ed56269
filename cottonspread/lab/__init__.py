"""The lab: emulated hosts, server lists and clients on sockets, load generation, experiments and their audit.

`serve` imports none of it.
"""
