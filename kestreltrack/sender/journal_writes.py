"""Journal writes that must not end the calling task when they fail."""

from __future__ import annotations

from collections.abc import Callable

from kestreltrack.journal import JournalFullError
from kestreltrack.telemetry import Telemetry


def try_write(telemetry: Telemetry, write: Callable[..., None], *arguments: object) -> bool:
    """Call `write(*arguments)` and return whether the journal had room; record a fault if it had none."""
    try:
        write(*arguments)
    except JournalFullError as error:
        telemetry.record_fault("journal.full", error=str(error))
        return False
    return True
