"""Datagrams between members: at most 1,200 bytes, a version in front, everything bounded and typed (msgspec).

A datagram is ``[VERSION, from, body, news]`` in MessagePack.  `body` is one of the packets below, `news` the facts
that travel along with it.  Each is an array with its kind in front; items that a later version adds at the end of one
are ignored, and have defaults where an earlier version leaves them out.  What cannot be read raises `Unreadable`
with a word for the counter; nothing of it is taken.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Annotated

import msgspec
from msgspec import Meta

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # one packet on any path, also through tunnels
MAX_USER_MESSAGE_BYTES = 1000  # of another part of the fleet, beside names and news

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Text = Annotated[str, Meta(max_length=64)]
Count = Annotated[int, Meta(ge=0, le=2**62)]


class MalformedDatagramError(Exception):
    """Not a datagram of this form; the text is the word that it is counted under."""


# Facts -------------------------------------------------------------------------------------------


class Alive(msgspec.Struct, array_like=True, frozen=True, tag="a"):
    """A member as it describes itself; only it raises its own incarnation."""

    name: Name
    address: Text
    incarnation: Count
    zone: Text = ""
    region: Text = ""
    version: Text = ""
    process_start_ms: Count = 0  # Unix time in ms at which its process began


class Suspect(msgspec.Struct, array_like=True, frozen=True, tag="s"):
    """`by` had no answer from a member in this incarnation."""

    name: Name
    incarnation: Count
    reported_by: Name


class Dead(msgspec.Struct, array_like=True, frozen=True, tag="g"):
    """A suspicion that was not refuted in time."""

    name: Name
    incarnation: Count
    reported_by: Name


class Left(msgspec.Struct, array_like=True, frozen=True, tag="l"):
    """A member said farewell."""

    name: Name
    incarnation: Count


MemberUpdate = Alive | Suspect | Dead | Left

# Packets -----------------------------------------------------------------------------------------


class Ping(msgspec.Struct, array_like=True, frozen=True, tag="p"):
    """Answer with an `Ack`, if `target` is you."""

    seq: Count
    target: Text  # empty for an address whose member is not known: a seed


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="k"):
    """I am here."""

    seq: Count


class Nack(msgspec.Struct, array_like=True, frozen=True, tag="n"):
    """I asked for you and had no answer yet: at least this path works."""

    seq: Count


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag="f"):
    """Ping `target` for me (an indirect probe)."""

    seq: Count
    target: Name
    target_address: Text


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag="o"):
    """Nothing but news."""


class StateRequest(msgspec.Struct, array_like=True, frozen=True, tag="q"):
    """Tell me of the members behind `after` in the order of names."""

    after_name: Text = ""


class StatePage(msgspec.Struct, array_like=True, frozen=True, tag="t"):
    """Facts about the next members in the order of names (as news); `more` is where to go on, empty at the end."""

    after_name: Text
    next_after_name: Text = ""


class UserMessage(msgspec.Struct, array_like=True, frozen=True, tag="c"):
    """Something of another part of the fleet, for one member; membership does not read it."""

    data: Annotated[bytes, Meta(max_length=MAX_USER_MESSAGE_BYTES)]


Body = Ping | Ack | Nack | PingRequest | Gossip | StateRequest | StatePage | UserMessage

ENCODE = msgspec.msgpack.Encoder().encode
_PARTS = msgspec.msgpack.Decoder(list[msgspec.Raw])
_VERSION = msgspec.msgpack.Decoder(Annotated[int, Meta(ge=0, le=255)])
_SENDER_NAME = msgspec.msgpack.Decoder(Name)
_BODY: msgspec.msgpack.Decoder[Body] = msgspec.msgpack.Decoder(Body)
_UPDATES: msgspec.msgpack.Decoder[list[MemberUpdate]] = msgspec.msgpack.Decoder(list[MemberUpdate])


def encode_datagram(sender_name: str, body: Body, encoded_updates: Sequence[bytes]) -> bytes:
    """A datagram; `news` are facts already encoded (`ENCODE`), as many as `room` allows."""
    return ENCODE((PROTOCOL_VERSION, sender_name, body, [msgspec.Raw(fact) for fact in encoded_updates]))


def remaining_bytes(sender_name: str, body: Body) -> int:
    """How many bytes of encoded facts one datagram holds beside its body."""
    return (
        MAX_DATAGRAM_BYTES - len(ENCODE((PROTOCOL_VERSION, sender_name, body, []))) - 2
    )  # an array of many needs a longer head


def updates_that_fit(sender_name: str, body: Body, encoded_updates: Iterable[bytes]) -> list[bytes]:
    """The first of the encoded facts that one datagram holds beside its body."""
    left, chosen = remaining_bytes(sender_name, body), list[bytes]()
    for fact in encoded_updates:
        left -= len(fact)
        if left < 0:
            break
        chosen.append(fact)
    return chosen


def decode_datagram(data: bytes) -> tuple[str, Body, list[MemberUpdate]]:
    """Sender's name, body and news; raises `Unreadable`."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedDatagramError("too_long")
    try:
        parts = _PARTS.decode(data)
        version = _VERSION.decode(parts[0])
    except (msgspec.MsgspecError, IndexError, RecursionError) as bad:
        raise MalformedDatagramError("noise") from bad
    if version != PROTOCOL_VERSION:
        raise MalformedDatagramError("unknown_version")
    try:
        return _SENDER_NAME.decode(parts[1]), _BODY.decode(parts[2]), _UPDATES.decode(parts[3])
    except (msgspec.MsgspecError, IndexError, RecursionError, UnicodeDecodeError) as bad:
        raise MalformedDatagramError("noise") from bad
