"""Ownership of upstreams by entry hosts: leases, slots, heartbeats."""
