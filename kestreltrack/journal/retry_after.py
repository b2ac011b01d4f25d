"""Waits told by partners, shared by the two processes of one sender while a new version starts beside the old.

Each process writes the waits it was told into a file of its slot in `$GW_STATE` and reads the other slot's: a
partner's ``Retry-After`` binds the sender, not the one process that heard it.  Times are on the sender's clock
(milliseconds that read like Unix time), which both processes read alike.  What it reads is for the decision module,
which alone heeds it (`WaitHeard`); nothing is held back here.
"""

from __future__ import annotations

from pathlib import Path

import orjson

from kestreltrack.journal.shared_files import FileVersion, read_if_changed, write_atomically
from kestreltrack.journal.slot_lock import SLOTS


class SharedRetryAfter:
    """Until when each destination asked this sender to wait."""

    def __init__(self, folder: Path, slot: str) -> None:
        """Own waits go to ``waits.SLOT``; the first `look` reads what an earlier process of this slot left there."""
        self.own_path = folder / f"waits.{slot}"
        self.other_paths = [folder / f"waits.{other}" for other in SLOTS if other != slot]
        self.own_retry_at, self.other_retry_at = dict[int, float](), dict[int, float]()
        self._file_versions = dict[Path, FileVersion]()
        # Whoever was in this slot before may have been told a wait that still binds, and nobody else keeps it.
        self._unread_paths = [self.own_path]

    def record(self, dest: int, retry_at_ms: float, now_ms: float) -> None:
        """Keep a wait heard here; what is over is left out.  Raises `OSError`."""
        self.own_retry_at = {d: u for d, u in self.own_retry_at.items() if u > now_ms}
        self.own_retry_at[dest] = max(retry_at_ms, self.own_retry_at.get(dest, 0.0))
        # What the other process heard goes along: a third process, after both, reads only this file.
        kept = {d: u for d, u in self.other_retry_at.items() if u > now_ms}
        for d, u in self.own_retry_at.items():
            kept[d] = max(u, kept.get(d, 0.0))
        write_atomically(self.own_path, orjson.dumps({str(d): u for d, u in kept.items()}))

    def read_changes(self, now_ms: float) -> dict[int, float]:
        """What the other process was told since the last look and still binds, by destination.  Raises `OSError`.

        A stat where nothing has changed.  What came from here by way of the other's file is no news.
        """
        news = dict[int, float]()
        for path in (*self._unread_paths, *self.other_paths):
            news |= self._read_file(path, now_ms)
        self._unread_paths.clear()  # only now: what could not be read is read at the next look
        return news

    def _read_file(self, path: Path, now_ms: float) -> dict[int, float]:
        if (data := read_if_changed(path, self._file_versions)) is None:
            return {}
        try:
            kept = orjson.loads(data)
        except orjson.JSONDecodeError:
            return {}
        news = dict[int, float]()
        for name, until in kept.items() if isinstance(kept, dict) else ():
            if not (isinstance(until, int | float) and str(name).isdecimal()):
                continue
            dest, until = int(name), float(until)
            known = max(self.other_retry_at.get(dest, 0.0), self.own_retry_at.get(dest, 0.0))
            if until > known and until > now_ms:
                self.other_retry_at[dest] = news[dest] = until
        return news
