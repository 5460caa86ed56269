"""The lab: stand-in hosts, lists and clients on sockets, load, experiments and their audit.

`serve` imports none of it.
"""
