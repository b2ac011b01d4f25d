"""What the decision module is told.

Times are milliseconds of one clock that only goes forward; the caller supplies it with every step.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from kestreltrack.decision.outcomes import Outcome


class EndpointLifecycle(Enum):
    """State of an endpoint on the list; it tells nothing of its health."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the list of endpoints."""

    endpoint: str
    dest: int
    kind: str
    zone: str = ""
    lifecycle: EndpointLifecycle = EndpointLifecycle.UP
    rate: float = 1.0


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """The whole list (what is not in it is gone) or the entries that changed."""

    entries: Sequence[EndpointEntry]
    complete: bool
    cached: bool = False


@dataclass(frozen=True, slots=True)
class DiscoveryFailed:
    """A call to the directory failed, or a subscription broke."""


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A message was handed in, or is still held after a restart; a final answer is owed before ``expires``.

    ``taken``: it was taken on by the process before a restart, or by one whose messages are adopted, and is not
    turned away.  Then ``tries`` counts its attempts so far; ``doubt`` and ``doubt_zone`` tell when and where the
    first of them went that may have run.
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
    stale_connection: bool = (
        False  # it broke on a connection kept from an earlier call, which may have ended on its own
    )
    counted: bool = True  # against the try limit: not so where it never left here


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The client took the message back; nothing more is owed."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer set by a ``Wake`` has fallen due."""

    token: int


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The relay stops: an attempt that has not ended by then may run with nobody to hear of it."""

    deadline: float


@dataclass(frozen=True, slots=True)
class SenderCountChanged:
    """So many relays, this one among them, share each destination's limit from now on."""

    sender_count: int


@dataclass(frozen=True, slots=True)
class RetryAfterReceived:
    """Another caller of a destination (the other process of this sender, or another sender) was told to wait.

    ``until`` is on this clock.  It binds all endpoints of the destination, also where routes are apart.  ``refused``:
    it counts like a call from here that was refused, as that of the other process does; else it is but a wait.
    """

    dest: int
    until: float
    rejected: bool = True


@dataclass(frozen=True, slots=True)
class QuotaLeased:
    """The fleet shares the cold budget of a destination: ``share`` of it is this sender's until ``until``.

    While the destination is out, a share over 0 is the right to one trial, and without one none goes.  Where it is
    over and no other came, the sender is by itself again.
    """

    dest: int
    share: float
    until: float


@dataclass(frozen=True, slots=True)
class HealthReported:
    """What the fleet holds of a destination, by an answer or a failure of ``at``; ``since`` when it is up again.

    Whoever has newer evidence of its own goes by that.  All times are on this clock.
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
