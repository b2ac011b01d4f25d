"""Reads files of a capture, also torn or spoilt ones, or none at all.  Memory is bounded by one block."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from kestreltrack.capture import blocks, records
from kestreltrack.capture.records import BadRecord, Record


class NotACapture(Exception):
    """The file does not begin as one."""


@dataclass(slots=True)
class Fault:
    """Where a file stops being sound."""

    file: Path
    offset: int
    text: str

    def __str__(self) -> str:
        """One line."""
        return f"{self.file}: at byte {self.offset}: {self.text}"


@dataclass(frozen=True, slots=True)
class Found:
    """One block by its head."""

    offset: int
    head: blocks.Head


class Reader:
    """One file; `fault` says after a walk where it was not sound, if anywhere."""

    def __init__(self, file: Path) -> None:
        """Look at its first bytes; raises `NotACapture` or `OSError`."""
        self.file = file
        self.fault: Fault | None = None
        self._size = file.stat().st_size
        with file.open("rb") as opened:
            if opened.read(len(blocks.MAGIC)) != blocks.MAGIC:
                raise NotACapture(f"{file}: not a capture")

    def heads(self) -> list[Found]:
        """All blocks by their heads alone: an index by time."""
        found, at = list[Found](), len(blocks.MAGIC)
        with self.file.open("rb") as opened:
            while at < self._size:
                opened.seek(at)
                try:
                    head = blocks.read_head(opened.read(blocks.HEAD_BYTES))
                except blocks.BadBlock as bad:
                    self.fault = Fault(self.file, at, str(bad))
                    break
                found.append(Found(at, head))
                at += blocks.HEAD_BYTES + head.stored
        return found

    def raw(self) -> Iterator[tuple[int, Found, bytes]]:
        """The blocks that are sound, with their place and what they hold, still joined."""
        self.fault = None
        with self.file.open("rb") as opened:
            for place, found in enumerate(self.heads()):
                opened.seek(found.offset + blocks.HEAD_BYTES)
                try:
                    yield place, found, blocks.unpack(found.head, opened.read(found.head.stored))
                except blocks.BadBlock as bad:
                    self.fault = Fault(self.file, found.offset, str(bad))
                    return

    def records(self) -> Iterator[Record]:
        """All records up to the first that is not sound."""
        for _, _, record in self.walk():
            yield record

    def walk(self, start: int = 0) -> Iterator[tuple[int, int, Record]]:
        """Each record with the place of its block and its number, from a block up to the first fault."""
        self.fault = None
        number: int | None = None
        with self.file.open("rb") as opened:
            for place, found in enumerate(self.heads()):
                if place < start:
                    continue
                opened.seek(found.offset + blocks.HEAD_BYTES)
                try:
                    if number is not None and found.head.number != number:
                        raise BadRecord(f"records {number} to {found.head.number - 1} are missing")
                    number = found.head.number
                    raw = blocks.unpack(found.head, opened.read(found.head.stored))
                    for data in records.split(raw):
                        yield place, number, records.read(data)
                        number += 1
                    if number != found.head.number + found.head.records:
                        raise BadRecord(
                            f"{number - found.head.number} records instead of {found.head.records}"
                        )
                except (blocks.BadBlock, BadRecord) as bad:
                    self.fault = Fault(self.file, found.offset, str(bad))
                    return


def files_of(places: list[Path]) -> list[Path]:
    """The files that are named, and those in the folders that are named, in the order they were written."""
    found = list[Path]()
    for place in places:
        found += sorted(place.glob("capture-*.ktc")) if place.is_dir() else [place]
    return found
