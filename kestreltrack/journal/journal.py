"""The durable record of what the sender has taken on, in the folder that outlives its process.

One file of records (`ledger.py`).  Plain writes: the platform keeps what was written, with no sync.  The file is
rewritten with what still matters before it and its successor together could outgrow the folder.

Two processes share the folder while a new version starts beside the old (graceful restart).  Each holds a slot:
a file of its own and an advisory lock that the kernel lets go when the process dies, however it dies.  The newcomer
keeps to a small part of the folder until it has adopted what the other slot's process left at its end.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

from kestreltrack.decision import Outcome
from kestreltrack.journal.records import (
    LIFECYCLE_BYTES,
    JournalState,
    OutstandingMessage,
    encode_record,
    list_row,
    outstanding_record,
)
from kestreltrack.journal.slot_lock import SLOTS, lock_slot
from kestreltrack.journal.takeover import AbandonedJournal
from kestreltrack.ports import EndpointListUpdate, Message, StatusNotification
from kestreltrack.telemetry import Telemetry

USABLE_SHARE = 0.7  # of the folder, for the file and its successor: the rest is never touched


OUTSTANDING_SHARE = (
    0.3  # of the folder, for what is still held: leaves the file room to grow between rewrites
)


# Of both shares, for a process that starts while another holds a slot: 0.7 of the folder and 0.7 * 0.3 of it fit.
SECOND_PROCESS_SHARE = 0.3


# A rewrite comes no sooner than the file has grown so much since the last: with all of two processes held, what is
# held twice over exceeds the share, and every record would rewrite the file (97 times for 577 messages adopted).
COMPACTION_GROWTH = 1.25


SLOT_TIMEOUT_S, SLOT_POLL_S = (
    2.0,
    0.05,
)  # a start waits so long for a slot: an adoption that is under way holds both


class JournalFullError(Exception):
    """The folder has no room, or the write failed; nothing of the record is left in the file."""


class Journal(JournalState):
    """Appends records; knows all that is held, so that it can rewrite itself."""

    def __init__(self, folder: Path, folder_bytes: int, telemetry: Telemetry) -> None:
        """Take a free slot, read back what dead processes left, and start a fresh file with what still matters.

        Raises `JournalFull` where both slots are held by live processes.
        """
        super().__init__(telemetry)
        self.folder = folder
        self._full_limits = int(folder_bytes * USABLE_SHARE), int(folder_bytes * OUTSTANDING_SHARE)
        self._fd = -1
        self.file_bytes = self._endpoint_list_bytes = self._compacted_bytes = 0
        self._lock_fd, self.slot, self.other_slots = self._acquire_slot()
        self.path, self._compacted_path = folder / self.slot, folder / f"{self.slot}.new"
        share = SECOND_PROCESS_SHARE if self.other_slots else 1.0
        self.max_file_bytes, self.max_outstanding_bytes = (
            int(self._full_limits[0] * share),
            int(self._full_limits[1] * share),
        )
        self._compacted_path.unlink(missing_ok=True)  # a rewrite that its process did not live to finish
        if self.path.exists():
            self.recover(self.split_lines(self.path.read_bytes()))
            self.restore_order()
        self._compact()
        for slot in SLOTS:
            if slot != self.slot and slot not in self.other_slots:
                try:
                    for _ in self.take_over(slot) or ():
                        pass
                except (
                    JournalFullError,
                    OSError,
                ) as bad:  # the rest stays there, and is taken while this one runs
                    self.telemetry.record_fault("journal.takeover_failed", slot=slot, error=str(bad))
                    self.other_slots.append(slot)

    def _acquire_slot(self) -> tuple[int, str, list[str]]:
        """The lock of a free slot, its name, and the slots whose processes live: theirs is adopted when they end."""
        ends = time.monotonic() + SLOT_TIMEOUT_S
        while True:
            for slot in SLOTS:
                if (lock := lock_slot(self.folder, slot)) >= 0:
                    others = [other for other in SLOTS if other != slot and self._slot_in_use(other)]
                    return lock, slot, others
            if time.monotonic() >= ends:
                raise JournalFullError("two live processes hold the folder that lasts")
            time.sleep(SLOT_POLL_S)

    def other_process_alive(self) -> bool:
        """Whether another process of this sender runs: it goes on when this one ends."""
        return any(self._slot_in_use(slot) for slot in SLOTS if slot != self.slot)

    def _slot_in_use(self, slot: str) -> bool:
        if (lock := lock_slot(self.folder, slot)) >= 0:
            os.close(lock)
        return lock < 0

    # Writing -------------------------------------------------------------------------------------

    def has_capacity_for(self, message: Message) -> bool:
        """Whether one more message can be held to its end."""
        size = len(message.body) * 4 // 3 + LIFECYCLE_BYTES
        return self._outstanding_bytes + self._endpoint_list_bytes + size <= self.max_outstanding_bytes

    def record_accepted(self, message: Message) -> OutstandingMessage:
        """Record a message taken on."""
        held = OutstandingMessage(message)
        line = encode_record(outstanding_record(held))
        self._append(line)
        self._add_outstanding(held, len(line))
        return held

    def record_attempt(
        self, outstanding: OutstandingMessage, started_ms: float, zone: str, *others: OutstandingMessage
    ) -> None:
        """Record a claim, and those of others in the same call, before its first byte: all in one write, or none."""
        records = [
            {"t": "claim", "id": h.message.id, "at": started_ms, "zone": zone} for h in (outstanding, *others)
        ]
        self._append(b"".join(map(encode_record, records)))
        for record in records:
            self._apply(record)

    def record_outcome(self, outstanding: OutstandingMessage, outcome: Outcome) -> None:
        """Record how the claim that is out has ended."""
        record = {"t": "outcome", "id": outstanding.message.id, "outcome": outcome.value}
        self._append(encode_record(record))
        self._apply(record)

    def record_owed_notification(self, notification: StatusNotification) -> None:
        """Record an end that is decided and still to be told."""
        record = {
            "t": "owed",
            "id": notification.message_id,
            "requeue": notification.requeue,
            "wait_ms": notification.retry_after_ms,
        }
        self._append(encode_record(record))
        self._apply(record)

    def record_completed(self, outstanding: OutstandingMessage) -> None:
        """Record that nothing more is owed."""
        record = {"t": "end", "id": outstanding.message.id}
        self._append(encode_record(record))
        self._apply(record)

    def record_endpoints(self, update: EndpointListUpdate) -> None:
        """Record the whole machine list, or what has changed of it."""
        record = {"t": "list" if update.complete else "change", "list": list_row(update)}
        line = encode_record(record)
        self._append(line)
        self._update_endpoints(update)
        self._endpoint_list_bytes = len(line) + (
            0 if update.complete else self._endpoint_list_bytes
        )  # at the most

    def close(self) -> None:
        """Nothing is written after this; the slot is free for the next process."""
        os.close(self._fd)
        os.close(self._lock_fd)
        self._fd = (
            self._lock_fd
        ) = -1  # the kernel gives the number to the next file: that may be a connection

    def take_over(self, slot: str) -> Iterator[list[OutstandingMessage]] | None:
        """Take over what the process of another slot left, once it has ended; `None` while it lives.

        Each step is one slice (`remains.py`) and tells which messages are this process's now, the first to expire
        first.  It can be broken off and begun again.  Steps raise `JournalFull` or `OSError`.
        """
        left = AbandonedJournal.open(self.folder, slot, self.telemetry)
        return None if left is None else self._take_over(left)

    def _take_over(self, abandoned: AbandonedJournal) -> Iterator[list[OutstandingMessage]]:
        try:
            for _ in abandoned.read():
                yield []
            if self._endpoint_list is None and abandoned.state.endpoints is not None:
                try:  # before its file is written anew without
                    self.record_endpoints(abandoned.state.endpoints)
                except JournalFullError as bad:  # the messages matter more
                    self.telemetry.record_fault("journal.full", error=str(bad))
            for _ in abandoned.compact(self.outstanding):
                yield []
            both = int(self._full_limits[0] * (1.0 + SECOND_PROCESS_SHARE))  # what the two files had together
            self.max_outstanding_bytes = self._full_limits[1]
            while part := abandoned.next_batch():
                self.max_file_bytes = max(
                    self.max_file_bytes, min(both - abandoned.file_bytes, self._full_limits[0])
                )
                self._append(b"".join(line for _, line in part))
                for held, line in part:
                    self._add_outstanding(held, len(line))
                abandoned.remove_batch()
                self.telemetry.count("journal.taken_over", len(part))
                yield [held for held, _ in part]
        finally:
            abandoned.close()
        if abandoned.slot in self.other_slots:
            self.other_slots.remove(abandoned.slot)
        if not self.other_slots:
            self.max_file_bytes, self.max_outstanding_bytes = self._full_limits

    def _append(self, line: bytes) -> None:
        if self._fd < 0:
            raise JournalFullError("the journal is closed")
        # Rewrite while both files still fit: the old one as it is, the new one with all that is held.
        crowded = (
            self.file_bytes + len(line) + self._outstanding_bytes + self._endpoint_list_bytes
            > self.max_file_bytes
        )
        if crowded and self.file_bytes > COMPACTION_GROWTH * self._compacted_bytes:
            self._compact()
        if self.file_bytes + len(line) > self.max_file_bytes:
            raise JournalFullError("the folder that lasts is full")
        self._write(self._fd, line, self.file_bytes)
        self.file_bytes += len(line)

    @staticmethod
    def _write(fd: int, data: bytes, offset: int) -> None:
        try:
            if os.write(fd, data) == len(data):
                return
            bad = "a short write"
        except OSError as error:
            bad = str(error)
        try:
            os.ftruncate(fd, offset)  # half a record would spoil the one behind it
        except OSError as error:
            bad = f"{bad}, and {error}"
        raise JournalFullError(bad)

    def _compact(self) -> None:
        """A new file with what still matters takes the old one's place."""
        lines = {id_: encode_record(outstanding_record(held)) for id_, held in self.outstanding.items()}
        last = (
            encode_record({"t": "list", "list": list_row(kept)})
            if (kept := self.endpoints) is not None
            else b""
        )
        data = last + b"".join(lines.values())
        try:
            fd = os.open(self._compacted_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        except OSError as bad:  # no descriptor left, say: the old file stays, the next record tries again
            raise JournalFullError(str(bad)) from bad
        try:
            self._write(fd, data, 0)
            os.rename(self._compacted_path, self.path)
        except BaseException as bad:
            os.close(fd)
            with suppress(OSError):
                self._compacted_path.unlink(missing_ok=True)
            if isinstance(bad, OSError):
                raise JournalFullError(str(bad)) from bad
            raise
        if self._fd >= 0:
            os.close(self._fd)
        self._fd, self.file_bytes, self._compacted_bytes, self._endpoint_list_bytes = (
            fd,
            len(data),
            len(data),
            len(last),
        )
        self._outstanding_bytes = 0
        for id_, line in lines.items():
            self._add_outstanding(self.outstanding[id_], len(line))
        self.telemetry.count("journal.compactions")
