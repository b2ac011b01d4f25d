"""What a participant knows of a destination, and what it wants done."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from kestreltrack.decision import HealthReported, QuotaLeased, RetryAfterReceived
from kestreltrack.fleet.outage_probing.timing import SUCCESS_FRESH_MS
from kestreltrack.fleet.outage_probing.wire import ReportedState, RequestRow
from kestreltrack.fleet.quota_leases import LeaseHolder


@dataclass(frozen=True, slots=True)
class DestinationHealth:
    """What the policy knows of one destination; times are milliseconds of this sender's clock."""

    dest: int
    # Whether there is an outage that no success has ended.
    down: bool
    in_slow_start: bool
    slow_start_since: float
    last_success_at: float
    last_failure_at: float
    last_attempt_at: float
    # Whether a half-open trial call is in flight and not overdue.
    probe_in_flight: bool
    # What this sender could use of the slow-start budget, 0 to 1.
    demand: float
    # The complete slow-start budget, in calls a second.
    slow_start_rate: float
    # The latest retry-after that this sender has received.
    retry_after_until: float = -math.inf

    def reported_state(self, now: float) -> ReportedState:
        """Return the state that this sender reports to the coordinator."""
        if self.down:
            return ReportedState.DOWN
        if now - self.last_success_at < SUCCESS_FRESH_MS:
            return ReportedState.UP
        return ReportedState.UNKNOWN

    def useful_quota(self) -> float:
        """Return the demand that a request has: all of the budget during an outage, since one sender probes."""
        if self.down:
            return 1.0
        return self.demand


def unused_health(now: float, dest: int) -> DestinationHealth:
    """Return the health of a destination that this sender has no messages for."""
    return DestinationHealth(
        dest,
        down=False,
        in_slow_start=False,
        slow_start_since=now,
        last_success_at=-math.inf,
        last_failure_at=-math.inf,
        last_attempt_at=-math.inf,
        probe_in_flight=False,
        demand=0.0,
        slow_start_rate=0.0,
    )


class IssuedQuota(NamedTuple):
    """A quota that the policy was given, and until when."""

    amount: float
    until: float


# Differs from every quota that can be issued.
NO_QUOTA_ISSUED = IssuedQuota(-1.0, -math.inf)


@dataclass(slots=True)
class ProbedDestination:
    """One destination that is down, recovering, or of concern to other senders."""

    lease_holder: LeaseHolder
    coordinator: str = ""
    # When it was last down or in slow start here.
    last_unhealthy_at: float = -math.inf
    last_request_at: float = -math.inf
    last_response_at: float = -math.inf
    # The newest request that was answered.
    last_answered_seq: int = 0
    # The coordinator's verdict.
    down: bool = False
    # Whether the coordinator sees no outage or recovery: each sender then acts on its own.
    uncoordinated: bool = False
    # Whether no coordinator answers: this sender acts on its own, within its own quota.
    standalone: bool = False
    refuting_until: float = -math.inf
    # The state in the last request.
    reported_state: ReportedState = ReportedState.UNKNOWN
    # When this sender's turn to probe began; none outside a turn.
    turn_started_at: float | None = None
    # When the next turn begins while no coordinator decides that.
    next_turn_at: float | None = None
    # The longest retry-after that the coordinator was sent.
    reported_retry_after_until: float = -math.inf
    last_quota: IssuedQuota = NO_QUOTA_ISSUED


@dataclass(frozen=True, slots=True)
class ReceivedAnnouncement:
    """A coordinator's announcement, and when it was received."""

    coordinator: str
    epoch: int
    announcement_number: int
    down: bool
    received_at: float
    # How long the slow-start budget is still shared; 0 where the coordinator has seen no outage.
    sharing_ms: float

    def supersedes(self, coordinator: str, epoch: int, announcement_number: int) -> bool:
        """Return whether it is as new as another announcement of the same coordinator, or newer."""
        return self.coordinator == coordinator and (self.epoch, self.announcement_number) >= (
            epoch,
            announcement_number,
        )


@dataclass(slots=True)
class ProbingActions:
    """What a tick or a packet results in."""

    # Requests to send, by coordinator.
    requests: dict[str, list[RequestRow]] = field(default_factory=dict)
    # Events for the policy.
    events: list[QuotaLeased | HealthReported | RetryAfterReceived] = field(default_factory=list)
    # Destinations that it is now this sender's turn to probe.
    started_turns: list[int] = field(default_factory=list)

    def issue_quota(
        self, now: float, dest: int, destination: ProbedDestination, quota: float, valid_ms: float
    ) -> None:
        """Give the policy a quota that differs from the last, or renew one that has less than half its time left."""
        last_amount, last_until = destination.last_quota
        if quota != last_amount or last_until - now < valid_ms / 2.0:
            destination.last_quota = IssuedQuota(quota, now + valid_ms)
            self.events.append(QuotaLeased(dest, quota, now + valid_ms))

    def revoke_quota(self, now: float, dest: int, destination: ProbedDestination) -> None:
        """Let the policy act on its own, if a quota that it was given is still valid."""
        if destination.last_quota.until > now:
            destination.last_quota = NO_QUOTA_ISSUED
            self.events.append(QuotaLeased(dest, 1.0, now))
