"""Executable specifications of the core protocols."""
