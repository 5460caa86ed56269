"""The adapter for the external simulator: its line protocol on standard input and output, with many nodes in
one process.
"""
