"""The durable record of the accepted messages, in the folder that outlives the process (`$GW_STATE`).

One file of records (`codec.py`).  The file is compacted before it and its replacement together could exceed the
folder.

Two processes share the folder while a new version starts beside the old one (graceful restart).  Each holds a slot
(`slot_lock.py`).  The newcomer uses a small part of the folder until it has taken over what the process of the other
slot left at its end (`takeover.py`).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from kestreltrack.decision import Outcome
from kestreltrack.journal.codec import (
    encode_attempt_end,
    encode_attempt_start,
    encode_completion,
    encode_endpoints,
    encode_message,
    encode_owed_notification,
)
from kestreltrack.journal.errors import JournalFullError
from kestreltrack.journal.journal_file import JournalFile
from kestreltrack.journal.records import AttemptStart, OutstandingMessage
from kestreltrack.journal.slot_lock import SLOTS, acquire_free_slot, other_slots_in_use
from kestreltrack.journal.state import LIFECYCLE_BYTES, JournalState
from kestreltrack.journal.takeover import AbandonedJournal
from kestreltrack.ports import EndpointListUpdate, Message, StatusNotification
from kestreltrack.telemetry import Telemetry

# Share of the folder for the file and its replacement; the rest is never used.
USABLE_SHARE = 0.7

# Share of the folder for the outstanding messages: it leaves the file room to grow between two compactions.
OUTSTANDING_SHARE = 0.3

# Part of both shares for a process that starts while another holds a slot: 0.7 of the folder and 0.7 * 0.3 of it fit.
SECOND_PROCESS_SHARE = 0.3

# The file is compacted only when it has grown by this factor since the last time: while the messages of two processes
# are outstanding, what is stored twice exceeds the share, and every record would cause a compaction (97 of them for
# 577 messages taken over).
COMPACTION_GROWTH = 1.25


@dataclass(frozen=True, slots=True)
class JournalLimits:
    """How many bytes the file and the outstanding messages may take."""

    file_bytes: int
    outstanding_bytes: int

    def scaled(self, share: float) -> JournalLimits:
        """Return a share of these limits."""
        return JournalLimits(int(self.file_bytes * share), int(self.outstanding_bytes * share))


class Journal(JournalState):
    """Appends records to the file of its slot, and holds the state with which the file can be compacted."""

    def __init__(self, folder: Path, folder_bytes: int, telemetry: Telemetry) -> None:
        """Take a free slot, read back what ended processes left, and start a compacted file.

        Raises `JournalFullError` where live processes hold both slots, and `OSError` where the folder cannot be used.
        """
        super().__init__(telemetry)
        self.folder = folder
        self._full_limits = JournalLimits(
            int(folder_bytes * USABLE_SHARE), int(folder_bytes * OUTSTANDING_SHARE)
        )
        self._slot_lock = acquire_free_slot(folder)
        self.slot = self._slot_lock.slot
        # Slots whose messages are taken over as soon as their processes have ended.
        self.other_slots = other_slots_in_use(folder, self.slot)
        self._set_limits(
            self._full_limits.scaled(SECOND_PROCESS_SHARE) if self.other_slots else self._full_limits
        )
        self._file = JournalFile(folder, self.slot)
        self._endpoint_list_bytes = 0
        self._compacted_bytes = 0
        self._read_back()
        self._compact()
        self._take_over_free_slots()

    @property
    def path(self) -> Path:
        """The file of this process's slot."""
        return self._file.path

    @property
    def file_bytes(self) -> int:
        """Length of the file."""
        return self._file.size_bytes

    def other_process_alive(self) -> bool:
        """Return whether another process of this sender runs: it goes on when this one ends."""
        return bool(other_slots_in_use(self.folder, self.slot))

    def close(self) -> None:
        """Close the file and free the slot for the next process; nothing is written after this."""
        self._file.close()
        self._slot_lock.release()

    # Writing -------------------------------------------------------------------------------------

    def has_capacity_for(self, message: Message) -> bool:
        """Return whether the records of one more message, to the end of its lifecycle, have room."""
        size = len(message.body) * 4 // 3 + LIFECYCLE_BYTES  # the body is stored in base64
        return self._outstanding_bytes + self._endpoint_list_bytes + size <= self.max_outstanding_bytes

    def record_accepted(self, message: Message) -> OutstandingMessage:
        """Record an accepted message.  Raises `JournalFullError`, as all methods that record do."""
        outstanding = OutstandingMessage(message)
        line = encode_message(outstanding)
        self._append(line)
        self._add_outstanding(outstanding, len(line))
        return outstanding

    def record_attempt(
        self, outstanding: OutstandingMessage, started_ms: float, zone: str, *others: OutstandingMessage
    ) -> None:
        """Record an attempt, and those of others in the same request, before its first byte.

        All are recorded in one write, or none.
        """
        starts = [(entry.message.id, AttemptStart(started_ms, zone)) for entry in (outstanding, *others)]
        self._append(b"".join([encode_attempt_start(message_id, start) for message_id, start in starts]))
        for message_id, start in starts:
            self._find_outstanding(message_id).start_attempt(start)

    def record_outcome(self, outstanding: OutstandingMessage, outcome: Outcome) -> None:
        """Record the outcome of the attempt in flight."""
        message_id = outstanding.message.id
        self._append(encode_attempt_end(message_id, outcome))
        self._find_outstanding(message_id).end_attempt(outcome)

    def record_owed_notification(self, notification: StatusNotification) -> None:
        """Record an end that is decided, and of which the platform is still to be notified."""
        self._append(encode_owed_notification(notification))
        self._owe_notification(notification)

    def record_completed(self, outstanding: OutstandingMessage) -> None:
        """Record that the lifecycle of a message has ended, and nothing more is owed."""
        message_id = outstanding.message.id
        self._append(encode_completion(message_id))
        self._remove_outstanding(message_id)

    def record_endpoints(self, update: EndpointListUpdate) -> None:
        """Record the complete endpoint list, or what changes of it."""
        line = encode_endpoints(update)
        self._append(line)
        self._update_endpoints(update)
        if update.complete:
            self._endpoint_list_bytes = 0
        self._endpoint_list_bytes += len(line)  # an upper bound: a change may replace what the list has

    def _append(self, data: bytes) -> None:
        file = self._file
        if not file.is_open:
            raise JournalFullError("the journal is closed")
        # Compact while both files still fit: the old one as it is, the new one with all that is outstanding.
        bytes_with_replacement = (
            file.size_bytes + len(data) + self._outstanding_bytes + self._endpoint_list_bytes
        )
        if (
            bytes_with_replacement > self.max_file_bytes
            and file.size_bytes > COMPACTION_GROWTH * self._compacted_bytes
        ):
            self._compact()
        if file.size_bytes + len(data) > self.max_file_bytes:
            raise JournalFullError("the state folder is full: enlarge it, or wait until messages have ended")
        file.append(data)

    def _compact(self) -> None:
        """Replace the file by one that holds the present state alone."""
        lines = {message_id: encode_message(entry) for message_id, entry in self.outstanding.items()}
        endpoints = self.endpoints
        endpoint_line = b"" if endpoints is None else encode_endpoints(endpoints)
        self._file.replace(endpoint_line + b"".join(lines.values()))
        self._compacted_bytes = self._file.size_bytes
        self._endpoint_list_bytes = len(endpoint_line)
        self._outstanding_bytes = 0
        for message_id, line in lines.items():
            self._add_outstanding(self.outstanding[message_id], len(line))
        self.telemetry.count("journal.compactions")

    def _set_limits(self, limits: JournalLimits) -> None:
        self.max_file_bytes = limits.file_bytes
        self.max_outstanding_bytes = limits.outstanding_bytes

    # Taking over ---------------------------------------------------------------------------------

    def _read_back(self) -> None:
        """Restore the state from the file that an earlier process left in this slot."""
        if self.path.exists():
            self.recover(self.split_lines(self.path.read_bytes()))
            self.restore_order()

    def _take_over_free_slots(self) -> None:
        """Take over the slots that no live process holds.

        What fails stays where it is; the slot is then taken over later, like that of a live process.
        """
        for slot in SLOTS:
            if slot == self.slot or slot in self.other_slots:
                continue
            try:
                steps = self.take_over(slot)
                if steps is not None:
                    for _ in steps:
                        pass
            except (JournalFullError, OSError) as error:
                self.telemetry.record_fault("journal.takeover_failed", slot=slot, error=str(error))
                self.other_slots.append(slot)

    def take_over(self, slot: str) -> Iterator[list[OutstandingMessage]] | None:
        """Take over what the process of another slot left; return `None` while that process lives.

        Each step is one slice (`takeover.py`) and gives the messages that are this process's from now on, the first
        to expire first.  The takeover can be broken off and begun again.

        Raises `JournalFullError` or `OSError`, also in each step.
        """
        abandoned = AbandonedJournal.open(self.folder, slot, self.telemetry)
        return None if abandoned is None else self._take_over(abandoned)

    def _take_over(self, abandoned: AbandonedJournal) -> Iterator[list[OutstandingMessage]]:
        try:
            for _ in abandoned.read():
                yield []
            # Before the abandoned file is compacted, which drops its list.
            self._adopt_endpoints(abandoned.state.endpoints)
            for _ in abandoned.compact(self.outstanding):
                yield []
            self.max_outstanding_bytes = self._full_limits.outstanding_bytes
            while batch := abandoned.next_batch():
                self._adopt_batch(abandoned, batch)
                yield [outstanding for outstanding, _ in batch]
        finally:
            abandoned.close()
        self._finish_takeover(abandoned.slot)

    def _adopt_endpoints(self, endpoints: EndpointListUpdate | None) -> None:
        """Record the endpoint list of another slot, where this process has none."""
        if self._endpoint_list is not None or endpoints is None:
            return
        try:
            self.record_endpoints(endpoints)
        except JournalFullError as error:  # the messages matter more
            self.telemetry.record_fault("journal.full", error=str(error))

    def _adopt_batch(
        self, abandoned: AbandonedJournal, batch: list[tuple[OutstandingMessage, bytes]]
    ) -> None:
        """Copy messages into this file, and cut them off the abandoned one."""
        # What the two files had together: as much as the other file shrinks, this one may grow.
        both_files_bytes = int(self._full_limits.file_bytes * (1.0 + SECOND_PROCESS_SHARE))
        available_bytes = min(both_files_bytes - abandoned.file_bytes, self._full_limits.file_bytes)
        self.max_file_bytes = max(self.max_file_bytes, available_bytes)
        self._append(b"".join([line for _, line in batch]))
        for outstanding, line in batch:
            self._add_outstanding(outstanding, len(line))
        abandoned.remove_batch()
        self.telemetry.count("journal.taken_over", len(batch))

    def _finish_takeover(self, slot: str) -> None:
        if slot in self.other_slots:
            self.other_slots.remove(slot)
        if not self.other_slots:
            self._set_limits(self._full_limits)
