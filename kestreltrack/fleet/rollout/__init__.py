"""Staged rollouts of changes to the regions that destinations are assigned to (docs/agreed.md).

A change is adopted only once members and staff have approved it by vote.
"""
