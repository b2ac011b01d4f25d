"""Walks over the files of one capture in their order: from a checkpoint, up to a clock, and across gaps.

What reads a capture for people or for a replay goes through here, so that all agree on where one can begin.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

from kestreltrack.capture import records
from kestreltrack.capture.reader import Found, Reader
from kestreltrack.capture.records import Record


@dataclass(frozen=True, slots=True)
class Place:
    """A block: the number of its file, and its own in the file."""

    file: int
    block: int


@dataclass(frozen=True, slots=True)
class Step:
    """One record on the way; `anew` where it stands behind a gap, so that what was known is void."""

    file: Path
    place: Place
    number: int
    record: Record
    anew: bool


class BadTime(ValueError):
    """A point in time that cannot be understood."""


class Tape:
    """The files of one capture."""

    def __init__(self, files: Sequence[Path]) -> None:
        """Look at each; raises `NotACapture` or `OSError`."""
        self.files = list(files)
        self.readers = [Reader(file) for file in self.files]
        self.faults: list[str] = []
        self._heads: list[list[Found]] | None = None
        self._origin: tuple[float, float] | None = None

    def heads(self) -> list[list[Found]]:
        """The blocks of each file."""
        if self._heads is None:
            self._heads = [reader.heads() for reader in self.readers]
        return self._heads

    def checkpoints(self) -> list[tuple[Place, float]]:
        """Where a replay can begin, with the clock there."""
        return [
            (Place(n, block), found.head.first)
            for n, heads in enumerate(self.heads())
            for block, found in enumerate(heads)
            if block == 0 or found.head.checkpoint
        ]

    def before(self, place: Place) -> Place:
        """The last checkpoint that is not behind a block."""
        key = (place.file, place.block)
        found = [p for p, _ in self.checkpoints() if (p.file, p.block) <= key]
        return found[-1] if found else Place(0, 0)

    def at(self, clock: float) -> Place:
        """The last checkpoint at or before a clock reading; else the first."""
        found = [place for place, first in self.checkpoints() if first <= clock]
        return found[-1] if found else Place(0, 0)

    def span(self) -> tuple[float, float]:
        """The first and last clock."""
        heads = [found.head for file in self.heads() for found in file]
        return (heads[0].first, heads[-1].last) if heads else (0.0, 0.0)

    def origin(self) -> tuple[float, float]:
        """The clock of the first checkpoint, and the time of day then, in ms since 1970."""
        if self._origin is None:
            self._origin = (0.0, 0.0)
            wall = 0.0
            for record in self.readers[0].records() if self.readers else ():
                if record.kind == records.BEGAN:
                    wall = record.what.wall_ms
                if record.kind == records.CHECKPOINT:
                    self._origin = (record.clock, wall)
                    break
        return self._origin

    def wall(self, clock: float) -> datetime:
        """The time of day of a clock reading, in UTC."""
        zero, wall = self.origin()
        return datetime.fromtimestamp((wall + clock - zero) / 1000.0, UTC)

    def clock(self, text: str) -> float:
        """The clock at a time: `90`, `90s`, `2m`, `1h` from the start, `14:03[:07]` or an ISO date, in UTC."""
        zero, wall = self.origin()
        if span := re.fullmatch(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h|)", text.strip()):
            unit = {"ms": 1.0, "s": 1000.0, "": 1000.0, "m": 60_000.0, "h": 3_600_000.0}[span[2]]
            return zero + float(span[1]) * unit
        try:
            if re.fullmatch(r"\d?\d:\d\d(:\d\d(\.\d+)?)?", text.strip()):
                start = datetime.fromtimestamp(wall / 1000.0, UTC)
                hours, minutes, *seconds = text.strip().split(":")
                day = start.replace(hour=int(hours), minute=int(minutes), second=0, microsecond=0)
                moment = day.timestamp() + float(seconds[0] if seconds else 0)
                if moment < start.timestamp() - 1.0:
                    moment += 86_400.0  # past midnight
                return zero + moment * 1000.0 - wall
            moment_ = datetime.fromisoformat(text.strip())
        except ValueError:
            raise BadTime(f"{text}: expected a span (90s, 2m), a time (14:03:07) or an ISO date") from None
        moment_ = moment_ if moment_.tzinfo else moment_.replace(tzinfo=UTC)
        return zero + moment_.timestamp() * 1000.0 - wall

    def walk(self, start: Place | None = None, until: float | None = None) -> Iterator[Step]:
        """All records from a checkpoint on; faults are kept in `faults`, and what follows begins anew."""
        self.faults = []
        first = start or Place(0, 0)
        number: int | None = None
        for n in range(first.file, len(self.readers)):
            reader = self.readers[n]
            for block, at, record in reader.walk(first.block if n == first.file else 0):
                if until is not None and record.clock > until:
                    return
                yield Step(self.files[n], Place(n, block), at, record, at != number)
                number = at + 1
            if reader.fault:
                self.faults.append(str(reader.fault))
                number = None
