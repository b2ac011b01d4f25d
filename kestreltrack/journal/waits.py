"""Waits told by partners, shared by the two processes of one sender while a new version starts beside the old.

Each process writes the waits it was told into a file of its slot in `$GW_STATE` and reads the other slot's: a
partner's ``Retry-After`` binds the sender, not the one process that heard it.  Times are on the sender's clock
(milliseconds that read like Unix time), which both processes read alike.  What it reads is for the decision module,
which alone heeds it (`WaitHeard`); nothing is held back here.
"""

from __future__ import annotations

from pathlib import Path

import orjson

from kestreltrack.journal.kept import Stamp, read_changed, write_whole
from kestreltrack.journal.slots import SLOTS


class SharedWaits:
    """Until when each destination asked this sender to wait."""

    def __init__(self, folder: Path, slot: str) -> None:
        """Own waits go to ``waits.SLOT``; the first `look` reads what an earlier process of this slot left there."""
        self.own_path = folder / f"waits.{slot}"
        self.others = [folder / f"waits.{other}" for other in SLOTS if other != slot]
        self.own, self.theirs = dict[int, float](), dict[int, float]()
        self._stamps = dict[Path, Stamp]()
        # Whoever was in this slot before may have been told a wait that still binds, and nobody else keeps it.
        self._unread = [self.own_path]

    def told(self, dest: int, until: float, now: float) -> None:
        """Keep a wait heard here; what is over is left out.  Raises `OSError`."""
        self.own = {d: u for d, u in self.own.items() if u > now}
        self.own[dest] = max(until, self.own.get(dest, 0.0))
        # What the other process heard goes along: a third process, after both, reads only this file.
        kept = {d: u for d, u in self.theirs.items() if u > now}
        for d, u in self.own.items():
            kept[d] = max(u, kept.get(d, 0.0))
        write_whole(self.own_path, orjson.dumps({str(d): u for d, u in kept.items()}))

    def look(self, now: float) -> dict[int, float]:
        """What the other process was told since the last look and still binds, by destination.  Raises `OSError`.

        A stat where nothing has changed.  What came from here by way of the other's file is no news.
        """
        news = dict[int, float]()
        for path in (*self._unread, *self.others):
            news |= self._read(path, now)
        self._unread.clear()  # only now: what could not be read is read at the next look
        return news

    def _read(self, path: Path, now: float) -> dict[int, float]:
        if (data := read_changed(path, self._stamps)) is None:
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
            known = max(self.theirs.get(dest, 0.0), self.own.get(dest, 0.0))
            if until > known and until > now:
                self.theirs[dest] = news[dest] = until
        return news
