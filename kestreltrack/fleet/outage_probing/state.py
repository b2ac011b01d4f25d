"""A participant's state of a destination, and the actions that it returns."""

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
    """The policy's view of one destination; times are milliseconds of this sender's clock."""

    dest: int
    # Whether there has been an outage without a success since.
    down: bool
    in_slow_start: bool
    slow_start_since: float
    last_success_at: float
    last_failure_at: float
    last_attempt_at: float
    # Whether a half-open trial call is in flight and not overdue.
    probe_in_flight: bool
    # Fraction of the slow-start budget that this sender could use, 0 to 1.
    demand: float
    # The slow-start budget of the whole fleet, in calls a second.
    slow_start_rate: float
    # End of the latest retry-after that this sender has received.
    retry_after_until: float = -math.inf

    def reported_state(self, now: float) -> ReportedState:
        """Return the state that this sender reports to the coordinator."""
        if self.down:
            return ReportedState.DOWN
        if now - self.last_success_at < SUCCESS_FRESH_MS:
            return ReportedState.UP
        return ReportedState.UNKNOWN

    def useful_quota(self) -> float:
        """Return the demand for a request: the whole budget during an outage, since one sender probes at a time."""
        if self.down:
            return 1.0
        return self.demand


def idle_destination_health(now: float, dest: int) -> DestinationHealth:
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
    """A quota that was issued to the policy, and when it expires."""

    amount: float
    until: float


# Compares unequal to any quota that can be issued.
NO_QUOTA_ISSUED = IssuedQuota(-1.0, -math.inf)


@dataclass(slots=True)
class ProbedDestination:
    """A participant's state of a destination that is down or recovering, here or for other senders."""

    lease_holder: LeaseHolder
    coordinator: str = ""
    # When the destination was last down or in slow start for this sender.
    last_unhealthy_at: float = -math.inf
    last_request_at: float = -math.inf
    last_response_at: float = -math.inf
    # Sequence number of the newest request that was answered.
    last_answered_seq: int = 0
    # Whether the coordinator says that the destination is down and turns are in effect.
    down: bool = False
    # Whether the coordinator knows of no outage or recovery, so that each sender acts on its own.
    uncoordinated: bool = False
    # Whether no coordinator answers, so that this sender acts on its own within its own quota.
    standalone: bool = False
    # Until when this sender keeps reporting its successes after it refuted an announced outage.
    refuting_until: float = -math.inf
    # The state in the last request.
    reported_state: ReportedState = ReportedState.UNKNOWN
    # When this sender's current turn started; `None` outside a turn.
    turn_started_at: float | None = None
    # When the next turn starts if no coordinator schedules the turns.
    next_turn_at: float | None = None
    # End of the latest retry-after that was reported to the coordinator.
    reported_retry_after_until: float = -math.inf
    last_quota: IssuedQuota = NO_QUOTA_ISSUED


@dataclass(frozen=True, slots=True)
class ReceivedAnnouncement:
    """A coordinator's announcement and the time when it was received."""

    coordinator: str
    epoch: int
    announcement_number: int
    down: bool
    received_at: float
    # How long the slow-start budget is shared from then on; 0 if the coordinator has seen no outage.
    sharing_ms: float

    def is_at_least_as_new_as(self, coordinator: str, epoch: int, announcement_number: int) -> bool:
        """Return whether it is at least as new as another announcement of the same coordinator."""
        return self.coordinator == coordinator and (self.epoch, self.announcement_number) >= (
            epoch,
            announcement_number,
        )


@dataclass(slots=True)
class ProbingActions:
    """Requests to send and events for the policy that a tick or a packet results in."""

    # Requests to send, by coordinator.
    requests: dict[str, list[RequestRow]] = field(default_factory=dict)
    # Events for the policy.
    events: list[QuotaLeased | HealthReported | RetryAfterReceived] = field(default_factory=list)
    # Destinations for which this sender's turn to probe has just started.
    started_turns: list[int] = field(default_factory=list)

    def issue_quota(
        self, now: float, dest: int, destination: ProbedDestination, quota: float, valid_ms: float
    ) -> None:
        """Issue a quota to the policy if the amount has changed or less than half of its validity is left."""
        last_amount, last_until = destination.last_quota
        if quota != last_amount or last_until - now < valid_ms / 2.0:
            destination.last_quota = IssuedQuota(quota, now + valid_ms)
            self.events.append(QuotaLeased(dest, quota, now + valid_ms))

    def revoke_quota(self, now: float, dest: int, destination: ProbedDestination) -> None:
        """Let the policy act on its own if the last quota issued to it is still valid."""
        if destination.last_quota.until > now:
            destination.last_quota = NO_QUOTA_ISSUED
            self.events.append(QuotaLeased(dest, 1.0, now))
