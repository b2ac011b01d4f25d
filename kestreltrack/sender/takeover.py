"""Takeover of outstanding messages from the other process of a sender during an upgrade (docs/upgrade.md)."""

from __future__ import annotations

import asyncio

from kestreltrack.journal import Journal, JournalFullError
from kestreltrack.sender.delivery import Core
from kestreltrack.telemetry import Telemetry

# Pause between two batches, about as long as one batch takes, so that other tasks get half of the time.
BATCH_PAUSE_S = 0.005
# Interval of the checks whether the other process has released its slot; an old one exits 3.7 s after its SIGTERM.
SLOT_POLL_INTERVAL_S = 0.05
# Interval of the checks for another process that has started; a check costs one stat call.
PROCESS_POLL_INTERVAL_S = 0.1
# Interval of the checks for what the other process was told: Retry-After intervals and endpoint lists.  A check costs
# one stat call for each.
SHARED_STATE_POLL_INTERVAL_S = 0.1
# The same while messages of this process may wait for earlier ones of the other.
KEY_ORDER_POLL_INTERVAL_S = 0.02


class Takeover:
    """Takes over the messages of the other process, and receives what it was told while it is running."""

    def __init__(self, core: Core, journal: Journal, telemetry: Telemetry) -> None:
        self.core = core
        self.journal = journal
        self.telemetry = telemetry

    async def follow_other_processes(self) -> None:
        """Take over the messages of every other process of this sender that ends; runs until it is cancelled.

        That is the old process of an upgrade, or a new one that fails while the old one goes on.
        """
        while True:
            await self.take_over()
            await asyncio.sleep(PROCESS_POLL_INTERVAL_S)
            self.journal.find_other_slots()

    async def take_over(self) -> None:
        """Wait until the other process has exited, and take over its messages."""
        while self.journal.other_slots:
            await asyncio.sleep(SLOT_POLL_INTERVAL_S)
            for slot in list(self.journal.other_slots):
                await self._take_over_slot(slot)

    async def _take_over_slot(self, slot: str) -> None:
        message_count = 0
        try:
            batches = self.journal.take_over(slot)
            if batches is None:  # the other process is still alive
                self.core.key_order.end_takeover()
                return
            self.core.key_order.start_takeover()
            for batch in batches:
                self.core.recover(batch)
                message_count += len(batch)
                await asyncio.sleep(BATCH_PAUSE_S)
        except (OSError, JournalFullError) as error:
            # The remaining messages stay in the slot until the next check.
            self.telemetry.record_fault(
                "journal.takeover_failed", slot=slot, messages=message_count, error=str(error)
            )
        if slot not in self.journal.other_slots:
            self.core.key_order.end_takeover()
            self.telemetry.log("taken_over", slot=slot, messages=message_count)

    async def follow_shared_state(self) -> None:
        """Receive the Retry-After intervals and endpoint lists of the other process at regular intervals.

        Attempts check for new intervals themselves before their first byte.
        """
        while True:
            is_waiting = self.core.key_order.is_waiting()
            await asyncio.sleep(KEY_ORDER_POLL_INTERVAL_S if is_waiting else SHARED_STATE_POLL_INTERVAL_S)
            self.core.retry_after.receive()
            self.core.key_order.receive()
            updates = self.core.endpoint_updates
            for update in self.journal.take_endpoint_updates(updates.is_news):
                updates.adopt(update)
