"""Replicated, durable log of control commands."""
