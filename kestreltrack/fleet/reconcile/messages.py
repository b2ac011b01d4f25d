"""Messages between replicas of a list, and the datagrams that carry them.  No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

from kestreltrack.fleet.reconcile.digests import TREE_DEPTH
from kestreltrack.fleet.reconcile.entries import ENCODE, Dot, Entry, Key, VersionVector

# Membership carries this many bytes within its datagrams of 1,200.
MAX_DATAGRAM_BYTES = 1000
# The hashes of this many entries fit one datagram, at 9 bytes each.
MAX_LEAF_ENTRIES = 48
# The header of a MessagePack array of up to 65,535 messages.
DATAGRAM_HEADER_BYTES = 3

Prefix = Annotated[str, Meta(max_length=TREE_DEPTH, pattern="^[0-9a-f]*$")]
# Of 64 bits.
Hash = int


class RootDigest(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """The digest of all entries, and the vectors of some members; the first one is the sender's."""

    digest: Hash
    member_vectors: list[tuple[Annotated[str, Meta(max_length=64)], VersionVector]]


class ChildDigests(msgspec.Struct, array_like=True, frozen=True, tag="p"):
    """The digests of the sixteen parts of a range."""

    prefix: Prefix
    digests: Annotated[list[Hash], Meta(min_length=16, max_length=16)]


class LeafHashes(msgspec.Struct, array_like=True, frozen=True, tag="l"):
    """The hashes of all entries in a range."""

    prefix: Prefix
    hashes: Annotated[list[Hash], Meta(max_length=MAX_LEAF_ENTRIES)]


class EntryRequest(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """A request for the entries of a range that have these hashes."""

    prefix: Prefix
    hashes: Annotated[list[Hash], Meta(max_length=MAX_LEAF_ENTRIES)]


class EntryUpdate(msgspec.Struct, array_like=True, frozen=True, tag="h"):
    """An entry."""

    entry: Entry


class Tombstone(msgspec.Struct, array_like=True, frozen=True, tag="g"):
    """All edits of a key within this context are replaced, and every member has known that."""

    key: Key
    context: tuple[Dot, ...]


SyncMessage = RootDigest | ChildDigests | LeafHashes | EntryRequest | EntryUpdate | Tombstone
_DECODE: msgspec.msgpack.Decoder[list[SyncMessage]] = msgspec.msgpack.Decoder(list[SyncMessage])


def pack_datagrams(messages: Iterable[SyncMessage]) -> list[bytes]:
    """Return the fewest datagrams that hold all messages in order; one that fits no datagram is left out."""
    datagrams = list[bytes]()
    open_messages = list[msgspec.Raw]()
    open_bytes = DATAGRAM_HEADER_BYTES
    for message in messages:
        data = ENCODE(message)
        if len(data) + DATAGRAM_HEADER_BYTES > MAX_DATAGRAM_BYTES:
            continue
        if open_bytes + len(data) > MAX_DATAGRAM_BYTES:
            datagrams.append(ENCODE(open_messages))
            open_messages = []
            open_bytes = DATAGRAM_HEADER_BYTES
        open_messages.append(msgspec.Raw(data))
        open_bytes += len(data)
    if open_messages:
        datagrams.append(ENCODE(open_messages))
    return datagrams


def unpack_datagram(data: bytes) -> list[SyncMessage]:
    """Return the messages of a datagram; none where it is malformed."""
    try:
        return _DECODE.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return []
