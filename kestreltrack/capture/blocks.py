"""The format of a capture file: a magic line, then blocks, each found, checked and skipped by its header alone.

    magic  b"KTCAP001"
    block  header of 44 bytes: mark b"BLK1", or b"CHK1" where a checkpoint stands first (or right behind the header
           record of a file), stored bytes, raw bytes (u32 each), checksum of the stored bytes (u32), number of the
           first record (u64), records (u32), first and last clock (f64 each), then a checksum of these 40 bytes
           (u32); then the stored bytes: records, each behind its length (u32), compressed with zstandard (RFC 8878)

All numbers are little-endian; checksums are CRC-32 as zlib computes it.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

import zstandard

from kestreltrack.capture.errors import CaptureError

MAGIC = b"KTCAP001"
BLOCK_MARK = b"BLK1"
CHECKPOINT_BLOCK_MARK = b"CHK1"
HEADER_STRUCT = struct.Struct("<4sIIIQIdd")
CHECKSUM_STRUCT = struct.Struct("<I")
HEADER_BYTES = HEADER_STRUCT.size + CHECKSUM_STRUCT.size
# A checkpoint of 50,000 endpoints fits into these limits; a header beyond them is damaged.
MAX_STORED_BYTES = 80 * 1024 * 1024
MAX_RAW_BYTES = 320 * 1024 * 1024
# A decompression may use this much memory for its window; level 3 stays far below it.
MAX_WINDOW_BYTES = 2**27
# The default of zstandard: higher levels cost more time than the disk is worth.
COMPRESSION_LEVEL = 3


class InvalidBlockError(CaptureError):
    """The bytes are not a valid block."""


@dataclass(frozen=True, slots=True)
class BlockHeader:
    """The content of a block's header."""

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
    """Return a block of records; `checkpoint` says that a replay can begin with it."""
    raw = b"".join(len(record).to_bytes(4, "little") + record for record in records)
    stored = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(raw)
    mark = CHECKPOINT_BLOCK_MARK if checkpoint else BLOCK_MARK
    header = HEADER_STRUCT.pack(
        mark, len(stored), len(raw), zlib.crc32(stored), first_record, len(records), first_clock, last_clock
    )
    return header + CHECKSUM_STRUCT.pack(zlib.crc32(header)) + stored


def read_header(data: bytes) -> BlockHeader:
    """Return the header that the bytes begin with.

    Raises:
        InvalidBlockError: The bytes are no valid header.
    """
    if len(data) < HEADER_BYTES:
        raise InvalidBlockError(f"its header is cut off after {len(data)} bytes")
    mark, *fields = HEADER_STRUCT.unpack_from(data)
    (checksum,) = CHECKSUM_STRUCT.unpack_from(data, HEADER_STRUCT.size)
    if checksum != zlib.crc32(data[: HEADER_STRUCT.size]):
        raise InvalidBlockError("the checksum of its header is wrong")
    fields.append(mark == CHECKPOINT_BLOCK_MARK)
    header = BlockHeader(*fields)
    known_mark = mark in (BLOCK_MARK, CHECKPOINT_BLOCK_MARK)
    too_large = header.stored_bytes > MAX_STORED_BYTES or header.raw_bytes > MAX_RAW_BYTES
    if not known_mark or too_large:
        raise InvalidBlockError("its header has values that no writer writes")
    return header


def unpack_block(header: BlockHeader, stored: bytes) -> bytes:
    """Return the records of a block, still joined.

    Raises:
        InvalidBlockError: The stored bytes do not fit the header.
    """
    if len(stored) < header.stored_bytes:
        raise InvalidBlockError(f"it is cut off after {len(stored)} of {header.stored_bytes} bytes")
    if zlib.crc32(stored) != header.checksum:
        raise InvalidBlockError("its checksum is wrong")
    try:
        raw = zstandard.ZstdDecompressor(max_window_size=MAX_WINDOW_BYTES).decompress(
            stored, max_output_size=header.raw_bytes
        )
    except zstandard.ZstdError as error:
        raise InvalidBlockError(f"it cannot be decompressed: {error}") from error
    if len(raw) != header.raw_bytes:
        raise InvalidBlockError(f"it holds {len(raw)} bytes instead of {header.raw_bytes}")
    return raw
