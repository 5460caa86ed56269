"""The node itself: threads with blocking sockets around one reducer, which contains the policy."""
