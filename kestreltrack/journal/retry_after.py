"""Shares ``Retry-After`` times between the two processes of one sender during an upgrade.

A ``Retry-After`` applies to the whole sender, not only to the process that received it.  Each process therefore
writes the times that it received to a file of its slot in the state folder (`$GW_STATE`) and reads the other slot's
file.  Times are in milliseconds on the sender's clock, like Unix time, on which both processes agree.  This module
only exchanges them; the decision module acts on them.
"""

from __future__ import annotations

from pathlib import Path

import orjson

from kestreltrack.journal.shared_files import FileVersion, read_if_changed, write_atomically
from kestreltrack.journal.slot_lock import SLOTS


class SharedRetryAfter:
    """The time until which each destination asked this sender to wait, in milliseconds on the sender's clock."""

    def __init__(self, folder: Path, slot: str) -> None:
        """Store the times received here in ``waits.SLOT``, after reading what an earlier process of the slot left."""
        self.own_path = folder / f"waits.{slot}"
        self.other_paths = [folder / f"waits.{other}" for other in SLOTS if other != slot]
        self.own_retry_at = dict[int, float]()
        self.other_retry_at = dict[int, float]()
        self._file_versions = dict[Path, FileVersion]()
        # An earlier process of this slot may have received times that still apply and that no other file contains.
        self._unread_paths = [self.own_path]

    def record(self, dest: int, retry_at_ms: float, now_ms: float) -> None:
        """Store a time received here and drop those that have passed.  Raises `OSError`."""
        self.own_retry_at = _drop_expired(self.own_retry_at, now_ms)
        self.own_retry_at[dest] = max(retry_at_ms, self.own_retry_at.get(dest, 0.0))
        # Include what the other process received: a third process, started later, may find only this file.
        retry_at = _drop_expired(self.other_retry_at, now_ms)
        for own_dest, own_retry_at_ms in self.own_retry_at.items():
            retry_at[own_dest] = max(own_retry_at_ms, retry_at.get(own_dest, 0.0))
        stored = {str(stored_dest): until_ms for stored_dest, until_ms in retry_at.items()}
        write_atomically(self.own_path, orjson.dumps(stored))

    def read_changes(self, now_ms: float) -> dict[int, float]:
        """Return the times that the other process received since the last call, by destination.

        Times that have passed, and times that the other process got from this one, are left out.  A file that has
        not changed costs one `stat`.  Raises `OSError`.
        """
        changes = dict[int, float]()
        for path in (*self._unread_paths, *self.other_paths):
            changes |= self._read_file(path, now_ms)
        self._unread_paths.clear()  # not before: a file that could not be read is read at the next call
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


def _drop_expired(retry_at: dict[int, float], now_ms: float) -> dict[int, float]:
    """Return the entries whose time has not passed yet."""
    return {dest: retry_at_ms for dest, retry_at_ms in retry_at.items() if retry_at_ms > now_ms}


def _parse_retry_at(data: bytes) -> dict[int, float]:
    """Return the times by destination; malformed content is ignored."""
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
