"""What a process does for the other one of its sender while a new version runs beside the old (docs/upgrade.md)."""

from __future__ import annotations

import asyncio

from kestreltrack.journal import Journal, JournalFull
from kestreltrack.sender.core import Core
from kestreltrack.telemetry import Telemetry

SLICE_S = 0.005  # between slices of an adoption: about as long as one takes, so that others get their turn
ADOPT_S = 0.05  # between looks at the slot of the process that this one follows: it ends within 3.7 s
WAITS_S = 0.1  # between looks at the other process's waits: a stat, ten times a second


class Succession:
    """Takes over from the process before this one, and hears what the other one is told."""

    def __init__(self, core: Core, journal: Journal, telemetry: Telemetry) -> None:
        """Nothing is begun."""
        self.core, self.journal, self.telemetry = core, journal, telemetry

    async def adopt(self) -> None:
        """Take over the messages of the process in service before this one, as soon as it has ended."""
        while self.journal.others:
            await asyncio.sleep(ADOPT_S)
            for slot in list(self.journal.others):
                await self._slot(slot)

    async def _slot(self, slot: str) -> None:
        messages = 0
        try:
            for taken in self.journal.adopt(slot) or ():
                self.core.recover(taken)
                messages += len(taken)
                await asyncio.sleep(SLICE_S)
        except (OSError, JournalFull) as bad:  # what is left stays there until the next look
            self.telemetry.trouble("journal.adopt_failed", slot=slot, messages=messages, error=str(bad))
        if slot not in self.journal.others:
            self.telemetry.log("adopted", slot=slot, messages=messages)

    async def hear_waits(self) -> None:
        """For messages that are held: each claim looks once more before its first byte."""
        while True:
            await asyncio.sleep(WAITS_S)
            self.core.hear_waits()
