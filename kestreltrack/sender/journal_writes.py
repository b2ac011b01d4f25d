"""Writes to the journal whose failure must not end the task that makes them."""

from __future__ import annotations

from collections.abc import Callable

from kestreltrack.journal import JournalFullError
from kestreltrack.telemetry import Telemetry


def try_write(telemetry: Telemetry, write: Callable[..., None], *arguments: object) -> bool:
    """Call `write` with `arguments`, and return whether the folder of the journal had room for the record."""
    try:
        write(*arguments)
    except JournalFullError as error:
        telemetry.record_fault("journal.full", error=str(error))
        return False
    return True
