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
from kestreltrack.capture.reader import LocatedBlock, Reader
from kestreltrack.capture.records import Record


@dataclass(frozen=True, slots=True)
class BlockPosition:
    """A block: the number of its file, and its own in the file."""

    file: int
    block: int


@dataclass(frozen=True, slots=True)
class Step:
    """One record on the way; `anew` where it stands behind a gap, so that what was known is void."""

    file: Path
    position: BlockPosition
    record_number: int
    record: Record
    after_gap: bool


class InvalidTimeError(ValueError):
    """A point in time that cannot be understood."""


class CaptureFiles:
    """The files of one capture."""

    def __init__(self, files: Sequence[Path]) -> None:
        """Look at each; raises `NotACapture` or `OSError`."""
        self.files = list(files)
        self.readers = [Reader(file) for file in self.files]
        self.corruptions: list[str] = []
        self._block_headers: list[list[LocatedBlock]] | None = None
        self._clock_origin: tuple[float, float] | None = None

    def block_headers(self) -> list[list[LocatedBlock]]:
        """The blocks of each file."""
        if self._block_headers is None:
            self._block_headers = [reader.block_headers() for reader in self.readers]
        return self._block_headers

    def checkpoints(self) -> list[tuple[BlockPosition, float]]:
        """Where a replay can begin, with the clock there."""
        return [
            (BlockPosition(n, block), found.header.first_clock)
            for n, heads in enumerate(self.block_headers())
            for block, found in enumerate(heads)
            if block == 0 or found.header.starts_with_checkpoint
        ]

    def checkpoint_before(self, position: BlockPosition) -> BlockPosition:
        """The last checkpoint that is not behind a block."""
        key = (position.file, position.block)
        found = [p for p, _ in self.checkpoints() if (p.file, p.block) <= key]
        return found[-1] if found else BlockPosition(0, 0)

    def checkpoint_at(self, clock: float) -> BlockPosition:
        """The last checkpoint at or before a clock reading; else the first."""
        found = [place for place, first in self.checkpoints() if first <= clock]
        return found[-1] if found else BlockPosition(0, 0)

    def clock_span(self) -> tuple[float, float]:
        """The first and last clock."""
        heads = [found.header for file in self.block_headers() for found in file]
        return (heads[0].first_clock, heads[-1].last_clock) if heads else (0.0, 0.0)

    def clock_origin(self) -> tuple[float, float]:
        """The clock of the first checkpoint, and the time of day then, in ms since 1970."""
        if self._clock_origin is None:
            self._clock_origin = (0.0, 0.0)
            wall = 0.0
            for record in self.readers[0].records() if self.readers else ():
                if record.kind == records.FILE_HEADER:
                    wall = record.payload.wall_ms
                if record.kind == records.CHECKPOINT:
                    self._clock_origin = (record.clock, wall)
                    break
        return self._clock_origin

    def wall_time(self, clock: float) -> datetime:
        """The time of day of a clock reading, in UTC."""
        zero, wall = self.clock_origin()
        return datetime.fromtimestamp((wall + clock - zero) / 1000.0, UTC)

    def parse_time(self, text: str) -> float:
        """The clock at a time: `90`, `90s`, `2m`, `1h` from the start, `14:03[:07]` or an ISO date, in UTC."""
        zero, wall = self.clock_origin()
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
            raise InvalidTimeError(
                f"{text}: expected a span (90s, 2m), a time (14:03:07) or an ISO date"
            ) from None
        moment_ = moment_ if moment_.tzinfo else moment_.replace(tzinfo=UTC)
        return zero + moment_.timestamp() * 1000.0 - wall

    def steps(self, start: BlockPosition | None = None, until: float | None = None) -> Iterator[Step]:
        """All records from a checkpoint on; faults are kept in `faults`, and what follows begins anew."""
        self.corruptions = []
        first = start or BlockPosition(0, 0)
        number: int | None = None
        for n in range(first.file, len(self.readers)):
            reader = self.readers[n]
            for block, at, record in reader.numbered_records(first.block if n == first.file else 0):
                if until is not None and record.clock > until:
                    return
                yield Step(self.files[n], BlockPosition(n, block), at, record, at != number)
                number = at + 1
            if reader.corruption:
                self.corruptions.append(str(reader.corruption))
                number = None
