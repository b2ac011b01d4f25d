"""Reads one file of a capture, which may be truncated or corrupt.  At most one block is in memory at a time."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO

from kestreltrack.capture import blocks, records
from kestreltrack.capture.errors import CaptureError
from kestreltrack.capture.records import InvalidRecordError, Record

FILE_PATTERN = "capture-*.ktc"
"""Matches the names of the files that a sender writes."""


class NotACaptureError(CaptureError):
    """The file does not begin with the magic number of captures."""


@dataclass(slots=True)
class Corruption:
    """The offset from which a file cannot be read, and the reason."""

    file: Path
    offset: int
    reason: str

    def __str__(self) -> str:
        """Return the file, the offset and the reason as one line."""
        return f"{self.file}: at byte {self.offset}: {self.reason}"


@dataclass(frozen=True, slots=True)
class LocatedBlock:
    """The header of a block, and the offset of the block in its file."""

    offset: int
    header: blocks.BlockHeader


class Reader:
    """Reads one file; after each read, `corruption` is the first corruption found, if any."""

    def __init__(self, file: Path) -> None:
        """Check the magic number.

        Raises:
            NotACaptureError: The file is not a capture.
            OSError: The file cannot be read.
        """
        self.file = file
        self.corruption: Corruption | None = None
        self._size_bytes = file.stat().st_size
        with file.open("rb") as opened:
            if opened.read(len(blocks.MAGIC)) != blocks.MAGIC:
                raise NotACaptureError(f"{file}: not a capture")

    def block_headers(self) -> list[LocatedBlock]:
        """Return the headers of all blocks without reading their content; they serve as an index by time."""
        found = list[LocatedBlock]()
        offset = len(blocks.MAGIC)
        with self.file.open("rb") as opened:
            while offset < self._size_bytes:
                opened.seek(offset)
                try:
                    header = blocks.read_header(opened.read(blocks.HEADER_BYTES))
                except blocks.InvalidBlockError as error:
                    self.corruption = Corruption(self.file, offset, str(error))
                    break
                found.append(LocatedBlock(offset, header))
                offset += blocks.HEADER_BYTES + header.stored_bytes
        return found

    def raw_blocks(self) -> Iterator[tuple[int, LocatedBlock, bytes]]:
        """Yield the index, the header and the decompressed bytes of each block, up to the first corruption."""
        self.corruption = None
        with self.file.open("rb") as opened:
            for index, located in enumerate(self.block_headers()):
                try:
                    yield index, located, _read_block(opened, located)
                except blocks.InvalidBlockError as error:
                    self.corruption = Corruption(self.file, located.offset, str(error))
                    return

    def records(self) -> Iterator[Record]:
        """Yield all records up to the first corruption."""
        for _, _, record in self.numbered_records():
            yield record

    def numbered_records(self, first_block: int = 0) -> Iterator[tuple[int, int, Record]]:
        """Yield each record with the index of its block and its number, from a block up to the first corruption."""
        self.corruption = None
        next_number: int | None = None
        with self.file.open("rb") as opened:
            for index, located in enumerate(self.block_headers()):
                if index < first_block:
                    continue
                try:
                    number = located.header.first_record
                    if next_number is not None and number != next_number:
                        raise InvalidRecordError(f"records {next_number} to {number - 1} are missing")
                    for data in records.split_records(_read_block(opened, located)):
                        yield index, number, records.decode_record(data)
                        number += 1
                    _check_record_count(located.header, number)
                    next_number = number
                except (blocks.InvalidBlockError, InvalidRecordError) as error:
                    self.corruption = Corruption(self.file, located.offset, str(error))
                    return


def _read_block(opened: BinaryIO, located: LocatedBlock) -> bytes:
    """Return the decompressed bytes of a block; raises `InvalidBlockError`."""
    opened.seek(located.offset + blocks.HEADER_BYTES)
    return blocks.unpack_block(located.header, opened.read(located.header.stored_bytes))


def _check_record_count(header: blocks.BlockHeader, next_number: int) -> None:
    found = next_number - header.first_record
    if found != header.record_count:
        raise InvalidRecordError(f"block holds {found} records, but its header states {header.record_count}")


def capture_files(paths: list[Path]) -> list[Path]:
    """Return the given files, and those in the given folders in the order in which they were written."""
    found = list[Path]()
    for path in paths:
        if path.is_dir():
            found += sorted(path.glob(FILE_PATTERN))
        else:
            found.append(path)
    return found
