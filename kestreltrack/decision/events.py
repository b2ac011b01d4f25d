"""The events that the decision module takes.

Times are milliseconds of one clock that only goes forward; the caller supplies it with every step.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from kestreltrack.decision.outcomes import Outcome


class EndpointLifecycle(Enum):
    """The state of an endpoint on the endpoint list, which says nothing of its health."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the endpoint list; the rate is in calls a second, or 0 where it is unknown."""

    endpoint: str
    dest: int
    kind: str
    zone: str = ""
    lifecycle: EndpointLifecycle = EndpointLifecycle.UP
    rate: float = 1.0


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """The complete list, without the endpoints that were removed, or the entries that changed.

    `cached`: it is one that the sender had stored, not an answer of service discovery.
    """

    entries: Sequence[EndpointEntry]
    complete: bool
    cached: bool = False


@dataclass(frozen=True, slots=True)
class DiscoveryFailed:
    """A poll of service discovery failed, or a subscription broke."""


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A message was submitted, or is still queued after a restart; a final answer is due before `expires`.

    `accepted`: the process before a restart had accepted it, or a sender whose messages were taken over: it is not
    rejected. `attempts` then counts its attempts so far; `ambiguous_since` and `ambiguous_zone` tell when and where
    the first of them started that may have executed it.
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
    """The single outcome of one attempt."""

    id: str
    attempt: int
    endpoint: str
    outcome: Outcome
    duration_ms: float
    final: bool
    retry_after_ms: float = 0.0
    quota_left: float | None = None  # share of the limit that is left
    rate_limit: float | None = None  # calls a second that the limit allows
    # It broke on a connection kept from an earlier call, which may have ended on its own.
    stale_connection: bool = False
    # Against the limit of attempts: not so where it never left the sender.
    counted: bool = True


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The client withdrew the message: no answer is due any more."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer set by a `SetTimer` has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The sender shuts down.

    An attempt that has not ended by the deadline may be executed without anybody learning of it.
    """

    deadline: float


@dataclass(frozen=True, slots=True)
class SenderCountChanged:
    """So many senders, this one among them, share each destination's limit from now on."""

    sender_count: int


@dataclass(frozen=True, slots=True)
class RetryAfterReceived:
    """Another caller of a destination received a retry-after: this sender's other process, or another sender.

    It binds all endpoints of the destination, also where they are independent of each other. `rejected`: it counts
    like a call from here that was rejected, as that of the other process does; else nothing goes until then.
    """

    dest: int
    until: float
    rejected: bool = True


@dataclass(frozen=True, slots=True)
class QuotaLeased:
    """The fleet shares the cold budget of a destination: `share` of it is this sender's until `until`.

    During an outage of the destination, a share over 0 is the right to one trial call, and without one none goes.
    Where the lease is over and no other came, the sender goes by its own evidence again.
    """

    dest: int
    share: float
    until: float


@dataclass(frozen=True, slots=True)
class HealthReported:
    """What the fleet knows of a destination's health, by an answer or a failure at `at`; up again since `since`.

    A sender with newer evidence of its own goes by that.
    """

    dest: int
    up: bool
    at: float
    since: float


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
)
