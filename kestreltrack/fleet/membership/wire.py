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

VERSION = 1
MOST_BYTES = 1200  # one packet on any path, also through tunnels
MOST_CARRIED = 1000  # of another part of the fleet, beside names and news

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Text = Annotated[str, Meta(max_length=64)]
Count = Annotated[int, Meta(ge=0, le=2**62)]


class Unreadable(Exception):
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
    start: Count = 0  # Unix time in ms at which its process began


class Suspect(msgspec.Struct, array_like=True, frozen=True, tag="s"):
    """`by` had no answer from a member in this incarnation."""

    name: Name
    incarnation: Count
    by: Name


class Gone(msgspec.Struct, array_like=True, frozen=True, tag="g"):
    """A suspicion that was not refuted in time."""

    name: Name
    incarnation: Count
    by: Name


class Left(msgspec.Struct, array_like=True, frozen=True, tag="l"):
    """A member said farewell."""

    name: Name
    incarnation: Count


Fact = Alive | Suspect | Gone | Left

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


class PingFor(msgspec.Struct, array_like=True, frozen=True, tag="f"):
    """Ping `target` for me (an indirect probe)."""

    seq: Count
    target: Name
    address: Text


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag="o"):
    """Nothing but news."""


class AskState(msgspec.Struct, array_like=True, frozen=True, tag="q"):
    """Tell me of the members behind `after` in the order of names."""

    after: Text = ""


class State(msgspec.Struct, array_like=True, frozen=True, tag="t"):
    """Facts about the next members in the order of names (as news); `more` is where to go on, empty at the end."""

    after: Text
    more: Text = ""


class Carry(msgspec.Struct, array_like=True, frozen=True, tag="c"):
    """Something of another part of the fleet, for one member; membership does not read it."""

    data: Annotated[bytes, Meta(max_length=MOST_CARRIED)]


Body = Ping | Ack | Nack | PingFor | Gossip | AskState | State | Carry

ENCODE = msgspec.msgpack.Encoder().encode
_PARTS = msgspec.msgpack.Decoder(list[msgspec.Raw])
_VERSION = msgspec.msgpack.Decoder(Annotated[int, Meta(ge=0, le=255)])
_FROM = msgspec.msgpack.Decoder(Name)
_BODY: msgspec.msgpack.Decoder[Body] = msgspec.msgpack.Decoder(Body)
_NEWS: msgspec.msgpack.Decoder[list[Fact]] = msgspec.msgpack.Decoder(list[Fact])


def pack(me: str, body: Body, news: Sequence[bytes]) -> bytes:
    """A datagram; `news` are facts already encoded (`ENCODE`), as many as `room` allows."""
    return ENCODE((VERSION, me, body, [msgspec.Raw(fact) for fact in news]))


def room(me: str, body: Body) -> int:
    """How many bytes of encoded facts one datagram holds beside its body."""
    return MOST_BYTES - len(ENCODE((VERSION, me, body, []))) - 2  # an array of many needs a longer head


def fitting(me: str, body: Body, facts: Iterable[bytes]) -> list[bytes]:
    """The first of the encoded facts that one datagram holds beside its body."""
    left, chosen = room(me, body), list[bytes]()
    for fact in facts:
        left -= len(fact)
        if left < 0:
            break
        chosen.append(fact)
    return chosen


def unpack(data: bytes) -> tuple[str, Body, list[Fact]]:
    """Sender's name, body and news; raises `Unreadable`."""
    if len(data) > MOST_BYTES:
        raise Unreadable("too_long")
    try:
        parts = _PARTS.decode(data)
        version = _VERSION.decode(parts[0])
    except (msgspec.MsgspecError, IndexError, RecursionError) as bad:
        raise Unreadable("noise") from bad
    if version != VERSION:
        raise Unreadable("unknown_version")
    try:
        return _FROM.decode(parts[1]), _BODY.decode(parts[2]), _NEWS.decode(parts[3])
    except (msgspec.MsgspecError, IndexError, RecursionError, UnicodeDecodeError) as bad:
        raise Unreadable("noise") from bad
