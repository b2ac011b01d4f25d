"""Retry-after times that destinations gave, shared by two processes of one sender during an upgrade.

Each process writes the times that it received into a file of its slot in the state folder (`$GW_STATE`) and reads the
other slot's file: a ``Retry-After`` binds the sender, not only the process that received it.  Times are on the
sender's clock (milliseconds, like Unix time), on which both processes agree.  This module only passes them on: the
decision module alone acts on them.
"""

from __future__ import annotations

from pathlib import Path

import orjson

from kestreltrack.journal.shared_files import FileVersion, read_if_changed, write_atomically
from kestreltrack.journal.slot_lock import SLOTS


class SharedRetryAfter:
    """Until when each destination asked this sender to wait, in milliseconds on the sender's clock."""

    def __init__(self, folder: Path, slot: str) -> None:
        """Use ``waits.SLOT`` for the times received here; what an earlier process of the slot left there is read."""
        self.own_path = folder / f"waits.{slot}"
        self.other_paths = [folder / f"waits.{other}" for other in SLOTS if other != slot]
        self.own_retry_at = dict[int, float]()
        self.other_retry_at = dict[int, float]()
        self._file_versions = dict[Path, FileVersion]()
        # An earlier process of this slot may have received times that still bind, and no other file has them.
        self._unread_paths = [self.own_path]

    def record(self, dest: int, retry_at_ms: float, now_ms: float) -> None:
        """Store a time received here; those that have passed are dropped.  Raises `OSError`."""
        self.own_retry_at = _after(self.own_retry_at, now_ms)
        self.own_retry_at[dest] = max(retry_at_ms, self.own_retry_at.get(dest, 0.0))
        # What the other process received goes along: a third process, after both, reads this file alone.
        retry_at = _after(self.other_retry_at, now_ms)
        for own_dest, own_retry_at_ms in self.own_retry_at.items():
            retry_at[own_dest] = max(own_retry_at_ms, retry_at.get(own_dest, 0.0))
        stored = {str(stored_dest): until_ms for stored_dest, until_ms in retry_at.items()}
        write_atomically(self.own_path, orjson.dumps(stored))

    def read_changes(self, now_ms: float) -> dict[int, float]:
        """Return what the other process received since the last call and still binds, by destination.

        One `stat` a file where nothing has changed.  Times that came from this process by way of the other's file
        are left out.  Raises `OSError`.
        """
        changes = dict[int, float]()
        for path in (*self._unread_paths, *self.other_paths):
            changes |= self._read_file(path, now_ms)
        self._unread_paths.clear()  # only now: what could not be read is read at the next call
        return changes

    def _read_file(self, path: Path, now_ms: float) -> dict[int, float]:
        data = read_if_changed(path, self._file_versions)
        if data is None:
            return {}
        changes = dict[int, float]()
        for dest, retry_at_ms in _parse_retry_at(data).items():
            known_ms = max(self.other_retry_at.get(dest, 0.0), self.own_retry_at.get(dest, 0.0))
            if retry_at_ms > known_ms and retry_at_ms > now_ms:
                self.other_retry_at[dest] = retry_at_ms
                changes[dest] = retry_at_ms
        return changes


def _after(retry_at: dict[int, float], now_ms: float) -> dict[int, float]:
    """Return the entries whose time has not passed."""
    return {dest: retry_at_ms for dest, retry_at_ms in retry_at.items() if retry_at_ms > now_ms}


def _parse_retry_at(data: bytes) -> dict[int, float]:
    """Return the times by destination; what is not of this form is left out."""
    try:
        row = orjson.loads(data)
    except orjson.JSONDecodeError:
        return {}
    if not isinstance(row, dict):
        return {}
    return {
        int(name): float(retry_at_ms)
        for name, retry_at_ms in row.items()
        if isinstance(retry_at_ms, int | float) and name.isdecimal()
    }
