"""Lists of destinations that staff of several regions edit at any time, also while regions are cut off.

All copies become equal again once the regions can reach each other (docs/agreed.md).
"""
