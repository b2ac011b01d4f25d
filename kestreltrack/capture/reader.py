"""Reads files of a capture, also torn or spoilt ones, or none at all.  Memory is bounded by one block."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from kestreltrack.capture import blocks, records
from kestreltrack.capture.records import InvalidRecordError, Record


class NotACaptureError(Exception):
    """The file does not begin as one."""


@dataclass(slots=True)
class Corruption:
    """Where a file stops being sound."""

    file: Path
    offset: int
    text: str

    def __str__(self) -> str:
        """One line."""
        return f"{self.file}: at byte {self.offset}: {self.text}"


@dataclass(frozen=True, slots=True)
class LocatedBlock:
    """One block by its head."""

    offset: int
    header: blocks.BlockHeader


class Reader:
    """One file; `fault` says after a walk where it was not sound, if anywhere."""

    def __init__(self, file: Path) -> None:
        """Look at its first bytes; raises `NotACapture` or `OSError`."""
        self.file = file
        self.corruption: Corruption | None = None
        self._size = file.stat().st_size
        with file.open("rb") as opened:
            if opened.read(len(blocks.MAGIC)) != blocks.MAGIC:
                raise NotACaptureError(f"{file}: not a capture")

    def block_headers(self) -> list[LocatedBlock]:
        """All blocks by their heads alone: an index by time."""
        found, at = list[LocatedBlock](), len(blocks.MAGIC)
        with self.file.open("rb") as opened:
            while at < self._size:
                opened.seek(at)
                try:
                    head = blocks.read_header(opened.read(blocks.HEADER_BYTES))
                except blocks.InvalidBlockError as bad:
                    self.corruption = Corruption(self.file, at, str(bad))
                    break
                found.append(LocatedBlock(at, head))
                at += blocks.HEADER_BYTES + head.stored_bytes
        return found

    def raw_blocks(self) -> Iterator[tuple[int, LocatedBlock, bytes]]:
        """The blocks that are sound, with their place and what they hold, still joined."""
        self.corruption = None
        with self.file.open("rb") as opened:
            for place, found in enumerate(self.block_headers()):
                opened.seek(found.offset + blocks.HEADER_BYTES)
                try:
                    yield (
                        place,
                        found,
                        blocks.unpack_block(found.header, opened.read(found.header.stored_bytes)),
                    )
                except blocks.InvalidBlockError as bad:
                    self.corruption = Corruption(self.file, found.offset, str(bad))
                    return

    def records(self) -> Iterator[Record]:
        """All records up to the first that is not sound."""
        for _, _, record in self.numbered_records():
            yield record

    def numbered_records(self, first_block: int = 0) -> Iterator[tuple[int, int, Record]]:
        """Each record with the place of its block and its number, from a block up to the first fault."""
        self.corruption = None
        number: int | None = None
        with self.file.open("rb") as opened:
            for place, found in enumerate(self.block_headers()):
                if place < first_block:
                    continue
                opened.seek(found.offset + blocks.HEADER_BYTES)
                try:
                    if number is not None and found.header.first_record != number:
                        raise InvalidRecordError(
                            f"records {number} to {found.header.first_record - 1} are missing"
                        )
                    number = found.header.first_record
                    raw = blocks.unpack_block(found.header, opened.read(found.header.stored_bytes))
                    for data in records.split_records(raw):
                        yield place, number, records.decode_record(data)
                        number += 1
                    if number != found.header.first_record + found.header.record_count:
                        raise InvalidRecordError(
                            f"{number - found.header.first_record} records instead of {found.header.record_count}"
                        )
                except (blocks.InvalidBlockError, InvalidRecordError) as bad:
                    self.corruption = Corruption(self.file, found.offset, str(bad))
                    return


def capture_files(paths: list[Path]) -> list[Path]:
    """The files that are named, and those in the folders that are named, in the order they were written."""
    found = list[Path]()
    for place in paths:
        found += sorted(place.glob("capture-*.ktc")) if place.is_dir() else [place]
    return found
