"""The messages between the watch's state machine (`watch_state`) and what performs its steps (`source`).

Times and spans are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from kestreltrack.discovery.etcd.errors import FailureReason


class WatchPhase(Enum):
    """What the follower of a prefix does now."""

    BACKOFF = "backoff"
    LISTING = "listing"
    OPENING = "opening"
    WATCHING = "watching"


@dataclass(frozen=True, slots=True)
class WatchParameters:
    """The operator's settings of a watch.

    Attributes:
        member_count: The number of members of the cluster.
        page_size: Keys on one page of the complete list.
        confirm_interval_ms: The time between two confirmations.
        response_timeout_ms: The time limit of any answer, and for the watch to reach a confirmed revision.
        reconnect_spread_ms: The span over which senders that lost a member together reconnect.
        max_backoff_ms: The longest backoff of a member that fails.
        open_burst: How many watches or listings may be opened at once.
        open_interval_ms: The time after which one more may be opened.
    """

    member_count: int
    page_size: int = 1000
    confirm_interval_ms: float = 1000.0
    response_timeout_ms: float = 1000.0
    reconnect_spread_ms: float = 200.0
    max_backoff_ms: float = 5000.0
    open_burst: float = 6.0
    open_interval_ms: float = 1000.0


# Steps, performed one after another -----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing for `delay_ms`."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class ReadPage:
    """Read a page of keys with a linearizable read.

    Attributes:
        member_index: The member to read from.
        after_key: The page begins behind this key; empty for the first page.
        revision: The revision to read at; 0 for the newest.
    """

    member_index: int
    after_key: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class OpenWatch:
    """Open a watch at a member, for the changes from `start_revision` on."""

    member_index: int
    start_revision: int


# Actions beside an open watch -----------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ConfirmRevision:
    """Read the newest revision with a linearizable read through the watched member."""

    member_index: int


@dataclass(frozen=True, slots=True)
class RequestProgress:
    """Ask the watch which revision it has reached."""


@dataclass(frozen=True, slots=True)
class CloseWatch:
    """Close the watch."""


Step = Wait | ReadPage | OpenWatch
WatchAction = ConfirmRevision | RequestProgress | CloseWatch

# What was received, and what is passed on -----------------------------------------------------------


@dataclass(frozen=True, slots=True)
class KeyChange:
    """A key that was written, or deleted where `value` is `None`."""

    key: bytes
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class WatchResponse:
    """One response of a watch.

    Attributes:
        cluster_id: The id of the cluster that answered.
        revision: The newest revision that the member knows.
        created: Whether the response says that the watch is open.
        cancelled: Why the member ended the watch, if it did.
        fragment: Whether the changes go on in the next response.
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
    """The complete content of the prefix at a revision, or the changes up to it in order, no revision in part."""

    revision: int
    complete: bool
    changes: tuple[KeyChange, ...]
