"""Slots of the state folder: each process of a sender holds one, with a file of its own and an advisory lock.

Two processes share the folder (`$GW_STATE`) while a new version starts beside the old one (graceful restart).  The
kernel releases the lock when its process ends, however it ends.
"""

from __future__ import annotations

import fcntl
import os
import time
from dataclasses import dataclass
from pathlib import Path

from kestreltrack.journal.errors import JournalFullError

# The process in service and its successor: there are never more at once.  The names are those of the files.
SLOTS = ("journal", "journal.1")

# How long a start waits for a free slot: a process that takes over the other slot's messages holds both.
SLOT_TIMEOUT_S = 2.0

# Pause between two attempts to lock a slot; short against the time-out.
SLOT_POLL_S = 0.05


@dataclass(slots=True)
class SlotLock:
    """The lock of one slot, held by this process until `release`."""

    slot: str
    fd: int

    @classmethod
    def try_acquire(cls, folder: Path, slot: str) -> SlotLock | None:
        """Lock a slot, or return `None` where a live process holds it.

        Raises `OSError` where the lock file cannot be opened.
        """
        fd = os.open(folder / f"{slot}.lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return None
        return cls(slot, fd)

    def release(self) -> None:
        """Unlock the slot: another process may hold it from now on."""
        os.close(self.fd)
        # The kernel gives the number to the next file that is opened: that may be a connection.
        self.fd = -1


def acquire_free_slot(folder: Path) -> SlotLock:
    """Lock the first free slot, waiting `SLOT_TIMEOUT_S` at most; raises `JournalFullError` where none is free."""
    deadline = time.monotonic() + SLOT_TIMEOUT_S
    while True:
        for slot in SLOTS:
            lock = SlotLock.try_acquire(folder, slot)
            if lock is not None:
                return lock
        if time.monotonic() >= deadline:
            raise JournalFullError(f"two live processes use {folder}: stop one of them, then start again")
        time.sleep(SLOT_POLL_S)


def slot_in_use(folder: Path, slot: str) -> bool:
    """Return whether a live process holds a slot."""
    lock = SlotLock.try_acquire(folder, slot)
    if lock is None:
        return True
    lock.release()
    return False


def other_slots_in_use(folder: Path, own_slot: str) -> list[str]:
    """Return the slots, other than this process's, that live processes hold."""
    return [slot for slot in SLOTS if slot != own_slot and slot_in_use(folder, slot)]
