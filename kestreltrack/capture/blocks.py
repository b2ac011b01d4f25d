"""A file of a capture: a magic line, then blocks, each found, checked and skipped by its head alone.

    magic  b"KTCAP001"
    block  head of 44 bytes: mark b"BLK1", or b"CHK1" where a checkpoint stands first (or right behind the head
           record of a file), stored, raw (u32 each), checksum of the stored bytes (u32), number of the
           first record (u64), records (u32), first and last clock (f64 each), then a checksum of these 40 bytes
           (u32); then the stored bytes: records, each behind its length (u32), compressed with zstandard

Little-endian throughout; checksums are CRC-32 (zlib).
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

import zstandard

MAGIC = b"KTCAP001"
MARK, CHECKPOINTED = b"BLK1", b"CHK1"
HEAD = struct.Struct("<4sIIIQIdd")
SUM = struct.Struct("<I")
HEAD_BYTES = HEAD.size + SUM.size
MOST_STORED = 80 * 1024 * 1024  # of one block: a checkpoint of 50,000 endpoints fits
MOST_RAW = 320 * 1024 * 1024
LEVEL = 3


class BadBlock(Exception):
    """The bytes are not a sound block."""


@dataclass(frozen=True, slots=True)
class Head:
    """What a block's head says."""

    stored: int
    raw: int
    checksum: int
    number: int
    records: int
    first: float
    last: float
    checkpoint: bool = False


def pack(records: list[bytes], number: int, first: float, last: float, checkpoint: bool = False) -> bytes:
    """A block of records; `checkpoint` says that a replay can begin with it."""
    raw = b"".join(len(record).to_bytes(4, "little") + record for record in records)
    stored = zstandard.ZstdCompressor(level=LEVEL).compress(raw)
    mark = CHECKPOINTED if checkpoint else MARK
    head = HEAD.pack(mark, len(stored), len(raw), zlib.crc32(stored), number, len(records), first, last)
    return head + SUM.pack(zlib.crc32(head)) + stored


def read_head(data: bytes) -> Head:
    """A block's head; raises `BadBlock`."""
    if len(data) < HEAD_BYTES:
        raise BadBlock(f"its head is cut off after {len(data)} bytes")
    mark, *fields = HEAD.unpack_from(data)
    if SUM.unpack_from(data, HEAD.size)[0] != zlib.crc32(data[: HEAD.size]):
        raise BadBlock("the checksum of its head is wrong")
    fields.append(mark == CHECKPOINTED)
    head = Head(*fields)
    if mark not in (MARK, CHECKPOINTED) or head.stored > MOST_STORED or head.raw > MOST_RAW:
        raise BadBlock("its head says what no writer writes")
    return head


def unpack(head: Head, stored: bytes) -> bytes:
    """The records of a block, still joined; raises `BadBlock`."""
    if len(stored) < head.stored:
        raise BadBlock(f"it is cut off after {len(stored)} of {head.stored} bytes")
    if zlib.crc32(stored) != head.checksum:
        raise BadBlock("its checksum is wrong")
    try:
        raw = zstandard.ZstdDecompressor(max_window_size=2**27).decompress(stored, max_output_size=head.raw)
    except zstandard.ZstdError as bad:
        raise BadBlock(f"it cannot be decompressed: {bad}") from bad
    if len(raw) != head.raw:
        raise BadBlock(f"{len(raw)} bytes instead of {head.raw}")
    return raw
