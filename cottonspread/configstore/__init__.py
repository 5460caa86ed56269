"""Configuration carried to all nodes by three replicas: pure cores, driven by (now, event) to effects.

`messages` is what goes over the wire; `replica`, `follower` and `publisher` decide. None of them has a
socket, file, clock, thread or chance of its own: the shells carry out effects and tell events. Times are
whole microseconds of a monotonic clock of the shell's own; they are never compared between machines.
"""
