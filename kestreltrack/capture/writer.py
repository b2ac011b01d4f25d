"""Writes a ring of files from a thread of its own, so that the event loop never waits for the disk.

The queue to the thread is bounded.  Where the queue or the disk is full, what cannot be written is counted and left
out, and the next file begins with a new checkpoint: a capture may have gaps, but no file in it has one.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from kestreltrack.capture import blocks
from kestreltrack.capture.errors import CaptureError
from kestreltrack.capture.reader import FILE_PATTERN, NotACaptureError, Reader
from kestreltrack.capture.records import is_checkpoint

# About a megabyte of records on the way to the thread; a disk that is slower than that loses blocks.
MAX_QUEUED_BLOCKS = 16
# A file is named by the number of its first record, so that names sort in the order of writing.
FILE_NAME_FORMAT = "capture-{:012d}.ktc"
# How long a sender waits at its end for the thread to write what is queued.
CLOSE_TIMEOUT_S = 2.0
# The same for a capture on a virtual clock, where everything must be written.
BLOCKING_CLOSE_TIMEOUT_S = 60.0


class CaptureFullError(OSError, CaptureError):
    """The capture has used up the bytes that the operator's settings allow, and no older file can be deleted."""


@dataclass(frozen=True, slots=True)
class _QueuedBlock:
    """A block on its way to the thread; `new_file` where a file begins with it."""

    new_file: bool
    records: list[bytes]
    first_record: int
    first_clock: float
    last_clock: float


class Writer:
    """Owns the folder of a capture and the thread that writes to it.

    The event loop calls `enqueue` and reads `needs_new_file`; the other methods run in the thread.
    """

    def __init__(
        self, folder: Path, max_bytes: int, max_age_s: float, on_error: Callable[[str], None]
    ) -> None:
        """Start the thread.

        Files beyond the limits are deleted, the oldest first.  `on_error` receives errors of writing, in the thread.
        """
        self.folder = folder
        self.max_bytes = max_bytes
        self.max_age_s = max_age_s
        self._on_error = on_error
        # Set by the thread: it has not written anything since an error.
        self._failed = threading.Event()
        # Set by the event loop: it has not enqueued anything since the queue was full.
        self._dropped = False
        self._queue: queue.Queue[_QueuedBlock | None] = queue.Queue(MAX_QUEUED_BLOCKS)
        self._file: Path | None = None
        self.next_record = self._find_next_record()
        """The first number for the records of this process."""
        self._thread = threading.Thread(target=self._run, name="capture", daemon=True)
        self._thread.start()

    def _find_next_record(self) -> int:
        """Return a number behind all records in the folder, one left out, so that a gap shows between processes."""
        files = sorted(self.folder.glob(FILE_PATTERN))
        if not files:
            return 0
        last_numbers = [int(files[-1].stem.partition("-")[2])]
        try:
            headers = [located.header for located in Reader(files[-1]).block_headers()]
        except (NotACaptureError, OSError):
            headers = []
        last_numbers += [header.first_record + header.record_count for header in headers]
        return max(last_numbers) + 1

    def enqueue(
        self, new_file: bool, records: list[bytes], first_record: int, first_clock: float, last_clock: float
    ) -> bool:
        """Hand over a block, of a new file or the present one; return whether the queue had room.

        After a block that found no room nothing more of that file is taken: behind the first block of a file there
        are only blocks that follow it without a gap, whatever the thread does meanwhile.
        """
        if self._dropped and not new_file:
            return False
        try:
            self._queue.put_nowait(_QueuedBlock(new_file, records, first_record, first_clock, last_clock))
        except queue.Full:
            self._dropped = True
            return False
        self._dropped = False
        return True

    @property
    def needs_new_file(self) -> bool:
        """Whether the next block must begin a new file."""
        return self._dropped or self._failed.is_set()

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Have the thread write what is queued, and wait for its end, up to the timeout."""
        try:
            self._queue.put(None, timeout=timeout_s)
        except queue.Full:
            # The thread is a daemon and ends with the process.
            return
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            block = self._queue.get()
            if block is None:
                return
            if self._failed.is_set() and not block.new_file:
                # The block belongs to a file that has a gap and could not be replayed.
                continue
            checkpoint = block.new_file or is_checkpoint(block.records[0])
            data = blocks.pack_block(
                block.records, block.first_record, block.first_clock, block.last_clock, checkpoint
            )
            try:
                self._write(block.new_file, data, block.first_record)
                if block.new_file:
                    self._failed.clear()
            except OSError as error:
                self._failed.set()
                self._on_error(str(error))

    def _write(self, new_file: bool, block: bytes, first_record: int) -> None:
        """Append a packed block to the present file, or to a new one."""
        if new_file or self._file is None:
            self._file = self.folder / FILE_NAME_FORMAT.format(first_record)
            self._delete_old_files(self._file, len(block))
            with self._file.open("wb") as file:
                file.write(blocks.MAGIC)
        else:
            self._delete_old_files(self._file, len(block))
        self._append(self._file, block)

    @staticmethod
    def _append(path: Path, data: bytes) -> None:
        size_before = path.stat().st_size
        try:
            with path.open("ab") as file:
                file.write(data)
        except OSError:
            # Half a block would look like a torn end of the file.
            with path.open("ab") as file:
                file.truncate(size_before)
            raise

    def _delete_old_files(self, current: Path, needed_bytes: int) -> None:
        """Delete files that are too old or too many, but not the current one.

        Raises:
            CaptureFullError: There is no room for the bytes that are needed.
        """
        files = sorted(self.folder.glob(FILE_PATTERN))
        size_of = {file: file.stat().st_size for file in files}
        oldest_s = time.time() - self.max_age_s
        for file in files:
            if file == current:
                continue
            too_many = sum(size_of.values()) + needed_bytes > self.max_bytes
            if too_many or file.stat().st_mtime < oldest_s:
                file.unlink()
                del size_of[file]
        if sum(size_of.values()) + needed_bytes > self.max_bytes:
            raise CaptureFullError(f"the capture's {self.max_bytes} bytes are full")


class BlockingWriter(Writer):
    """A writer that waits for its thread.

    It is for captures on a virtual clock, which is faster than any disk, and not for a sender that serves.
    """

    def enqueue(
        self, new_file: bool, records: list[bytes], first_record: int, first_clock: float, last_clock: float
    ) -> bool:
        """Hand over a block, however long it takes; return `True`."""
        self._queue.put(_QueuedBlock(new_file, records, first_record, first_clock, last_clock))
        return True

    def close(self, timeout_s: float = BLOCKING_CLOSE_TIMEOUT_S) -> None:
        """Have the thread write what is queued, and wait for its end, up to the timeout."""
        super().close(timeout_s)
