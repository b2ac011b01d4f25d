"""Packets between participants and coordinators: rows about destinations, bounded and typed (msgspec, MessagePack).

All times are ages in milliseconds: no two clocks are compared.  Each row is an array; items that a later version
appends are ignored, and have defaults where an earlier version omits them.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from enum import IntEnum
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from kestreltrack.fleet.quota_leases import QuotaLeaseRequest, QuotaLeaseResponse

# Rows in one datagram: a row has at most 95 bytes, and membership carries 1,000.
MAX_ROWS_PER_DATAGRAM = 10
# Stands for an age that nobody knows: the destination has been up all the time.
MAX_AGE_MS = 1e9

Count = Annotated[int, Meta(ge=0, le=2**62)]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
Age = Annotated[float, Meta(ge=0.0, le=MAX_AGE_MS)]
Rate = Annotated[float, Meta(ge=0.0, le=1e9)]


class ReportedState(IntEnum):
    """State of a destination as one sender observes it."""

    # An outage that no success has ended; `observation_age_ms` is the age of the last failure.
    DOWN = 0
    # A call succeeded `observation_age_ms` ago; it has been up for `up_age_ms`.
    UP = 1
    # Neither.
    UNKNOWN = 2


class RequestRow(msgspec.Struct, array_like=True, frozen=True):
    """A request to the coordinator; `slow_start_rate` is the complete slow-start budget in calls a second."""

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
    # What is left of the retry-after that the sender has received.
    retry_after_ms: Age = 0.0

    def to_lease_request(self) -> QuotaLeaseRequest:
        """Return the lease request that it contains."""
        return QuotaLeaseRequest(self.seq, self.epoch, self.response_number, self.deposit, self.demand)


class ResponseRow(msgspec.Struct, array_like=True, frozen=True):
    """A coordinator's response.

    With `down` the destination is down and there are deposits to grant: a grant is for one probe.
    """

    dest: int
    seq: Count
    epoch: Count
    response_number: Count
    grant: Fraction
    down: bool
    # There is no outage or recovery: each sender acts on its own.
    uncoordinated: bool = False

    def to_lease_response(self) -> QuotaLeaseResponse:
        """Return the lease response that it contains."""
        return QuotaLeaseResponse(self.seq, self.epoch, self.response_number, self.grant)


class AnnouncementRow(msgspec.Struct, array_like=True, frozen=True):
    """A coordinator's announcement to all members; the newest has the largest epoch and number."""

    dest: int
    epoch: Count
    announcement_number: Count
    # None where no sender has reported a state: the announcement is of a retry-after alone.
    down: bool | None
    observation_age_ms: Age
    up_age_ms: Age
    retry_after_ms: Age = 0.0


class Requests(msgspec.Struct, array_like=True, frozen=True, tag="a"):
    """Requests of one sender."""

    rows: list[RequestRow]


class Responses(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """Responses of one coordinator."""

    rows: list[ResponseRow]


class Announcements(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """Announcements of one coordinator."""

    rows: list[AnnouncementRow]


Packet = Requests | Responses | Announcements

ENCODE = msgspec.msgpack.Encoder().encode
DECODE: msgspec.msgpack.Decoder[Packet] = msgspec.msgpack.Decoder(Packet)
RowT = TypeVar("RowT", RequestRow, ResponseRow, AnnouncementRow)


def decode_packet(data: bytes) -> Packet | None:
    """Return the packet, or none where the data cannot be decoded."""
    try:
        return DECODE.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return None


def split_into_pages(rows: Sequence[RowT]) -> Iterator[list[RowT]]:
    """Return the rows in pages that fit into one datagram each."""
    starts = range(0, len(rows), MAX_ROWS_PER_DATAGRAM)
    return (list(rows[start : start + MAX_ROWS_PER_DATAGRAM]) for start in starts)


def age_ms(now: float, since: float) -> float:
    """Return an age, limited to what a row can express."""
    return min(MAX_AGE_MS, max(0.0, now - since))


def coordinator_of(dest: int, member_names: Iterable[str]) -> str:
    """Return the coordinator of a destination, the empty string where there are no members.

    Rendezvous hashing (Thaler, Ravishankar, "Using name-based mappings to increase hit rates", 1998): a member that
    leaves moves only the destinations that it coordinated.
    """
    from xxhash import xxh3_64_intdigest as digest

    return max(member_names, key=lambda name: (digest(f"{dest} {name}".encode()), name), default="")
