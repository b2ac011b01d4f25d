"""Two processes of one sender share `$GW_STATE` during an upgrade: each holds a slot, a file and an advisory lock."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

SLOTS = ("journal", "journal.1")  # the process in service and its successor: never more at once


def lock_slot(folder: Path, slot: str) -> int:
    """A descriptor that holds the lock of a slot, or -1 where a live process holds it."""
    fd = os.open(folder / f"{slot}.lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(fd)
        return -1
    return fd
