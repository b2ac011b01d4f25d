"""Slots of the state folder: each process of a sender locks one, which has its own journal file.

Two processes share the folder (`$GW_STATE`) during a graceful restart, while a new version starts beside the old one.
The locks are advisory; the kernel releases them when the process ends, for whatever reason.
"""

from __future__ import annotations

import fcntl
import os
import time
from dataclasses import dataclass
from pathlib import Path

from kestreltrack.journal.errors import JournalFullError

# One for the process in service and one for its successor; no more run at once.  The journal files have these names.
SLOTS = ("journal", "journal.1")

# How long a starting process waits for a free slot: during a takeover one process holds both.
SLOT_TIMEOUT_S = 2.0

# Interval between attempts to lock a slot, much shorter than the timeout.
SLOT_POLL_INTERVAL_S = 0.05


@dataclass(slots=True)
class SlotLock:
    """The lock on one slot, held by this process until `release`."""

    slot: str
    fd: int

    @classmethod
    def try_acquire(cls, folder: Path, slot: str) -> SlotLock | None:
        """Lock a slot, or return `None` if a running process holds it.

        Raises `OSError` if the lock file cannot be opened.
        """
        fd = os.open(folder / f"{slot}.lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return None
        return cls(slot, fd)

    def release(self) -> None:
        """Release the lock, so that another process can take the slot."""
        os.close(self.fd)
        # The kernel reuses the descriptor number for the next file that is opened, possibly a connection.
        self.fd = -1


def acquire_free_slot(folder: Path) -> SlotLock:
    """Lock the first free slot, waiting up to `SLOT_TIMEOUT_S` for one.

    Raises `JournalFullError` if none becomes free.
    """
    deadline = time.monotonic() + SLOT_TIMEOUT_S
    while True:
        for slot in SLOTS:
            lock = SlotLock.try_acquire(folder, slot)
            if lock is not None:
                return lock
        if time.monotonic() >= deadline:
            raise JournalFullError(
                f"both slots of {folder} are held by running processes: stop one of them and retry"
            )
        time.sleep(SLOT_POLL_INTERVAL_S)


def slot_in_use(folder: Path, slot: str) -> bool:
    """Return whether a running process holds a slot."""
    lock = SlotLock.try_acquire(folder, slot)
    if lock is None:
        return True
    lock.release()
    return False


def other_slots_in_use(folder: Path, own_slot: str) -> list[str]:
    """Return the slots other than `own_slot` that running processes hold."""
    return [slot for slot in SLOTS if slot != own_slot and slot_in_use(folder, slot)]
