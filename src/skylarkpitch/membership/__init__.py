"""Hosts, upstreams, their leases and slots."""
