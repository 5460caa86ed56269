"""A replicated configuration store: three replicas distribute one configuration to all nodes.

`messages` defines the wire format; `replica`, `follower` and `publisher` are pure state machines that map
(now, event) to effects. They use no socket, file, clock, thread or random source of their own: an I/O shell
executes the effects and passes events in. Times are whole microseconds of the shell's own monotonic clock;
they are never compared between machines.
"""
