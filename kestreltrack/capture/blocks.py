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
BLOCK_MARK, CHECKPOINT_BLOCK_MARK = b"BLK1", b"CHK1"
HEADER_STRUCT = struct.Struct("<4sIIIQIdd")
CHECKSUM_STRUCT = struct.Struct("<I")
HEADER_BYTES = HEADER_STRUCT.size + CHECKSUM_STRUCT.size
MAX_STORED_BYTES = 80 * 1024 * 1024  # of one block: a checkpoint of 50,000 endpoints fits
MAX_RAW_BYTES = 320 * 1024 * 1024
COMPRESSION_LEVEL = 3


class InvalidBlockError(Exception):
    """The bytes are not a sound block."""


@dataclass(frozen=True, slots=True)
class BlockHeader:
    """What a block's head says."""

    stored_bytes: int
    raw_bytes: int
    checksum: int
    first_record: int
    record_count: int
    first_clock: float
    last_clock: float
    starts_with_checkpoint: bool = False


def pack_block(
    records: list[bytes], first_record: int, first_clock: float, last_clock: float, checkpoint: bool = False
) -> bytes:
    """A block of records; `checkpoint` says that a replay can begin with it."""
    raw = b"".join(len(record).to_bytes(4, "little") + record for record in records)
    stored = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(raw)
    mark = CHECKPOINT_BLOCK_MARK if checkpoint else BLOCK_MARK
    head = HEADER_STRUCT.pack(
        mark, len(stored), len(raw), zlib.crc32(stored), first_record, len(records), first_clock, last_clock
    )
    return head + CHECKSUM_STRUCT.pack(zlib.crc32(head)) + stored


def read_header(data: bytes) -> BlockHeader:
    """A block's head; raises `BadBlock`."""
    if len(data) < HEADER_BYTES:
        raise InvalidBlockError(f"its head is cut off after {len(data)} bytes")
    mark, *fields = HEADER_STRUCT.unpack_from(data)
    if CHECKSUM_STRUCT.unpack_from(data, HEADER_STRUCT.size)[0] != zlib.crc32(data[: HEADER_STRUCT.size]):
        raise InvalidBlockError("the checksum of its head is wrong")
    fields.append(mark == CHECKPOINT_BLOCK_MARK)
    head = BlockHeader(*fields)
    if (
        mark not in (BLOCK_MARK, CHECKPOINT_BLOCK_MARK)
        or head.stored_bytes > MAX_STORED_BYTES
        or head.raw_bytes > MAX_RAW_BYTES
    ):
        raise InvalidBlockError("its head says what no writer writes")
    return head


def unpack_block(header: BlockHeader, stored: bytes) -> bytes:
    """The records of a block, still joined; raises `BadBlock`."""
    if len(stored) < header.stored_bytes:
        raise InvalidBlockError(f"it is cut off after {len(stored)} of {header.stored_bytes} bytes")
    if zlib.crc32(stored) != header.checksum:
        raise InvalidBlockError("its checksum is wrong")
    try:
        raw = zstandard.ZstdDecompressor(max_window_size=2**27).decompress(
            stored, max_output_size=header.raw_bytes
        )
    except zstandard.ZstdError as bad:
        raise InvalidBlockError(f"it cannot be decompressed: {bad}") from bad
    if len(raw) != header.raw_bytes:
        raise InvalidBlockError(f"{len(raw)} bytes instead of {header.raw_bytes}")
    return raw
