"""The real node: threads on blocking sockets round one reducer, which holds the decision module."""
