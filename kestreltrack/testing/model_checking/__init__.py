"""Explicit-state search over the fleet's own transition tables."""
