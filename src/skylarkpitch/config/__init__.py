"""Replicated configuration and key state."""
