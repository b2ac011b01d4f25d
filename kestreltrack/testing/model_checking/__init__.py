"""Explicit-state search over the fleet's own protocols: the transitions are the code that senders run."""
