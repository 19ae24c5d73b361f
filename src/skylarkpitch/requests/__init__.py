"""Path of a caller's request through an entry host."""
