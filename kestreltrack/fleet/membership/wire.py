"""Datagrams between members: at most 1,200 bytes, with a version number; every field is typed and bounded (msgspec).

A datagram is ``[version, sender's name, packet, updates]`` in MessagePack.  The packet is one of the types in `Body`;
the updates are piggybacked on it.  Each of them is an array that starts with a tag.  Items that a later version
appends are ignored, and items that an earlier version omits have defaults.  A datagram that cannot be decoded raises
`MalformedDatagramError`, and none of it is used.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

PROTOCOL_VERSION = 1
# Fits into one IP packet on any path, also through tunnels.
MAX_DATAGRAM_BYTES = 1200
# Data of another fleet component in one datagram, which also holds names and updates.
MAX_USER_MESSAGE_BYTES = 1000
# Bytes by which the MessagePack header of a long array of updates exceeds that of an empty one.
ARRAY_HEADER_GROWTH_BYTES = 2

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Text = Annotated[str, Meta(max_length=64)]
Count = Annotated[int, Meta(ge=0, le=2**62)]


class DropReason(Enum):
    """Why a datagram or an update was dropped; the values are counter names."""

    # Not of the format that this module describes.
    MALFORMED = "noise"
    TOO_LONG = "too_long"
    UNKNOWN_VERSION = "unknown_version"
    # The sender uses the name of another member, or of this one.
    FOREIGN_NAME = "foreign_name"
    # A user message from a sender that is not an active member.
    UNKNOWN_SENDER = "stranger"


class MalformedDatagramError(Exception):
    """A datagram that cannot be decoded; the message is the name of the counter."""

    def __init__(self, reason: DropReason) -> None:
        """Take the reason under which the datagram is counted."""
        super().__init__(reason.value)
        self.reason = reason


# Updates -----------------------------------------------------------------------------------------


class Alive(msgspec.Struct, array_like=True, frozen=True, tag="a"):
    """A member as described by itself; only the member raises its own incarnation."""

    name: Name
    address: Text
    incarnation: Count
    zone: Text = ""
    region: Text = ""
    version: Text = ""
    # Unix time in ms at which its process started.
    process_start_ms: Count = 0


class Suspect(msgspec.Struct, array_like=True, frozen=True, tag="s"):
    """The reporter received no answer from a member with this incarnation."""

    name: Name
    incarnation: Count
    reported_by: Name


class Dead(msgspec.Struct, array_like=True, frozen=True, tag="g"):
    """A suspicion of a member was not refuted in time."""

    name: Name
    incarnation: Count
    reported_by: Name


class Left(msgspec.Struct, array_like=True, frozen=True, tag="l"):
    """A member has announced that it leaves."""

    name: Name
    incarnation: Count


MemberUpdate = Alive | Suspect | Dead | Left

# Packets -----------------------------------------------------------------------------------------


class Ping(msgspec.Struct, array_like=True, frozen=True, tag="p"):
    """A probe; the target answers with an `Ack`."""

    seq: Count
    # Empty if the member at the address is not known, as for a seed.
    target: Text


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="k"):
    """The answer to a `Ping`, or the forwarded answer to an indirect probe."""

    seq: Count


class Nack(msgspec.Struct, array_like=True, frozen=True, tag="n"):
    """Sent by a helper whose target has not answered yet; shows that the helper is reachable (Lifeguard)."""

    seq: Count


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag="f"):
    """A request to probe a target on behalf of the sender: an indirect probe (SWIM's ping-req)."""

    seq: Count
    target: Name
    target_address: Text


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag="o"):
    """A packet that carries only updates."""


class StateRequest(msgspec.Struct, array_like=True, frozen=True, tag="q"):
    """A request for the members whose names sort after a given one."""

    after_name: Text = ""


class StatePage(msgspec.Struct, array_like=True, frozen=True, tag="t"):
    """The next members by name, as updates; `next_after_name` is empty on the last page."""

    after_name: Text
    next_after_name: Text = ""


class UserMessage(msgspec.Struct, array_like=True, frozen=True, tag="c"):
    """Data of another fleet component for one member; membership does not interpret it."""

    data: Annotated[bytes, Meta(max_length=MAX_USER_MESSAGE_BYTES)]


Body = Ping | Ack | Nack | PingRequest | Gossip | StateRequest | StatePage | UserMessage

ENCODE = msgspec.msgpack.Encoder().encode
_PARTS_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])
_VERSION_DECODER = msgspec.msgpack.Decoder(Annotated[int, Meta(ge=0, le=255)])
_SENDER_NAME_DECODER = msgspec.msgpack.Decoder(Name)
_BODY_DECODER: msgspec.msgpack.Decoder[Body] = msgspec.msgpack.Decoder(Body)
_UPDATES_DECODER: msgspec.msgpack.Decoder[list[MemberUpdate]] = msgspec.msgpack.Decoder(list[MemberUpdate])


def encode_datagram(sender_name: str, body: Body, encoded_updates: Sequence[bytes]) -> bytes:
    """Return a datagram; the updates are encoded by `ENCODE` and have to fit (`updates_that_fit`)."""
    updates = [msgspec.Raw(update) for update in encoded_updates]
    return ENCODE((PROTOCOL_VERSION, sender_name, body, updates))


def remaining_bytes(sender_name: str, body: Body) -> int:
    """Return how many bytes of encoded updates fit into a datagram with this packet."""
    without_updates = ENCODE((PROTOCOL_VERSION, sender_name, body, []))
    return MAX_DATAGRAM_BYTES - len(without_updates) - ARRAY_HEADER_GROWTH_BYTES


def updates_that_fit(sender_name: str, body: Body, encoded_updates: Iterable[bytes]) -> list[bytes]:
    """Return the longest prefix of the encoded updates that fits into a datagram with this packet."""
    free_bytes = remaining_bytes(sender_name, body)
    chosen = list[bytes]()
    for update in encoded_updates:
        free_bytes -= len(update)
        if free_bytes < 0:
            break
        chosen.append(update)
    return chosen


def decode_datagram(data: bytes) -> tuple[str, Body, list[MemberUpdate]]:
    """Decode a datagram into the sender's name, the packet and the updates.

    Raises:
        MalformedDatagramError: The datagram is too long, of an unknown version, or malformed.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedDatagramError(DropReason.TOO_LONG)
    try:
        parts = _PARTS_DECODER.decode(data)
        version = _VERSION_DECODER.decode(parts[0])
    except (msgspec.MsgspecError, IndexError, RecursionError) as error:
        raise MalformedDatagramError(DropReason.MALFORMED) from error
    if version != PROTOCOL_VERSION:
        raise MalformedDatagramError(DropReason.UNKNOWN_VERSION)
    try:
        return (
            _SENDER_NAME_DECODER.decode(parts[1]),
            _BODY_DECODER.decode(parts[2]),
            _UPDATES_DECODER.decode(parts[3]),
        )
    except (msgspec.MsgspecError, IndexError, RecursionError, UnicodeDecodeError) as error:
        raise MalformedDatagramError(DropReason.MALFORMED) from error
