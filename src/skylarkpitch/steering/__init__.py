"""Selection of entry hosts for callers and of slots for calls."""
