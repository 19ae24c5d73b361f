"""Serve HTTP to clients that may not behave, within limits."""
