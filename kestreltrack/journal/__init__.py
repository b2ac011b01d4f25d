"""The durable record of accepted messages."""

from kestreltrack.journal.journal import Journal, JournalFullError
from kestreltrack.journal.records import AttemptStart, OutstandingMessage, sorted_by_expiry
from kestreltrack.journal.slot_lock import SLOTS

__all__ = [
    "SLOTS",
    "AttemptStart",
    "Journal",
    "JournalFullError",
    "OutstandingMessage",
    "sorted_by_expiry",
]
