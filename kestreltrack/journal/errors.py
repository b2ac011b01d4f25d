"""Errors of the journal."""

from __future__ import annotations


class JournalError(Exception):
    """Base of all errors of the journal."""


class JournalFullError(JournalError):
    """The folder has no room for a record or a process, or a write failed; nothing of the record is in the file."""


class InvalidRecordError(JournalError):
    """A line of the file is not a record that this version can apply."""
