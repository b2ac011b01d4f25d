"""Packets of the replicated configuration in membership's datagrams: bounded, typed (msgspec), behind a magic byte.

A voter's response carries what it has acknowledged and what is committed there, so that a sender that requests a
lease also learns of each change.  Documents are sent in chunks, and are checked by version and hash when all chunks
have arrived.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from kestreltrack.fleet.replicated_config.document import MAX_DOCUMENT_BYTES

# No MessagePack value begins with this byte, so no other part of the fleet takes a packet for one of its own.
MAGIC_BYTE = b"\xc1"
# The bytes of a document in one packet; membership leaves 1,000 bytes for a packet with its other fields.
CHUNK_BYTES = 800

FolderId = Annotated[str, Meta(max_length=64)]
Digest = Annotated[str, Meta(max_length=96)]
Count = Annotated[int, Meta(ge=0, le=2**62)]
Size = Annotated[int, Meta(ge=0, le=MAX_DOCUMENT_BYTES)]
# Epoch and revision.
VersionNumbers = tuple[Count, Count]


class LeaseRequestPacket(msgspec.Struct, array_like=True, frozen=True, tag="a"):
    """A request to a voter for a lease on `acknowledged`; from a voter it is its promise too."""

    folder_id: FolderId
    seq: Count
    acknowledged: VersionNumbers
    no_stale_leases: bool


class LeaseResponsePacket(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """A voter's response; with `seq` 0 it responds to no request, and only announces its versions."""

    folder_id: FolderId
    seq: Count
    granted: bool
    committed: VersionNumbers
    acknowledged: VersionNumbers
    committed_digest: Digest
    acknowledged_digest: Digest


class ChunkRequest(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """A request for the chunk of a document that begins at this byte."""

    digest: Digest
    offset: Size


class Chunk(msgspec.Struct, array_like=True, frozen=True, tag="c"):
    """A part of a document of `document_bytes` bytes."""

    digest: Digest
    offset: Size
    document_bytes: Size
    data: Annotated[bytes, Meta(max_length=CHUNK_BYTES)]


Packet = LeaseRequestPacket | LeaseResponsePacket | ChunkRequest | Chunk

_ENCODE = msgspec.msgpack.Encoder().encode
_DECODE: msgspec.msgpack.Decoder[Packet] = msgspec.msgpack.Decoder(Packet)


def encode_packet(packet: Packet) -> bytes:
    """Return the packet as membership carries it."""
    return MAGIC_BYTE + _ENCODE(packet)


def decode_packet(data: bytes) -> Packet | None:
    """Return the packet behind the magic byte; `None` where there is no valid one."""
    try:
        return _DECODE.decode(data[1:])
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return None
