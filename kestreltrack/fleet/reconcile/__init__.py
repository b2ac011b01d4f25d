"""Replicated lists of destinations that staff of several regions can edit at any time, also during partitions.

All replicas converge once the regions can reach each other again (docs/agreed.md).
"""
