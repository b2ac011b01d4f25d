"""The format of a capture file: a magic number, then blocks that are located, verified and skipped by their headers.

    magic  b"KTCAP001"
    block  header of 44 bytes: mark b"BLK1", or b"CHK1" where the first record is a checkpoint (or the second, after
           the header record of a file); number of stored bytes and of raw bytes (u32 each); checksum of the stored
           bytes (u32); number of the first record (u64); count of records (u32); first and last clock reading (f64
           each); then a checksum of these 40 bytes (u32).  The stored bytes follow: the records, each preceded by its
           length (u32), compressed with Zstandard (RFC 8878)

All numbers are little-endian; checksums are CRC-32 as computed by zlib.
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
# A checkpoint of 50,000 endpoints fits into these limits; a header with larger sizes is corrupt.
MAX_STORED_BYTES = 80 * 1024 * 1024
MAX_RAW_BYTES = 320 * 1024 * 1024
# The largest window that decompression may allocate; level 3 needs far less.
MAX_WINDOW_BYTES = 2**27
# The default of Zstandard: higher levels cost more time than the saved disk space is worth.
COMPRESSION_LEVEL = 3


class InvalidBlockError(CaptureError):
    """The bytes are not a valid block."""


@dataclass(frozen=True, slots=True)
class BlockHeader:
    """The fields of a block header."""

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
    """Return records as a block; `checkpoint` marks it as one that a replay can begin with."""
    raw = b"".join(len(record).to_bytes(4, "little") + record for record in records)
    stored = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(raw)
    mark = CHECKPOINT_BLOCK_MARK if checkpoint else BLOCK_MARK
    header = HEADER_STRUCT.pack(
        mark, len(stored), len(raw), zlib.crc32(stored), first_record, len(records), first_clock, last_clock
    )
    return header + CHECKSUM_STRUCT.pack(zlib.crc32(header)) + stored


def read_header(data: bytes) -> BlockHeader:
    """Return the header at the start of the bytes.

    Raises:
        InvalidBlockError: The bytes do not begin with a valid header.
    """
    if len(data) < HEADER_BYTES:
        raise InvalidBlockError(f"block header is truncated after {len(data)} bytes")
    mark, *fields = HEADER_STRUCT.unpack_from(data)
    (checksum,) = CHECKSUM_STRUCT.unpack_from(data, HEADER_STRUCT.size)
    if checksum != zlib.crc32(data[: HEADER_STRUCT.size]):
        raise InvalidBlockError("block header checksum mismatch")
    fields.append(mark == CHECKPOINT_BLOCK_MARK)
    header = BlockHeader(*fields)
    known_mark = mark in (BLOCK_MARK, CHECKPOINT_BLOCK_MARK)
    too_large = header.stored_bytes > MAX_STORED_BYTES or header.raw_bytes > MAX_RAW_BYTES
    if not known_mark or too_large:
        raise InvalidBlockError("block header is invalid: unknown mark, or a size above the limit")
    return header


def unpack_block(header: BlockHeader, stored: bytes) -> bytes:
    """Return the decompressed bytes of a block, which `records.split_records` splits into records.

    Raises:
        InvalidBlockError: The stored bytes do not match the header.
    """
    if len(stored) < header.stored_bytes:
        raise InvalidBlockError(f"block is truncated after {len(stored)} of {header.stored_bytes} bytes")
    if zlib.crc32(stored) != header.checksum:
        raise InvalidBlockError("block checksum mismatch")
    try:
        raw = zstandard.ZstdDecompressor(max_window_size=MAX_WINDOW_BYTES).decompress(
            stored, max_output_size=header.raw_bytes
        )
    except zstandard.ZstdError as error:
        raise InvalidBlockError(f"block cannot be decompressed: {error}") from error
    if len(raw) != header.raw_bytes:
        raise InvalidBlockError(
            f"block decompresses to {len(raw)} bytes, but its header states {header.raw_bytes}"
        )
    return raw
