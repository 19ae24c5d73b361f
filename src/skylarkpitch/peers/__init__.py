"""Authenticated message transport between hosts."""
