"""Demonstration, model checks, soak runs and measurements."""
