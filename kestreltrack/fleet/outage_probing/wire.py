"""Packets between participants and coordinators: MessagePack rows about destinations, validated by msgspec.

All times are sent as ages in milliseconds, so that clocks of different hosts are never compared.  Each row is an
array.  Items that a later version appends are ignored, and items that an earlier version omits have defaults.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from enum import IntEnum
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from kestreltrack.fleet.quota_leases import QuotaLeaseRequest, QuotaLeaseResponse

# A row has at most 95 bytes, and a user message of the membership protocol at most 1,000.
MAX_ROWS_PER_DATAGRAM = 10
# Also used where no time is known, as for a destination that has never been down.
MAX_AGE_MS = 1e9

Count = Annotated[int, Meta(ge=0, le=2**62)]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
Age = Annotated[float, Meta(ge=0.0, le=MAX_AGE_MS)]
Rate = Annotated[float, Meta(ge=0.0, le=1e9)]


class ReportedState(IntEnum):
    """State of a destination as observed by one sender."""

    # There has been an outage without a success since; `observation_age_ms` is the age of the last failure.
    DOWN = 0
    # A call succeeded `observation_age_ms` ago, and the destination has been up for `up_age_ms`.
    UP = 1
    # Neither an outage nor a recent success.
    UNKNOWN = 2


class RequestRow(msgspec.Struct, array_like=True, frozen=True):
    """A request to the coordinator; `slow_start_rate` is the fleet's slow-start budget in calls a second."""

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
    # Time that is left of the retry-after that the sender has received.
    retry_after_ms: Age = 0.0

    def to_lease_request(self) -> QuotaLeaseRequest:
        """Return the lease request contained in this row."""
        return QuotaLeaseRequest(self.seq, self.epoch, self.response_number, self.deposit, self.demand)


class ResponseRow(msgspec.Struct, array_like=True, frozen=True):
    """A coordinator's response.

    If `down` is set, the destination is down and the coordinator has deposits to grant: a grant is for one probe.
    """

    dest: int
    seq: Count
    epoch: Count
    response_number: Count
    grant: Fraction
    down: bool
    # No outage or recovery is in progress, so each sender acts on its own.
    uncoordinated: bool = False

    def to_lease_response(self) -> QuotaLeaseResponse:
        """Return the lease response contained in this row."""
        return QuotaLeaseResponse(self.seq, self.epoch, self.response_number, self.grant)


class AnnouncementRow(msgspec.Struct, array_like=True, frozen=True):
    """A coordinator's announcement to all members; of two, the one with the larger epoch and number is newer."""

    dest: int
    epoch: Count
    announcement_number: Count
    # `None` if no sender has reported a state: the announcement contains only a retry-after.
    down: bool | None
    observation_age_ms: Age
    up_age_ms: Age
    retry_after_ms: Age = 0.0


class Requests(msgspec.Struct, array_like=True, frozen=True, tag="a"):
    """A packet with requests of one sender."""

    rows: list[RequestRow]


class Responses(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """A packet with responses of one coordinator."""

    rows: list[ResponseRow]


class Announcements(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """A packet with announcements of one coordinator."""

    rows: list[AnnouncementRow]


Packet = Requests | Responses | Announcements

ENCODE = msgspec.msgpack.Encoder().encode
DECODE: msgspec.msgpack.Decoder[Packet] = msgspec.msgpack.Decoder(Packet)
RowT = TypeVar("RowT", RequestRow, ResponseRow, AnnouncementRow)


def decode_packet(data: bytes) -> Packet | None:
    """Return the packet, or `None` if the data is malformed."""
    try:
        return DECODE.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return None


def split_into_pages(rows: Sequence[RowT]) -> Iterator[list[RowT]]:
    """Split the rows into pages that each fit into one datagram."""
    starts = range(0, len(rows), MAX_ROWS_PER_DATAGRAM)
    return (list(rows[start : start + MAX_ROWS_PER_DATAGRAM]) for start in starts)


def age_ms(now: float, since: float) -> float:
    """Return an age, clamped to the range of the wire format."""
    return min(MAX_AGE_MS, max(0.0, now - since))


def coordinator_of(dest: int, member_names: Iterable[str]) -> str:
    """Return the coordinator of a destination, or the empty string if there are no members.

    Uses rendezvous hashing (Thaler, Ravishankar, "Using name-based mappings to increase hit rates", 1998): when a
    member leaves, only the destinations that it coordinated move to another member.
    """
    from xxhash import xxh3_64_intdigest as digest

    return max(member_names, key=lambda name: (digest(f"{dest} {name}".encode()), name), default="")
