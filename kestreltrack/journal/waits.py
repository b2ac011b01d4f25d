"""Waits told by partners, shared by the two processes of one sender while a new version starts beside the old.

Each process writes the waits it was told into a file of its slot in `$GW_STATE` and reads the other slot's: a
partner's ``Retry-After`` binds the sender, not the one process that heard it.  Times are on the sender's clock
(milliseconds that read like Unix time), which both processes read alike.
"""

from __future__ import annotations

from pathlib import Path

import orjson

from kestreltrack.journal import SLOTS
from kestreltrack.journal.kept import read_changed, write_whole


class SharedWaits:
    """Until when each destination asked this sender to wait."""

    def __init__(self, folder: Path, slot: str) -> None:
        """Own waits go to ``waits.SLOT``; the other slots' files are read by `look`."""
        self.own_path = folder / f"waits.{slot}"
        self.others = [folder / f"waits.{other}" for other in SLOTS if other != slot]
        self.own, self.theirs = dict[int, float](), dict[int, float]()
        self._stamps = dict[Path, int]()
        # What the process before this one in the same slot was told: it may still bind, and nobody else keeps it.
        self._read(self.own_path)
        self.look()  # before the first claim: the other process may have been told a wait long ago

    def until(self, dest: int) -> float:
        """When the latest wait for `dest` that the other process heard ends; 0 where none."""
        return self.theirs.get(dest, 0.0)

    def told(self, dest: int, until: float, now: float) -> None:
        """Keep a wait heard here; what is over is left out.  Raises `OSError`."""
        self.own = {d: u for d, u in self.own.items() if u > now}
        self.own[dest] = max(until, self.own.get(dest, 0.0))
        # What the other process heard goes along: a third process, after both, reads only this file.
        kept = {d: u for d, u in self.theirs.items() if u > now}
        for d, u in self.own.items():
            kept[d] = max(u, kept.get(d, 0.0))
        write_whole(self.own_path, orjson.dumps({str(d): u for d, u in kept.items()}))

    def look(self) -> None:
        """Read what the other slot's process kept, where it changed.  Raises `OSError`."""
        for path in self.others:
            self._read(path)

    def _read(self, path: Path) -> None:
        if (data := read_changed(path, self._stamps)) is None:
            return
        try:
            kept = orjson.loads(data)
        except orjson.JSONDecodeError:
            return
        for dest, until in kept.items() if isinstance(kept, dict) else ():
            if isinstance(until, int | float) and str(dest).isdecimal():
                self.theirs[int(dest)] = max(float(until), self.theirs.get(int(dest), 0.0))
