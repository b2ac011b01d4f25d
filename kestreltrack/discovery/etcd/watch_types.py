"""The inputs and outputs of the watch's state machine (`watch_state`), whose steps `source` performs.

All times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from kestreltrack.discovery.etcd.errors import FailureReason


class WatchPhase(Enum):
    """The phase of the state machine."""

    BACKOFF = "backoff"
    LISTING = "listing"
    OPENING = "opening"
    WATCHING = "watching"


@dataclass(frozen=True, slots=True)
class WatchParameters:
    """The operator's settings of a watch.

    Attributes:
        member_count: The number of members of the cluster.
        page_size: The number of keys per page of a listing.
        confirm_interval_ms: The interval between two confirmations.
        response_timeout_ms: The time limit for a response, and for the watch to reach a confirmed revision.
        reconnect_spread_ms: Senders that lose a member at the same time reconnect at random times within this span.
        max_backoff_ms: The upper limit of a member's backoff.
        open_burst: The capacity of the token bucket for opening watches and listings.
        open_interval_ms: The time in which the token bucket gains one token.
    """

    member_count: int
    page_size: int = 1000
    confirm_interval_ms: float = 1000.0
    response_timeout_ms: float = 1000.0
    reconnect_spread_ms: float = 200.0
    max_backoff_ms: float = 5000.0
    open_burst: float = 6.0
    open_interval_ms: float = 1000.0


# Steps, which are performed sequentially -----------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait for `delay_ms`."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class ReadPage:
    """Read one page of a listing with a linearizable read.

    Attributes:
        member_index: The member to read from.
        after_key: The last key of the previous page; empty for the first page.
        revision: The revision to read at; 0 for the newest.
    """

    member_index: int
    after_key: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class OpenWatch:
    """Open a watch at a member for the changes since `start_revision`, inclusive."""

    member_index: int
    start_revision: int


# Actions while a watch is open ----------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ConfirmRevision:
    """Read the newest revision with a linearizable read through the watched member."""

    member_index: int


@dataclass(frozen=True, slots=True)
class RequestProgress:
    """Request a progress notification from the watch, which reports the revision it has reached."""


@dataclass(frozen=True, slots=True)
class CloseWatch:
    """Close the watch."""


Step = Wait | ReadPage | OpenWatch
WatchAction = ConfirmRevision | RequestProgress | CloseWatch

# Input and output data ------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class KeyChange:
    """A write of a key, or its deletion if `value` is `None`."""

    key: bytes
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class WatchResponse:
    """One response of a watch.

    Attributes:
        cluster_id: The id of the cluster in the header of the response.
        revision: The newest revision that the member knows.
        created: Whether the response confirms that the watch was created.
        cancelled: Why the member cancelled the watch; `None` if it did not.
        fragment: Whether the changes continue in the next response.
        changes: The changes, in order.
    """

    cluster_id: int
    revision: int
    created: bool = False
    cancelled: FailureReason | None = None
    fragment: bool = False
    changes: tuple[KeyChange, ...] = ()


@dataclass(frozen=True, slots=True)
class PrefixUpdate:
    """The complete content of the prefix at a revision, or the ordered changes up to it, in whole revisions."""

    revision: int
    complete: bool
    changes: tuple[KeyChange, ...]
