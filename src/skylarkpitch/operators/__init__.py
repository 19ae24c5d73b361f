"""Operators' command line and the HTTP API behind it."""
