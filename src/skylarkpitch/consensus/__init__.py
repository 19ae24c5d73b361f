"""Replicated, durable log of control commands, based on Raft."""
