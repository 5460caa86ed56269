"""What all front ends of the decision module share, without I/O."""
