"""What every front owes the module, without I/O."""
