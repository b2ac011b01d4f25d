"""Words about agreed documents on membership's datagrams: bounded and typed (msgspec), behind a mark of their own.

A voter's answer tells what it has acknowledged and what is in force there, so that whoever asks for a lease also
hears of each change; documents themselves go in chunks, and are checked by version and hash once they are whole.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from kestreltrack.fleet.agreed.document import MOST_BYTES

MARK = b"\xc1"  # no MessagePack begins so: other parts of the fleet can't take a word for one of theirs
CHUNK = 800  # bytes of a document in one word; membership leaves 1,000

Id = Annotated[str, Meta(max_length=64)]
Digest = Annotated[str, Meta(max_length=96)]
Count = Annotated[int, Meta(ge=0, le=2**62)]
Size = Annotated[int, Meta(ge=0, le=MOST_BYTES)]
Numbers = tuple[Count, Count]  # epoch and revision


class Ask(msgspec.Struct, array_like=True, frozen=True, tag="a"):
    """To a voter, for a lease on `acknowledged`; where the asker is a voter, it is its promise too."""

    id: Id
    seq: Count
    acknowledged: Numbers
    clear: bool


class Answer(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """From a voter; with `seq` 0 it answers nothing, and only tells."""

    id: Id
    seq: Count
    granted: bool
    force: Numbers
    acknowledged: Numbers
    force_digest: Digest
    acknowledged_digest: Digest


class Want(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """Send me of that document what begins at this byte."""

    digest: Digest
    at: Size


class Chunk(msgspec.Struct, array_like=True, frozen=True, tag="c"):
    """A part of a document of `size` bytes."""

    digest: Digest
    at: Size
    size: Size
    data: Annotated[bytes, Meta(max_length=CHUNK)]


Packet = Ask | Answer | Want | Chunk

_ENCODE = msgspec.msgpack.Encoder().encode
_DECODE: msgspec.msgpack.Decoder[Packet] = msgspec.msgpack.Decoder(Packet)


def write(packet: Packet) -> bytes:
    """As membership carries it."""
    return MARK + _ENCODE(packet)


def unmarked(data: bytes) -> Packet | None:
    """The packet behind the mark, or `None` where it is none."""
    try:
        return _DECODE.decode(data[1:])
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return None
