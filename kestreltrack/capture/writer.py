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
from kestreltrack.capture.reader import NotACapture, Reader
from kestreltrack.capture.records import is_checkpoint

MOST_WAITING = 16  # blocks on the way to the thread
NAME = "capture-{:012d}.ktc"  # by the number of its first record, so that names sort in time


class Writer:
    """Owns the folder; `lost` and `fault` are read by the loop, and cleared by it."""

    def __init__(self, folder: Path, most_bytes: int, most_age_s: float, tell: Callable[[str], None]) -> None:
        """Files beyond the limits go, the oldest first; `tell` hears faults, from the thread."""
        self.folder, self.most_bytes, self.most_age_s, self._tell = folder, most_bytes, most_age_s, tell
        self._failed = threading.Event()  # the thread's word: since then it has written nothing
        self._dropped = False  # the loop's: since then it has handed nothing over
        self._queue: queue.Queue[tuple[bool, list[bytes], int, float, float] | None] = queue.Queue(
            MOST_WAITING
        )
        self._file: Path | None = None
        self.following = self._after_last()
        self._thread = threading.Thread(target=self._run, name="capture", daemon=True)
        self._thread.start()

    def _after_last(self) -> int:
        """The first number for this process: behind all that is in the folder, and one further, as a gap."""
        files = sorted(self.folder.glob("capture-*.ktc"))
        if not files:
            return 0
        number = int(files[-1].stem.partition("-")[2])
        try:
            heads = Reader(files[-1]).heads()
        except (NotACapture, OSError):
            heads = []
        return max([number, *(found.head.number + found.head.records for found in heads)]) + 1

    def put(self, fresh: bool, records: list[bytes], number: int, first: float, last: float) -> bool:
        """Hand over a block, of a `fresh` file or the present one; says whether there was room.

        After one that found no room nothing more of that file is taken: behind a fresh block there are only such
        as follow it without a gap, whatever the thread does meanwhile.
        """
        if self._dropped and not fresh:
            return False
        try:
            self._queue.put_nowait((fresh, records, number, first, last))
        except queue.Full:
            self._dropped = True
            return False
        self._dropped = False
        return True

    @property
    def broken(self) -> bool:
        """Whether a fresh file has to begin."""
        return self._dropped or self._failed.is_set()

    def close(self, patience_s: float = 2.0) -> None:
        """Write what waits, and end."""
        try:
            self._queue.put(None, timeout=patience_s)
        except queue.Full:
            return  # it is a daemon: it ends with the process
        self._thread.join(patience_s)

    def _run(self) -> None:
        while (order := self._queue.get()) is not None:
            fresh, records, number, first, last = order
            if self._failed.is_set() and not fresh:
                continue  # part of a file that has a gap: nobody could replay it
            try:
                checkpoint = fresh or is_checkpoint(records[0])
                self._write(fresh, blocks.pack(records, number, first, last, checkpoint), number)
                if fresh:
                    self._failed.clear()
            except OSError as bad:
                self._failed.set()
                self._tell(str(bad))

    def _write(self, fresh: bool, block: bytes, number: int) -> None:
        if fresh or self._file is None:
            self._file = self.folder / NAME.format(number)
            self._make_room(len(block))
            with self._file.open("wb") as out:
                out.write(blocks.MAGIC)
        else:
            self._make_room(len(block))
        before = self._file.stat().st_size
        try:
            with self._file.open("ab") as out:
                out.write(block)
        except OSError:
            with self._file.open("ab") as out:
                out.truncate(before)  # half a block would look like a torn end
            raise

    def _make_room(self, more: int) -> None:
        files = sorted(self.folder.glob("capture-*.ktc"))
        sizes = {file: file.stat().st_size for file in files}
        oldest = time.time() - self.most_age_s
        for file in files:
            if file == self._file:
                continue
            if sum(sizes.values()) + more > self.most_bytes or file.stat().st_mtime < oldest:
                file.unlink()
                del sizes[file]
        if sum(sizes.values()) + more > self.most_bytes:
            raise OSError(f"the capture's {self.most_bytes} bytes are full")


class PatientWriter(Writer):
    """Waits for its thread: for captures on a driven clock, which outruns any disk.  Not for a sender that serves."""

    def put(self, fresh: bool, records: list[bytes], number: int, first: float, last: float) -> bool:
        """Hand over a block, however long it takes."""
        self._queue.put((fresh, records, number, first, last))
        return True

    def close(self, patience_s: float = 60.0) -> None:
        """Write what waits, and end."""
        super().close(patience_s)
