"""Randomised soak tests of the modules that make decisions."""
