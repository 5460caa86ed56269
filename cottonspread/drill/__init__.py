"""The bench's front: its wire on standard input and output, many nodes in one process."""
