"""Replicate one configuration and host list to a fleet of hosts."""
