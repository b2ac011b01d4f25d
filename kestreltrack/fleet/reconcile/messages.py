"""Messages between the replicas of a list, and their encoding in datagrams.  No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

from kestreltrack.fleet.reconcile.digests import TREE_DEPTH
from kestreltrack.fleet.reconcile.entries import ENCODE, Dot, Entry, Key, VersionVector

# Maximal size of a user message of the membership protocol, within its datagrams of 1,200 bytes.
MAX_DATAGRAM_BYTES = 1000
# Entries whose hashes, at 9 bytes each, fit into one datagram.
MAX_LEAF_ENTRIES = 48
# Header of a MessagePack array of up to 65,535 messages.
DATAGRAM_HEADER_BYTES = 3

Prefix = Annotated[str, Meta(max_length=TREE_DEPTH, pattern="^[0-9a-f]*$")]
# 64 bits.
Hash = int


class RootDigest(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """The digest of all entries, and the vectors of some members, beginning with that of the sender."""

    digest: Hash
    member_vectors: list[tuple[Annotated[str, Meta(max_length=64)], VersionVector]]


class ChildDigests(msgspec.Struct, array_like=True, frozen=True, tag="p"):
    """The digests of the sixteen child ranges of a range."""

    prefix: Prefix
    digests: Annotated[list[Hash], Meta(min_length=16, max_length=16)]


class LeafHashes(msgspec.Struct, array_like=True, frozen=True, tag="l"):
    """The hashes of all entries in a range."""

    prefix: Prefix
    hashes: Annotated[list[Hash], Meta(max_length=MAX_LEAF_ENTRIES)]


class EntryRequest(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """A request for the entries of a range with these hashes."""

    prefix: Prefix
    hashes: Annotated[list[Hash], Meta(max_length=MAX_LEAF_ENTRIES)]


class EntryUpdate(msgspec.Struct, array_like=True, frozen=True, tag="h"):
    """The state of one key at the sender."""

    entry: Entry


class Tombstone(msgspec.Struct, array_like=True, frozen=True, tag="g"):
    """All edits of a key that this context covers are replaced, and every member has received that."""

    key: Key
    context: tuple[Dot, ...]


SyncMessage = RootDigest | ChildDigests | LeafHashes | EntryRequest | EntryUpdate | Tombstone
_DECODER: msgspec.msgpack.Decoder[list[SyncMessage]] = msgspec.msgpack.Decoder(list[SyncMessage])


def pack_datagrams(messages: Iterable[SyncMessage]) -> list[bytes]:
    """Encode messages, in order, into as few datagrams as possible; a message too large for one is omitted."""
    datagrams = list[bytes]()
    current_messages = list[msgspec.Raw]()
    current_bytes = DATAGRAM_HEADER_BYTES
    for message in messages:
        data = ENCODE(message)
        if len(data) + DATAGRAM_HEADER_BYTES > MAX_DATAGRAM_BYTES:
            continue
        if current_bytes + len(data) > MAX_DATAGRAM_BYTES:
            datagrams.append(ENCODE(current_messages))
            current_messages = []
            current_bytes = DATAGRAM_HEADER_BYTES
        current_messages.append(msgspec.Raw(data))
        current_bytes += len(data)
    if current_messages:
        datagrams.append(ENCODE(current_messages))
    return datagrams


def unpack_datagram(data: bytes) -> list[SyncMessage]:
    """Return the messages of a datagram; an empty list if it is malformed."""
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return []
