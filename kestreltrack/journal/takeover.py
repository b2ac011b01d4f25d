"""Takes over the journal file that an ended process left in another slot.

This happens in batches, so that the event loop is never blocked for long.  The file is first compacted: it then
contains only the outstanding messages, in reverse order of expiry.  The process that takes over then copies batch
after batch from the end of this file into its own and truncates this file, both in one turn of the event loop.  A
crash at any point leaves each message with exactly one process, and the two files never need more space than they had
together before.
"""

from __future__ import annotations

import os
from collections.abc import Container, Iterator
from itertools import islice
from pathlib import Path

from kestreltrack.journal.codec import encode_message, encode_reversed_order
from kestreltrack.journal.records import OutstandingMessage, sorted_by_expiry
from kestreltrack.journal.slot_lock import SlotLock
from kestreltrack.journal.state import JournalState
from kestreltrack.telemetry import Telemetry

# Records applied in one turn of the event loop: about 4 ms on an otherwise idle core.
READ_BATCH_LINES = 400

# Messages written, copied or removed in one turn of the event loop.  The policy may have to decide on all of them in
# that turn.
TAKEOVER_BATCH_SIZE = 25


class AbandonedJournal:
    """The journal file of a slot whose process has ended; the slot is locked until `close`."""

    def __init__(self, folder: Path, slot_lock: SlotLock, telemetry: Telemetry) -> None:
        """Read the file of a locked slot.  Raises `OSError` if that fails."""
        self.slot = slot_lock.slot
        self.path = folder / self.slot
        self.file_bytes = 0
        self.state = JournalState(telemetry)
        # The messages still in this file, with their encoded records; the last one expires first.
        self.remaining = list[tuple[OutstandingMessage, bytes]]()
        self._slot_lock = slot_lock
        self._fd = -1
        self._compacted_path = folder / f"{self.slot}.new"
        # An unfinished replacement, left by a process that ended during a compaction.
        self._compacted_path.unlink(missing_ok=True)
        try:
            self._data = self.path.read_bytes() if self.path.exists() else b""
        except OSError:
            self.close()
            raise

    @classmethod
    def open(cls, folder: Path, slot: str, telemetry: Telemetry) -> AbandonedJournal | None:
        """Lock a slot and read its file, or return `None` while its process is running.  Raises `OSError`."""
        slot_lock = SlotLock.try_acquire(folder, slot)
        return None if slot_lock is None else cls(folder, slot_lock, telemetry)

    def read(self) -> Iterator[None]:
        """Restore `state` from the records, one batch per step."""
        lines = iter(self.state.split_lines(self._data))
        self._data = b""
        first_line_number = 1
        while batch := list(islice(lines, READ_BATCH_LINES)):
            self.state.recover(batch, first_line_number)
            first_line_number += len(batch)
            yield
        self.state.restore_order()

    def compact(self, already_owned: Container[str]) -> Iterator[None]:
        """Replace the file by one without the messages whose ids are in `already_owned`, one batch per step.

        Raises `OSError`; the old file then stays in place.
        """
        last_to_expire_first = sorted_by_expiry(self.state.outstanding.values())[::-1]
        fd = os.open(self._compacted_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            self._append(fd, encode_reversed_order())
            for start in range(0, len(last_to_expire_first), TAKEOVER_BATCH_SIZE):
                batch = last_to_expire_first[start : start + TAKEOVER_BATCH_SIZE]
                self._append_messages(fd, [entry for entry in batch if entry.message.id not in already_owned])
                yield
            os.rename(self._compacted_path, self.path)
        except BaseException:
            os.close(fd)
            self._compacted_path.unlink(missing_ok=True)
            raise
        self._fd = fd

    def _append_messages(self, fd: int, messages: list[OutstandingMessage]) -> None:
        records = [(outstanding, encode_message(outstanding)) for outstanding in messages]
        self.remaining += records
        self._append(fd, b"".join([line for _, line in records]))

    def _append(self, fd: int, data: bytes) -> None:
        written = os.write(fd, data)
        if written != len(data):
            raise OSError(f"short write: {written} of {len(data)} bytes")
        self.file_bytes += len(data)

    def next_batch(self) -> list[tuple[OutstandingMessage, bytes]]:
        """Return the messages to take over next with their records, in order of expiry.

        The list is empty once all messages have been taken over.
        """
        return self.remaining[: -TAKEOVER_BATCH_SIZE - 1 : -1]

    def remove_batch(self) -> None:
        """Remove the messages that `next_batch` returned, which another process owns now."""
        removed = self.remaining[-TAKEOVER_BATCH_SIZE:]
        self.file_bytes -= sum(len(line) for _, line in removed)
        os.ftruncate(self._fd, self.file_bytes)
        del self.remaining[-TAKEOVER_BATCH_SIZE:]

    def close(self) -> None:
        """Release the slot, and delete the file if all its messages have been taken over."""
        if self._fd >= 0:
            os.close(self._fd)
            if not self.remaining:
                self.path.unlink(missing_ok=True)
        self._slot_lock.release()
