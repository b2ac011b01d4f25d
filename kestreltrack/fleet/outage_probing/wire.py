"""What senders and keepers tell each other about partners that are out or cold: rows, bounded and typed (msgspec).

All times are ages in milliseconds: no clock is compared with another.  Each row is an array; items that a later
version adds at its end are ignored, and have defaults where an earlier version leaves them out.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from enum import IntEnum
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from kestreltrack.fleet.quota_leases import QuotaLeaseRequest, QuotaLeaseResponse

MAX_ROWS_PER_DATAGRAM = 10  # in one datagram: a row has at most 95 bytes, membership leaves 1,000
MAX_AGE_MS = 1e9  # of what has been up as long as anybody knows

Count = Annotated[int, Meta(ge=0, le=2**62)]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
Age = Annotated[float, Meta(ge=0.0, le=MAX_AGE_MS)]
Rate = Annotated[float, Meta(ge=0.0, le=1e9)]


class ReportedState(IntEnum):
    """What a sender saw of a partner."""

    DOWN = 0  # its own outage lasts; `seen_ms` is the age of its last failure
    UP = 1  # a call did work `seen_ms` ago; it has been up for `up_ms`
    UNKNOWN = 2  # neither


class RequestRow(msgspec.Struct, array_like=True, frozen=True):
    """To the keeper; `rate` is the partner's whole cold budget in calls a second."""

    dest: int
    seq: Count
    epoch: Count
    response_number: Count
    deposit: Fraction
    demand: Fraction
    state: ReportedState
    observation_age_ms: Age
    up_age_ms: Age
    slow_start_rate: Rate
    retry_after_ms: Age = 0.0  # that the partner has told it, what is left of it

    def to_lease_request(self) -> QuotaLeaseRequest:
        """As the lease tables know it."""
        return QuotaLeaseRequest(self.seq, self.epoch, self.response_number, self.deposit, self.demand)


class ResponseRow(msgspec.Struct, array_like=True, frozen=True):
    """From the keeper; `out`: it holds the partner to be out and deposits to lend, and a grant is one trial's."""

    dest: int
    seq: Count
    epoch: Count
    response_number: Count
    grant: Fraction
    down: bool
    uncoordinated: bool = False  # it is in no trouble of the fleet's: each goes by itself

    def to_lease_response(self) -> QuotaLeaseResponse:
        """As the lease tables know it."""
        return QuotaLeaseResponse(self.seq, self.epoch, self.response_number, self.grant)


class AnnouncementRow(msgspec.Struct, array_like=True, frozen=True):
    """The keeper's word to all, its `number`th for that partner in its epoch."""

    dest: int
    epoch: Count
    announcement_number: Count
    down: bool | None  # none: nobody knows of an outage, the word is of a wait
    observation_age_ms: Age
    up_age_ms: Age
    retry_after_ms: Age = 0.0


class Requests(msgspec.Struct, array_like=True, frozen=True, tag="a"):
    """Asks of one sender."""

    rows: list[RequestRow]


class Responses(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """Replies of one keeper."""

    rows: list[ResponseRow]


class Announcements(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """Words of one keeper."""

    rows: list[AnnouncementRow]


Packet = Requests | Responses | Announcements

ENCODE = msgspec.msgpack.Encoder().encode
DECODE: msgspec.msgpack.Decoder[Packet] = msgspec.msgpack.Decoder(Packet)
RowT = TypeVar("RowT", RequestRow, ResponseRow, AnnouncementRow)


def decode_packet(data: bytes) -> Packet | None:
    """The packet, or `None` where it is none."""
    try:
        return DECODE.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return None


def split_into_pages(rows: Sequence[RowT]) -> Iterator[list[RowT]]:
    """As many rows as one datagram holds, and the next ones."""
    return (list(rows[at : at + MAX_ROWS_PER_DATAGRAM]) for at in range(0, len(rows), MAX_ROWS_PER_DATAGRAM))


def age_ms(now: float, since: float) -> float:
    """How old something is, within what a row can tell."""
    return min(MAX_AGE_MS, max(0.0, now - since))


def coordinator_of(dest: int, member_names: Iterable[str]) -> str:
    """The keeper among these members by rendezvous hashing: one that goes takes along only what it kept."""
    from xxhash import xxh3_64_intdigest as digest

    return max(member_names, key=lambda name: (digest(f"{dest} {name}".encode()), name), default="")
