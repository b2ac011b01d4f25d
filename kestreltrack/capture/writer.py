"""Writes a bounded set of files from a separate thread, so that the event loop never waits for the disk.

The queue to the thread is bounded.  When the queue or the disk is full, blocks that cannot be written are counted and
dropped, and recording continues with a new file and a new checkpoint: a capture may have gaps between its files, but
not within one.
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

# About a megabyte of records; further blocks are dropped when the disk cannot keep up.
MAX_QUEUED_BLOCKS = 16
# The number is that of the first record, so that sorted names are in the order of writing.
FILE_NAME_FORMAT = "capture-{:012d}.ktc"
# The time that a sender allows the thread at shutdown to write the queued blocks.
CLOSE_TIMEOUT_S = 2.0
# The same for a capture on a virtual clock, whose blocks must all be written.
BLOCKING_CLOSE_TIMEOUT_S = 60.0


class CaptureFullError(OSError, CaptureError):
    """The capture has reached the size that the operator's settings allow, and no older file can be deleted."""


@dataclass(frozen=True, slots=True)
class _QueuedBlock:
    """A block that waits for the thread; `new_file` means that a new file begins with it."""

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

        Files beyond the limits are deleted, the oldest first.  `on_error` is called in the thread with the text of
        each write error.
        """
        self.folder = folder
        self.max_bytes = max_bytes
        self.max_age_s = max_age_s
        self._on_error = on_error
        # Set by the thread: a write failed, and no new file has been begun since.
        self._failed = threading.Event()
        # Set by the event loop: the queue was full, and no block has been enqueued since.
        self._dropped = False
        self._queue: queue.Queue[_QueuedBlock | None] = queue.Queue(MAX_QUEUED_BLOCKS)
        self._file: Path | None = None
        self.next_record = self._find_next_record()
        """The number of the first record of this process."""
        self._thread = threading.Thread(target=self._run, name="capture", daemon=True)
        self._thread.start()

    def _find_next_record(self) -> int:
        """Return a number after those of all records in the folder; one is skipped as a gap between processes."""
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
        """Queue a block of the current file or of a new one; return whether the queue had capacity.

        After a block is dropped, later blocks of the same file are dropped too, until a new file begins.  So the
        queued blocks of a file follow its first one without a gap, whatever the thread has written in the meantime.
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
        """Whether the current file has lost blocks, so that the next block must begin a new file."""
        return self._dropped or self._failed.is_set()

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Let the thread write the queued blocks, and wait until it ends, for each step up to the timeout."""
        try:
            self._queue.put(None, timeout=timeout_s)
        except queue.Full:
            # The thread is a daemon thread and ends with the process.
            return
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            block = self._queue.get()
            if block is None:
                return
            if self._failed.is_set() and not block.new_file:
                # Its file misses an earlier block, so a replay could not use this one.
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
        """Append a packed block to the current file, or to a new one."""
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
            # A partial block would make the file look truncated.
            with path.open("ab") as file:
                file.truncate(size_before)
            raise

    def _delete_old_files(self, current: Path, needed_bytes: int) -> None:
        """Delete the oldest files beyond the limits of size and age, but not the current one.

        Raises:
            CaptureFullError: The needed bytes would exceed the size limit.
        """
        files = sorted(self.folder.glob(FILE_PATTERN))
        size_of = {file: file.stat().st_size for file in files}
        oldest_s = time.time() - self.max_age_s
        for file in files:
            if file == current:
                continue
            exceeds_size = sum(size_of.values()) + needed_bytes > self.max_bytes
            if exceeds_size or file.stat().st_mtime < oldest_s:
                file.unlink()
                del size_of[file]
        if sum(size_of.values()) + needed_bytes > self.max_bytes:
            raise CaptureFullError(f"the capture has reached its limit of {self.max_bytes} bytes")


class BlockingWriter(Writer):
    """A writer whose `enqueue` waits for the thread and drops no block.

    It is for captures on a virtual clock, which may run faster than the disk, and not for a sender in service.
    """

    def enqueue(
        self, new_file: bool, records: list[bytes], first_record: int, first_clock: float, last_clock: float
    ) -> bool:
        """Queue a block, waiting as long as the queue is full; return `True`."""
        self._queue.put(_QueuedBlock(new_file, records, first_record, first_clock, last_clock))
        return True

    def close(self, timeout_s: float = BLOCKING_CLOSE_TIMEOUT_S) -> None:
        """Let the thread write the queued blocks, and wait until it ends, for each step up to the timeout."""
        super().close(timeout_s)
