"""What a process does for the other one of its sender while a new version runs beside the old (docs/upgrade.md)."""

from __future__ import annotations

import asyncio

from kestreltrack.journal import Journal, JournalFullError
from kestreltrack.sender.delivery import Core
from kestreltrack.telemetry import Telemetry

BATCH_PAUSE_S = (
    0.005  # between slices of an adoption: about as long as one takes, so that others get their turn
)
SLOT_POLL_INTERVAL_S = (
    0.05  # between looks at the slot of the process that this one follows: it ends within 3.7 s
)
RETRY_AFTER_POLL_INTERVAL_S = 0.1  # between looks at the other process's waits: a stat, ten times a second


class Takeover:
    """Takes over from the process before this one, and hears what the other one is told."""

    def __init__(self, core: Core, journal: Journal, telemetry: Telemetry) -> None:
        """Nothing is begun."""
        self.core, self.journal, self.telemetry = core, journal, telemetry

    async def take_over(self) -> None:
        """Take over the messages of the process in service before this one, as soon as it has ended."""
        while self.journal.other_slots:
            await asyncio.sleep(SLOT_POLL_INTERVAL_S)
            for slot in list(self.journal.other_slots):
                await self._take_over_slot(slot)

    async def _take_over_slot(self, slot: str) -> None:
        messages = 0
        try:
            for taken in self.journal.take_over(slot) or ():
                self.core.recover(taken)
                messages += len(taken)
                await asyncio.sleep(BATCH_PAUSE_S)
        except (OSError, JournalFullError) as bad:  # what is left stays there until the next look
            self.telemetry.record_fault(
                "journal.takeover_failed", slot=slot, messages=messages, error=str(bad)
            )
        if slot not in self.journal.other_slots:
            self.telemetry.log("adopted", slot=slot, messages=messages)

    async def follow_shared_retry_after(self) -> None:
        """For messages that are held: each claim looks once more before its first byte."""
        while True:
            await asyncio.sleep(RETRY_AFTER_POLL_INTERVAL_S)
            self.core.retry_after.receive()
