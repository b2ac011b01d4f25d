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

from kestreltrack.journal.ledger import Held, Ledger, encode, first_to_expire, held_record
from kestreltrack.journal.slots import lock_slot
from kestreltrack.telemetry import Telemetry

READ_LINES = 400  # records read back in one turn of the loop: some 4 ms, where a core is one's own
MOVE = 25  # messages written, copied or cut in one turn: the module may have to answer each at once


class Remains:
    """The file of a slot whose process has ended; its lock is held until `close`."""

    def __init__(self, folder: Path, slot: str, lock: int, telemetry: Telemetry) -> None:
        """`lock` is the slot's, held.  Raises `OSError` where the file cannot be read."""
        self.folder, self.slot, self._lock, self.telemetry = folder, slot, lock, telemetry
        self.path, self._next = folder / slot, folder / f"{slot}.new"
        self._fd = -1
        self.rest = list[tuple[Held, bytes]]()  # still here; the last expire first
        self.size = 0
        self._next.unlink(missing_ok=True)  # a rewrite that its process did not live to finish
        try:
            self.ledger = Ledger(telemetry)
            self._data = self.path.read_bytes() if self.path.exists() else b""
        except OSError:
            self.close()
            raise

    @classmethod
    def of(cls, folder: Path, slot: str, telemetry: Telemetry) -> Remains | None:
        """Those of a slot, or `None` while its process lives."""
        lock = lock_slot(folder, slot)
        return cls(folder, slot, lock, telemetry) if lock >= 0 else None

    def read(self) -> Iterator[None]:
        """Read it back into `ledger`; one step a slice."""
        lines = iter(self.ledger.lines(self._data))
        first, self._data = 1, b""
        while part := list(islice(lines, READ_LINES)):
            self.ledger.recover(part, first)
            first += len(part)
            yield
        self.ledger.in_order()

    def rewrite(self, have: Container[str]) -> Iterator[None]:
        """Write it anew, without the messages that are in `have`; one step a slice.  Raises `OSError`."""
        left = first_to_expire(self.ledger.held.values())[::-1]
        turned = encode({"t": "turned"})
        fd = os.open(self._next, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            self._put(fd, turned)
            for at in range(0, len(left), MOVE):
                kept = [held for held in left[at : at + MOVE] if held.message.id not in have]
                rows = [(held, encode(held_record(held))) for held in kept]
                self.rest += rows
                self._put(fd, b"".join(line for _, line in rows))
                yield
            os.rename(self._next, self.path)
        except BaseException:
            os.close(fd)
            self._next.unlink(missing_ok=True)
            raise
        self._fd = fd

    def _put(self, fd: int, data: bytes) -> None:
        if os.write(fd, data) != len(data):
            raise OSError("a short write")
        self.size += len(data)

    def next(self) -> list[tuple[Held, bytes]]:
        """The messages to take over next, the first to expire first, with their records; none where all have been."""
        return self.rest[: -MOVE - 1 : -1]

    def cut(self) -> None:
        """What `next` told is another's now."""
        gone = self.rest[-MOVE:]
        self.size -= sum(len(line) for _, line in gone)
        os.ftruncate(self._fd, self.size)
        del self.rest[-MOVE:]

    def close(self) -> None:
        """Let go; a file from which all was taken is removed."""
        if self._fd >= 0:
            os.close(self._fd)
            if not self.rest:
                self.path.unlink(missing_ok=True)
        os.close(self._lock)
