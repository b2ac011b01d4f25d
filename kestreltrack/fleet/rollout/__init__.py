"""Staged changes of the regions that destinations are assigned to (docs/agreed.md).

A change is adopted only with the votes of members and staff.
"""
