"""Packets of the replicated configuration in membership's datagrams: bounded, typed (msgspec), after a magic byte.

A voter's response carries its acknowledged and its committed version, so a sender that requests leases also receives
each change.  Documents are sent in chunks, and their version and hash are checked once all chunks have arrived.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from kestreltrack.fleet.replicated_config.document import MAX_DOCUMENT_BYTES

# No MessagePack value starts with this byte, so no other protocol of the fleet mistakes a packet for its own.
MAGIC_BYTE = b"\xc1"
# The document bytes in one packet; membership allows 1,000 bytes for a packet, including its other fields.
CHUNK_BYTES = 800

FolderId = Annotated[str, Meta(max_length=64)]
Digest = Annotated[str, Meta(max_length=96)]
Count = Annotated[int, Meta(ge=0, le=2**62)]
Size = Annotated[int, Meta(ge=0, le=MAX_DOCUMENT_BYTES)]
# Epoch and revision.
VersionNumbers = tuple[Count, Count]


class LeaseRequestPacket(msgspec.Struct, array_like=True, frozen=True, tag="a"):
    """A request to a voter for a lease on `acknowledged`; if its sender is a voter, also its promise."""

    folder_id: FolderId
    seq: Count
    acknowledged: VersionNumbers
    no_stale_leases: bool


class LeaseResponsePacket(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """A voter's response; with `seq` 0 it answers no request and only announces the voter's versions."""

    folder_id: FolderId
    seq: Count
    granted: bool
    committed: VersionNumbers
    acknowledged: VersionNumbers
    committed_digest: Digest
    acknowledged_digest: Digest


class ChunkRequest(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """A request for the chunk of a document that starts at `offset`."""

    digest: Digest
    offset: Size


class Chunk(msgspec.Struct, array_like=True, frozen=True, tag="c"):
    """A part of a document, whose complete length is `document_bytes`."""

    digest: Digest
    offset: Size
    document_bytes: Size
    data: Annotated[bytes, Meta(max_length=CHUNK_BYTES)]


Packet = LeaseRequestPacket | LeaseResponsePacket | ChunkRequest | Chunk

_ENCODE = msgspec.msgpack.Encoder().encode
_DECODE: msgspec.msgpack.Decoder[Packet] = msgspec.msgpack.Decoder(Packet)


def encode_packet(packet: Packet) -> bytes:
    """Encode a packet for membership."""
    return MAGIC_BYTE + _ENCODE(packet)


def decode_packet(data: bytes) -> Packet | None:
    """Decode the packet after the magic byte; `None` if it is not valid."""
    try:
        return _DECODE.decode(data[1:])
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return None
