"""Validated settings of a daemon and of a deployment."""
