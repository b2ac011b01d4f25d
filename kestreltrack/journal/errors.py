"""Exceptions of the journal."""

from __future__ import annotations


class JournalError(Exception):
    """Base class of the journal's exceptions."""


class JournalFullError(JournalError):
    """No space for a record, no free slot for a process, or a failed write; no part of the record is in the file."""


class InvalidRecordError(JournalError):
    """A line of the journal is not a record that this version can apply."""
