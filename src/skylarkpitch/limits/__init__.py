"""Rates and bursts of organisations over the whole fleet."""
