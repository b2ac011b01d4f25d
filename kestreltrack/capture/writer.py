"""Writes a ring of files from a thread of its own: the loop never waits for the disk.

The way to the thread is bounded.  Where it is full, or the disk is, what cannot be written is counted and left out,
and the next file begins with a fresh checkpoint: a capture has gaps, but no file in it has one.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from pathlib import Path

from kestreltrack.capture import blocks
from kestreltrack.capture.reader import NotACaptureError, Reader
from kestreltrack.capture.records import is_checkpoint

MAX_QUEUED_BLOCKS = 16  # blocks on the way to the thread
FILE_NAME_FORMAT = "capture-{:012d}.ktc"  # by the number of its first record, so that names sort in time


class Writer:
    """Owns the folder; `lost` and `fault` are read by the loop, and cleared by it."""

    def __init__(
        self, folder: Path, max_bytes: int, max_age_s: float, on_error: Callable[[str], None]
    ) -> None:
        """Files beyond the limits go, the oldest first; `tell` hears faults, from the thread."""
        self.folder, self.max_bytes, self.max_age_s, self._on_error = folder, max_bytes, max_age_s, on_error
        self._failed = threading.Event()  # the thread's word: since then it has written nothing
        self._dropped = False  # the loop's: since then it has handed nothing over
        self._queue: queue.Queue[tuple[bool, list[bytes], int, float, float] | None] = queue.Queue(
            MAX_QUEUED_BLOCKS
        )
        self._file: Path | None = None
        self.next_record = self._find_next_record()
        self._thread = threading.Thread(target=self._run, name="capture", daemon=True)
        self._thread.start()

    def _find_next_record(self) -> int:
        """The first number for this process: behind all that is in the folder, and one further, as a gap."""
        files = sorted(self.folder.glob("capture-*.ktc"))
        if not files:
            return 0
        number = int(files[-1].stem.partition("-")[2])
        try:
            heads = Reader(files[-1]).block_headers()
        except (NotACaptureError, OSError):
            heads = []
        return max([number, *(found.header.first_record + found.header.record_count for found in heads)]) + 1

    def enqueue(
        self, new_file: bool, records: list[bytes], first_record: int, first_clock: float, last_clock: float
    ) -> bool:
        """Hand over a block, of a `fresh` file or the present one; says whether there was room.

        After one that found no room nothing more of that file is taken: behind a fresh block there are only such
        as follow it without a gap, whatever the thread does meanwhile.
        """
        if self._dropped and not new_file:
            return False
        try:
            self._queue.put_nowait((new_file, records, first_record, first_clock, last_clock))
        except queue.Full:
            self._dropped = True
            return False
        self._dropped = False
        return True

    @property
    def needs_new_file(self) -> bool:
        """Whether a fresh file has to begin."""
        return self._dropped or self._failed.is_set()

    def close(self, timeout_s: float = 2.0) -> None:
        """Write what waits, and end."""
        try:
            self._queue.put(None, timeout=timeout_s)
        except queue.Full:
            return  # it is a daemon: it ends with the process
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while (order := self._queue.get()) is not None:
            fresh, records, number, first, last = order
            if self._failed.is_set() and not fresh:
                continue  # part of a file that has a gap: nobody could replay it
            try:
                checkpoint = fresh or is_checkpoint(records[0])
                self._write(fresh, blocks.pack_block(records, number, first, last, checkpoint), number)
                if fresh:
                    self._failed.clear()
            except OSError as bad:
                self._failed.set()
                self._on_error(str(bad))

    def _write(self, new_file: bool, block: bytes, first_record: int) -> None:
        if new_file or self._file is None:
            self._file = self.folder / FILE_NAME_FORMAT.format(first_record)
            self._delete_old_files(len(block))
            with self._file.open("wb") as out:
                out.write(blocks.MAGIC)
        else:
            self._delete_old_files(len(block))
        before = self._file.stat().st_size
        try:
            with self._file.open("ab") as out:
                out.write(block)
        except OSError:
            with self._file.open("ab") as out:
                out.truncate(before)  # half a block would look like a torn end
            raise

    def _delete_old_files(self, needed_bytes: int) -> None:
        files = sorted(self.folder.glob("capture-*.ktc"))
        sizes = {file: file.stat().st_size for file in files}
        oldest = time.time() - self.max_age_s
        for file in files:
            if file == self._file:
                continue
            if sum(sizes.values()) + needed_bytes > self.max_bytes or file.stat().st_mtime < oldest:
                file.unlink()
                del sizes[file]
        if sum(sizes.values()) + needed_bytes > self.max_bytes:
            raise OSError(f"the capture's {self.max_bytes} bytes are full")


class BlockingWriter(Writer):
    """Waits for its thread: for captures on a driven clock, which outruns any disk.  Not for a sender that serves."""

    def enqueue(
        self, new_file: bool, records: list[bytes], first_record: int, first_clock: float, last_clock: float
    ) -> bool:
        """Hand over a block, however long it takes."""
        self._queue.put((new_file, records, first_record, first_clock, last_clock))
        return True

    def close(self, timeout_s: float = 60.0) -> None:
        """Write what waits, and end."""
        super().close(timeout_s)
