"""Code that all front ends of the decision module share. Does no I/O."""
