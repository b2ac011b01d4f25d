"""Versioned configuration documents, replicated to every sender of a fleet.

No two senders act on contradictory versions, and the time until no sender acts on an older version is bounded
(docs/agreed.md).
"""
