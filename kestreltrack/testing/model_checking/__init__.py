"""Explicit-state model checking of the fleet protocols; the transitions are the production code of the senders."""
