"""What the process of another slot left at its end, read and taken over in slices that never hold the loop for long.

Its file is first written anew with what is still held and nothing else, those that expire last in front.  Then the
one taking over copies the last few into its own file and cuts them off here, in one turn of its loop: a crash at any
point leaves each message with exactly one process, and the two files never need more room than they did together.
"""

from __future__ import annotations

import os
from collections.abc import Container, Iterator
from itertools import islice
from pathlib import Path

from kestreltrack.journal.records import (
    JournalState,
    OutstandingMessage,
    encode_record,
    outstanding_record,
    sorted_by_expiry,
)
from kestreltrack.journal.slot_lock import lock_slot
from kestreltrack.telemetry import Telemetry

READ_BATCH_LINES = 400  # records read back in one turn of the loop: some 4 ms, where a core is one's own
TAKEOVER_BATCH_SIZE = (
    25  # messages written, copied or cut in one turn: the module may have to answer each at once
)


class AbandonedJournal:
    """The file of a slot whose process has ended; its lock is held until `close`."""

    def __init__(self, folder: Path, slot: str, lock_fd: int, telemetry: Telemetry) -> None:
        """`lock` is the slot's, held.  Raises `OSError` where the file cannot be read."""
        self.folder, self.slot, self._lock_fd, self.telemetry = folder, slot, lock_fd, telemetry
        self.path, self._compacted_path = folder / slot, folder / f"{slot}.new"
        self._fd = -1
        self.remaining = list[tuple[OutstandingMessage, bytes]]()  # still here; the last expire first
        self.file_bytes = 0
        self._compacted_path.unlink(missing_ok=True)  # a rewrite that its process did not live to finish
        try:
            self.state = JournalState(telemetry)
            self._data = self.path.read_bytes() if self.path.exists() else b""
        except OSError:
            self.close()
            raise

    @classmethod
    def open(cls, folder: Path, slot: str, telemetry: Telemetry) -> AbandonedJournal | None:
        """Those of a slot, or `None` while its process lives."""
        lock = lock_slot(folder, slot)
        return cls(folder, slot, lock, telemetry) if lock >= 0 else None

    def read(self) -> Iterator[None]:
        """Read it back into `ledger`; one step a slice."""
        lines = iter(self.state.split_lines(self._data))
        first, self._data = 1, b""
        while part := list(islice(lines, READ_BATCH_LINES)):
            self.state.recover(part, first)
            first += len(part)
            yield
        self.state.restore_order()

    def compact(self, already_owned: Container[str]) -> Iterator[None]:
        """Write it anew, without the messages that are in `have`; one step a slice.  Raises `OSError`."""
        left = sorted_by_expiry(self.state.outstanding.values())[::-1]
        turned = encode_record({"t": "turned"})
        fd = os.open(self._compacted_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            self._append(fd, turned)
            for at in range(0, len(left), TAKEOVER_BATCH_SIZE):
                kept = [
                    held
                    for held in left[at : at + TAKEOVER_BATCH_SIZE]
                    if held.message.id not in already_owned
                ]
                rows = [(held, encode_record(outstanding_record(held))) for held in kept]
                self.remaining += rows
                self._append(fd, b"".join(line for _, line in rows))
                yield
            os.rename(self._compacted_path, self.path)
        except BaseException:
            os.close(fd)
            self._compacted_path.unlink(missing_ok=True)
            raise
        self._fd = fd

    def _append(self, fd: int, data: bytes) -> None:
        if os.write(fd, data) != len(data):
            raise OSError("a short write")
        self.file_bytes += len(data)

    def next_batch(self) -> list[tuple[OutstandingMessage, bytes]]:
        """The messages to take over next, the first to expire first, with their records; none where all have been."""
        return self.remaining[: -TAKEOVER_BATCH_SIZE - 1 : -1]

    def remove_batch(self) -> None:
        """What `next` told is another's now."""
        gone = self.remaining[-TAKEOVER_BATCH_SIZE:]
        self.file_bytes -= sum(len(line) for _, line in gone)
        os.ftruncate(self._fd, self.file_bytes)
        del self.remaining[-TAKEOVER_BATCH_SIZE:]

    def close(self) -> None:
        """Let go; a file from which all was taken is removed."""
        if self._fd >= 0:
            os.close(self._fd)
            if not self.remaining:
                self.path.unlink(missing_ok=True)
        os.close(self._lock_fd)
