"""Reads the files of one capture in order: from a checkpoint, up to a clock reading, and across gaps.

Replays, reports and searches all read captures through this module, so that they agree on where a replay can begin.
Clock readings are milliseconds of the sender's own clock.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

from kestreltrack.capture import records
from kestreltrack.capture.errors import CaptureError
from kestreltrack.capture.reader import LocatedBlock, Reader
from kestreltrack.capture.records import Record

MS_PER_UNIT = {"ms": 1.0, "s": 1000.0, "": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
SPAN_PATTERN = re.compile(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h|)")
TIME_OF_DAY_PATTERN = re.compile(r"\d?\d:\d\d(:\d\d(\.\d+)?)?")
SECONDS_PER_DAY = 86_400.0
# A time of day that is truncated to whole seconds may precede the start of the capture by this much.
TIME_OF_DAY_SLACK_S = 1.0


@dataclass(frozen=True, slots=True)
class BlockPosition:
    """The position of a block: the index of its file in the capture, and its index in the file."""

    file: int
    block: int


@dataclass(frozen=True, slots=True)
class Step:
    """One record of a capture; `after_gap` is set where records before it are missing and a replay must restart."""

    file: Path
    position: BlockPosition
    record_number: int
    record: Record
    after_gap: bool


class InvalidTimeError(CaptureError):
    """A point in time has no known format."""


class CaptureFiles:
    """The files of one capture."""

    def __init__(self, files: Sequence[Path]) -> None:
        """Check the magic number of each file.

        Raises:
            NotACaptureError: One of the files is not a capture.
            OSError: One of the files cannot be read.
        """
        self.files = list(files)
        self.readers = [Reader(file) for file in self.files]
        self.corruptions: list[str] = []
        """The corruptions that the last `steps` found, one text each."""
        self._block_headers: list[list[LocatedBlock]] | None = None
        self._clock_origin: tuple[float, float] | None = None

    def block_headers(self) -> list[list[LocatedBlock]]:
        """Return the header and the offset of each block, by file."""
        if self._block_headers is None:
            self._block_headers = [reader.block_headers() for reader in self.readers]
        return self._block_headers

    def checkpoints(self) -> list[tuple[BlockPosition, float]]:
        """Return the positions where a replay can begin, each with its clock reading."""
        return [
            (BlockPosition(file, block), located.header.first_clock)
            for file, located_blocks in enumerate(self.block_headers())
            for block, located in enumerate(located_blocks)
            if block == 0 or located.header.starts_with_checkpoint
        ]

    def checkpoint_before(self, position: BlockPosition) -> BlockPosition:
        """Return the last checkpoint at or before a block, or else the start of the capture."""
        key = (position.file, position.block)
        found = [found_at for found_at, _ in self.checkpoints() if (found_at.file, found_at.block) <= key]
        return found[-1] if found else BlockPosition(0, 0)

    def checkpoint_at(self, clock: float) -> BlockPosition:
        """Return the last checkpoint at or before a clock reading, or else the start of the capture."""
        found = [position for position, first_clock in self.checkpoints() if first_clock <= clock]
        return found[-1] if found else BlockPosition(0, 0)

    def clock_span(self) -> tuple[float, float]:
        """Return the first and the last clock reading, or zeros if the capture has no blocks."""
        headers = [located.header for file in self.block_headers() for located in file]
        return (headers[0].first_clock, headers[-1].last_clock) if headers else (0.0, 0.0)

    def clock_origin(self) -> tuple[float, float]:
        """Return the clock reading of the first checkpoint, and the Unix time at that moment, in ms."""
        if self._clock_origin is None:
            self._clock_origin = self._find_clock_origin()
        return self._clock_origin

    def _find_clock_origin(self) -> tuple[float, float]:
        wall_ms = 0.0
        for reader in self.readers[:1]:
            for record in reader.records():
                if record.kind == records.FILE_HEADER:
                    wall_ms = record.payload.wall_ms
                if record.kind == records.CHECKPOINT:
                    return record.clock, wall_ms
        return 0.0, 0.0

    def wall_time(self, clock: float) -> datetime:
        """Return the date and time of a clock reading, in UTC."""
        origin, wall_ms = self.clock_origin()
        return datetime.fromtimestamp((wall_ms + clock - origin) / 1000.0, UTC)

    def parse_time(self, text: str) -> float:
        """Return the clock reading of a time: `90`, `90s`, `2m`, `1h` after the start, `14:03[:07]` or an ISO date.

        A time of day, or a date without a time zone, is in UTC.

        Raises:
            InvalidTimeError: The text has none of these formats.
        """
        text = text.strip()
        origin, wall_ms = self.clock_origin()
        span = SPAN_PATTERN.fullmatch(text)
        if span:
            return origin + float(span[1]) * MS_PER_UNIT[span[2]]
        try:
            if TIME_OF_DAY_PATTERN.fullmatch(text):
                return origin + self._parse_time_of_day(text) * 1000.0 - wall_ms
            date = datetime.fromisoformat(text)
        except ValueError:
            raise InvalidTimeError(
                f"{text}: expected a span (90s, 2m), a time (14:03:07) or an ISO date"
            ) from None
        if date.tzinfo is None:
            date = date.replace(tzinfo=UTC)
        return origin + date.timestamp() * 1000.0 - wall_ms

    def _parse_time_of_day(self, text: str) -> float:
        """Return the first occurrence of a time of day since the start, as Unix time in seconds."""
        start = datetime.fromtimestamp(self.clock_origin()[1] / 1000.0, UTC)
        hours, minutes, *seconds = text.split(":")
        minute = start.replace(hour=int(hours), minute=int(minutes), second=0, microsecond=0)
        moment_s = minute.timestamp() + float(seconds[0] if seconds else 0)
        if moment_s < start.timestamp() - TIME_OF_DAY_SLACK_S:
            # The capture extends past midnight.
            moment_s += SECONDS_PER_DAY
        return moment_s

    def steps(self, start: BlockPosition | None = None, until: float | None = None) -> Iterator[Step]:
        """Yield all records from a checkpoint on, up to a clock reading.

        A corrupt file is read up to its first corruption, which is added to `corruptions`; the first record of the
        next file then counts as one after a gap.
        """
        self.corruptions = []
        first = start or BlockPosition(0, 0)
        expected_number: int | None = None
        for file in range(first.file, len(self.readers)):
            reader = self.readers[file]
            first_block = first.block if file == first.file else 0
            for block, number, record in reader.numbered_records(first_block):
                if until is not None and record.clock > until:
                    return
                position = BlockPosition(file, block)
                yield Step(self.files[file], position, number, record, number != expected_number)
                expected_number = number + 1
            if reader.corruption:
                self.corruptions.append(str(reader.corruption))
                expected_number = None
