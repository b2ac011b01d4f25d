"""The events that the decision module handles.

Times are in milliseconds on a monotonic clock that the caller reads and passes with every step.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from kestreltrack.decision.outcomes import Outcome


class EndpointLifecycle(Enum):
    """The state of an endpoint on the endpoint list, which is independent of its health."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the endpoint list; the rate is in calls per second, or 0 if it is unknown."""

    endpoint: str
    dest: int
    kind: str
    zone: str = ""
    lifecycle: EndpointLifecycle = EndpointLifecycle.UP
    rate: float = 1.0


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """The complete endpoint list without removed endpoints, or only the entries that changed.

    `cached`: the list was stored by the sender and is no answer of service discovery.
    """

    entries: Sequence[EndpointEntry]
    complete: bool
    cached: bool = False


@dataclass(frozen=True, slots=True)
class DiscoveryFailed:
    """A poll of service discovery failed, or a subscription broke."""


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A message was submitted, or recovered after a restart; its final answer is due before `expires`.

    `accepted`: the process before a restart, or a sender whose messages were taken over, had accepted the
    message, so it is not rejected. `attempts` then counts its attempts so far; `ambiguous_since` and
    `ambiguous_zone` are the start and the zone of the first attempt that may have executed it.
    """

    id: str
    dest: int
    cls: str
    expires: float
    key: int | None = None
    tenant: str | None = None
    attempts: int = 0
    ambiguous_since: float | None = None
    ambiguous_zone: str = ""
    accepted: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended; there is exactly one such event for each attempt."""

    id: str
    attempt: int
    endpoint: str
    outcome: Outcome
    duration_ms: float
    final: bool
    retry_after_ms: float = 0.0
    quota_left: float | None = None  # share of the limit that is left
    rate_limit: float | None = None  # limit in calls per second
    # It broke on a connection kept from an earlier call, which may have been closed for other reasons.
    stale_connection: bool = False
    # Counts against the limit of attempts; false if the attempt never left the sender.
    counted: bool = True


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The client withdrew the message; no final answer is due any more."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer that `SetTimer` requested has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The sender shuts down.

    The outcome of an attempt that has not ended by the deadline is lost, although it may be executed.
    """

    deadline: float


@dataclass(frozen=True, slots=True)
class SenderCountChanged:
    """The number of senders that share the limit of each destination, including this one, has changed."""

    sender_count: int


@dataclass(frozen=True, slots=True)
class RetryAfterReceived:
    """Another caller of a destination, the sender's other process or another sender, received a retry-after.

    It applies to all endpoints of the destination, even if they are independent of each other. `rejected`: it
    also counts as a rejected call of this process, as one of the other process does; otherwise it only blocks
    calls.
    """

    dest: int
    until: float
    rejected: bool = True


@dataclass(frozen=True, slots=True)
class QuotaLeased:
    """This sender holds a lease on `share` of the cold budget of a destination until `until`.

    During an outage of the destination, a share above 0 permits one trial call, and a share of 0 none. The
    sender relies on its own evidence again after a lease that is not renewed.
    """

    dest: int
    share: float
    until: float


@dataclass(frozen=True, slots=True)
class HealthReported:
    """The health of a destination as known to the fleet, from an answer or a failure at `at`.

    `since` is the time of its recovery. Newer evidence of this sender takes precedence.
    """

    dest: int
    up: bool
    at: float
    since: float


class ElsewhereProgress(Enum):
    """The progress of a message that the other process of this sender has accepted."""

    HELD = "held"  # no attempt is in flight
    IN_FLIGHT = "in flight"
    UNCERTAIN = "uncertain"  # an attempt has ended, and may still execute
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class OrderedElsewhere:
    """The other process of this sender has accepted or advanced a message with an ordering key.

    `before`: when it is reported for the first time, the message of this process that it precedes; empty if it
    comes after all of them so far.
    """

    id: str
    key: int
    progress: ElsewhereProgress
    before: str = ""


Event = (
    EndpointsUpdated
    | DiscoveryFailed
    | MessageArrived
    | AttemptEnded
    | MessageWithdrawn
    | TimerExpired
    | ShutdownStarted
    | SenderCountChanged
    | RetryAfterReceived
    | QuotaLeased
    | HealthReported
    | OrderedElsewhere
)
