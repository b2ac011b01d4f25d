"""Datagrams between members: at most 1,200 bytes, a version in front, every field bounded and typed (msgspec).

A datagram is ``[version, sender's name, packet, updates]`` in MessagePack.  The packet is one of the types in `Body`,
the updates are those that travel along with it.  Each is an array with a tag in front.  Items that a later version
appends are ignored, and have defaults where an earlier version omits them.  A datagram that cannot be decoded raises
`MalformedDatagramError`, and nothing of it is used.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

PROTOCOL_VERSION = 1
# One packet on any path, also through tunnels.
MAX_DATAGRAM_BYTES = 1200
# Data of another part of the fleet in one datagram, beside names and updates.
MAX_USER_MESSAGE_BYTES = 1000
# Bytes by which the head of a long array of updates exceeds that of an empty one.
ARRAY_HEAD_GROWTH_BYTES = 2

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Text = Annotated[str, Meta(max_length=64)]
Count = Annotated[int, Meta(ge=0, le=2**62)]


class DropReason(Enum):
    """Why a datagram or an update was dropped; the values are names of counters."""

    NOISE = "noise"
    TOO_LONG = "too_long"
    UNKNOWN_VERSION = "unknown_version"
    # The sender uses the name of another member, or of this one.
    FOREIGN_NAME = "foreign_name"
    # Data of another part of the fleet from a sender that is no active member.
    STRANGER = "stranger"


class MalformedDatagramError(Exception):
    """A datagram that cannot be decoded; its text is the name of the counter."""

    def __init__(self, reason: DropReason) -> None:
        """Take the reason that it is counted under."""
        super().__init__(reason.value)
        self.reason = reason


# Updates -----------------------------------------------------------------------------------------


class Alive(msgspec.Struct, array_like=True, frozen=True, tag="a"):
    """A member as it describes itself; only it raises its own incarnation."""

    name: Name
    address: Text
    incarnation: Count
    zone: Text = ""
    region: Text = ""
    version: Text = ""
    # Unix time in ms at which its process began.
    process_start_ms: Count = 0


class Suspect(msgspec.Struct, array_like=True, frozen=True, tag="s"):
    """The reporter had no answer from a member in this incarnation."""

    name: Name
    incarnation: Count
    reported_by: Name


class Dead(msgspec.Struct, array_like=True, frozen=True, tag="g"):
    """A suspicion of this member was not refuted in time."""

    name: Name
    incarnation: Count
    reported_by: Name


class Left(msgspec.Struct, array_like=True, frozen=True, tag="l"):
    """A member announced that it leaves."""

    name: Name
    incarnation: Count


MemberUpdate = Alive | Suspect | Dead | Left

# Packets -----------------------------------------------------------------------------------------


class Ping(msgspec.Struct, array_like=True, frozen=True, tag="p"):
    """A probe, which the target answers with an `Ack`."""

    seq: Count
    # Empty where the member at the address is not known: a seed.
    target: Text


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="k"):
    """The answer to a probe."""

    seq: Count


class Nack(msgspec.Struct, array_like=True, frozen=True, tag="n"):
    """Sent by a helper whose target has not answered yet: the helper itself is reachable (Lifeguard)."""

    seq: Count


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag="f"):
    """A request to probe the target for the sender: an indirect probe (SWIM's ping-req)."""

    seq: Count
    target: Name
    target_address: Text


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag="o"):
    """A packet that only carries updates."""


class StateRequest(msgspec.Struct, array_like=True, frozen=True, tag="q"):
    """A request for the members that follow a name in the order of names."""

    after_name: Text = ""


class StatePage(msgspec.Struct, array_like=True, frozen=True, tag="t"):
    """The next members in the order of names, as updates; the last page has no next name."""

    after_name: Text
    next_after_name: Text = ""


class UserMessage(msgspec.Struct, array_like=True, frozen=True, tag="c"):
    """Data of another part of the fleet for one member; membership does not read it."""

    data: Annotated[bytes, Meta(max_length=MAX_USER_MESSAGE_BYTES)]


Body = Ping | Ack | Nack | PingRequest | Gossip | StateRequest | StatePage | UserMessage

ENCODE = msgspec.msgpack.Encoder().encode
_PARTS = msgspec.msgpack.Decoder(list[msgspec.Raw])
_VERSION = msgspec.msgpack.Decoder(Annotated[int, Meta(ge=0, le=255)])
_SENDER_NAME = msgspec.msgpack.Decoder(Name)
_BODY: msgspec.msgpack.Decoder[Body] = msgspec.msgpack.Decoder(Body)
_UPDATES: msgspec.msgpack.Decoder[list[MemberUpdate]] = msgspec.msgpack.Decoder(list[MemberUpdate])


def encode_datagram(sender_name: str, body: Body, encoded_updates: Sequence[bytes]) -> bytes:
    """Return a datagram with updates that `ENCODE` has encoded and that fit (`updates_that_fit`)."""
    updates = [msgspec.Raw(update) for update in encoded_updates]
    return ENCODE((PROTOCOL_VERSION, sender_name, body, updates))


def remaining_bytes(sender_name: str, body: Body) -> int:
    """Return how many bytes of encoded updates one datagram holds beside its packet."""
    without_updates = ENCODE((PROTOCOL_VERSION, sender_name, body, []))
    return MAX_DATAGRAM_BYTES - len(without_updates) - ARRAY_HEAD_GROWTH_BYTES


def updates_that_fit(sender_name: str, body: Body, encoded_updates: Iterable[bytes]) -> list[bytes]:
    """Return the first of the encoded updates, as many as one datagram holds beside its packet."""
    free_bytes = remaining_bytes(sender_name, body)
    chosen = list[bytes]()
    for update in encoded_updates:
        free_bytes -= len(update)
        if free_bytes < 0:
            break
        chosen.append(update)
    return chosen


def decode_datagram(data: bytes) -> tuple[str, Body, list[MemberUpdate]]:
    """Return the sender's name, the packet and the updates of a datagram.

    Raises:
        MalformedDatagramError: The datagram is too long, of another version, or not of this form.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedDatagramError(DropReason.TOO_LONG)
    try:
        parts = _PARTS.decode(data)
        version = _VERSION.decode(parts[0])
    except (msgspec.MsgspecError, IndexError, RecursionError) as error:
        raise MalformedDatagramError(DropReason.NOISE) from error
    if version != PROTOCOL_VERSION:
        raise MalformedDatagramError(DropReason.UNKNOWN_VERSION)
    try:
        return _SENDER_NAME.decode(parts[1]), _BODY.decode(parts[2]), _UPDATES.decode(parts[3])
    except (msgspec.MsgspecError, IndexError, RecursionError, UnicodeDecodeError) as error:
        raise MalformedDatagramError(DropReason.NOISE) from error
