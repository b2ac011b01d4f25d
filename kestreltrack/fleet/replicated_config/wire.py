"""Words about agreed documents on membership's datagrams: bounded and typed (msgspec), behind a mark of their own.

A voter's answer tells what it has acknowledged and what is in force there, so that whoever asks for a lease also
hears of each change; documents themselves go in chunks, and are checked by version and hash once they are whole.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from kestreltrack.fleet.replicated_config.document import MAX_DOCUMENT_BYTES

MAGIC_BYTE = b"\xc1"  # no MessagePack begins so: other parts of the fleet can't take a word for one of theirs
CHUNK_BYTES = 800  # bytes of a document in one word; membership leaves 1,000

FolderId = Annotated[str, Meta(max_length=64)]
Digest = Annotated[str, Meta(max_length=96)]
Count = Annotated[int, Meta(ge=0, le=2**62)]
Size = Annotated[int, Meta(ge=0, le=MAX_DOCUMENT_BYTES)]
VersionNumbers = tuple[Count, Count]  # epoch and revision


class LeaseRequestPacket(msgspec.Struct, array_like=True, frozen=True, tag="a"):
    """To a voter, for a lease on `acknowledged`; where the asker is a voter, it is its promise too."""

    folder_id: FolderId
    seq: Count
    acknowledged: VersionNumbers
    no_stale_leases: bool


class LeaseResponsePacket(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """From a voter; with `seq` 0 it answers nothing, and only tells."""

    folder_id: FolderId
    seq: Count
    granted: bool
    committed: VersionNumbers
    acknowledged: VersionNumbers
    committed_digest: Digest
    acknowledged_digest: Digest


class ChunkRequest(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """Send me of that document what begins at this byte."""

    digest: Digest
    offset: Size


class Chunk(msgspec.Struct, array_like=True, frozen=True, tag="c"):
    """A part of a document of `size` bytes."""

    digest: Digest
    offset: Size
    document_bytes: Size
    data: Annotated[bytes, Meta(max_length=CHUNK_BYTES)]


Packet = LeaseRequestPacket | LeaseResponsePacket | ChunkRequest | Chunk

_ENCODE = msgspec.msgpack.Encoder().encode
_DECODE: msgspec.msgpack.Decoder[Packet] = msgspec.msgpack.Decoder(Packet)


def encode_packet(packet: Packet) -> bytes:
    """As membership carries it."""
    return MAGIC_BYTE + _ENCODE(packet)


def decode_packet(data: bytes) -> Packet | None:
    """The packet behind the mark, or `None` where it is none."""
    try:
        return _DECODE.decode(data[1:])
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return None
