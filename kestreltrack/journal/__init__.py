"""The durable journal of accepted messages."""

from kestreltrack.journal.codec import ListHead
from kestreltrack.journal.ended_messages import EndKind
from kestreltrack.journal.errors import InvalidRecordError, JournalError, JournalFullError
from kestreltrack.journal.journal import Journal
from kestreltrack.journal.other_process import OrderedMessage
from kestreltrack.journal.records import (
    AttemptStart,
    OutstandingMessage,
    in_order_of_acceptance,
    sorted_by_expiry,
)
from kestreltrack.journal.slot_lock import SLOTS

__all__ = [
    "SLOTS",
    "AttemptStart",
    "EndKind",
    "InvalidRecordError",
    "Journal",
    "JournalError",
    "JournalFullError",
    "ListHead",
    "OrderedMessage",
    "OutstandingMessage",
    "in_order_of_acceptance",
    "sorted_by_expiry",
]
