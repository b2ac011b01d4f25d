"""Versioned documents that every sender of a fleet acts on.

No two senders act on versions that contradict each other, and the time until all have stopped acting on an older
version is bounded (docs/agreed.md).
"""
