"""The coordinator's role: decides whether a destination is down, who probes it next, and how its quota is shared.

While a destination is down, the coordinator grants all deposits to one sender at a time.  That sender returns the
grant after one probe.  The next turn starts after `PROBE_TURN_MS`, or later if the pool allows fewer calls.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from kestreltrack.fleet.outage_probing.outage_verdict import (
    DOWN_REPORT_TTL_MS,
    OutageReports,
    Verdict,
)
from kestreltrack.fleet.outage_probing.timing import (
    MIN_RETRY_AFTER_MS,
    PROBE_TURN_MS,
    RECOVERY_SHARING_MS,
    REQUEST_INTERVAL_MS,
)
from kestreltrack.fleet.outage_probing.wire import AnnouncementRow, RequestRow, ResponseRow, age_ms
from kestreltrack.fleet.quota_leases import GrantMode, LeaseGrantor, QuotaLeaseParameters

# How often a verdict is sent to all members: at 10% packet loss, one member in a thousand misses all copies.
ANNOUNCEMENT_REPEATS = 3
ANNOUNCEMENT_REPEAT_MS = 200.0
# A retry-after is sent once: a member that misses it receives it in response to its own call.
RETRY_AFTER_REPEATS = 1
# Limit on the destinations that one coordinator tracks, so that requests cannot exhaust its memory.
MAX_DESTINATIONS = 10_000
# State of a destination is dropped after this time without a request.
DESTINATION_RETENTION_MS = 2.0 * DOWN_REPORT_TTL_MS
# Extra delay before the sender that had the last turn may have the next one, so that others go first.
REPEATED_TURN_DELAY_MS = 2.0 * REQUEST_INTERVAL_MS
# Lower bound on the pool's call rate: keeps the time between turns finite when the pool is empty.
MIN_POOL_RATE_PER_S = 1e-3


@dataclass(slots=True)
class CoordinatedDestination:
    """The coordinator's state of one destination."""

    grantor: LeaseGrantor
    reports: OutageReports = field(default_factory=OutageReports)
    verdict: Verdict = Verdict.UNKNOWN
    # When the last outage ended.
    recovered_at: float = -math.inf
    # The sender whose turn it is, and the sender that had the previous turn; empty if there is none.
    turn_holder: str = ""
    last_turn_holder: str = ""
    next_turn_at: float = -math.inf
    last_request_at: float = 0.0
    # Number of the newest announcement, how many more times it is sent, and when next.
    announcement_number: int = 0
    repeats_left: int = 0
    next_repeat_at: float = 0.0
    # The latest end of a retry-after that any sender has reported.
    retry_after_until: float = -math.inf

    @property
    def down(self) -> bool:
        """Whether the current verdict is `DOWN`."""
        return self.verdict is Verdict.DOWN

    def turn_holder_has_grant(self, now: float) -> bool:
        """Return whether the sender whose turn it is holds an unexpired grant."""
        return any(until > now for _, until in self.grantor.grants.get(self.turn_holder, ()))

    def grant_mode(self, now: float, sender: str) -> GrantMode:
        """Return the grant mode for a sender: a fair share, or in an outage all or nothing, depending on turns."""
        if not self.down:
            return GrantMode.FAIR_SHARE
        if self.turn_holder not in ("", sender) and self.turn_holder_has_grant(now):
            return GrantMode.NOTHING
        # Otherwise a sender whose own network is broken could take every turn.
        repeated = self.last_turn_holder == sender and len(self.reports.down_reports) > 1
        delay_ms = REPEATED_TURN_DELAY_MS if repeated else 0.0
        return GrantMode.EXCLUSIVE if now >= self.next_turn_at + delay_ms else GrantMode.NOTHING

    def end_turn(self, now: float, slow_start_rate: float) -> None:
        """End the current turn and schedule the next one at the rate that the pool allows."""
        pool_rate = slow_start_rate * self.grantor.available_pool(now)
        self.last_turn_holder = self.turn_holder
        self.turn_holder = ""
        self.next_turn_at = now + max(PROBE_TURN_MS, 1000.0 / max(pool_rate, MIN_POOL_RATE_PER_S))


class ProbingCoordinator:
    """Handles requests and sends announcements for all destinations that this member coordinates."""

    def __init__(self, epoch: int, parameters: QuotaLeaseParameters | None = None) -> None:
        """Start without destinations.

        Args:
            epoch: Start time of this process; a later process of the same name has a larger epoch.
            parameters: Lease parameters, which must be the same for all senders.
        """
        self.epoch = epoch
        self.parameters = parameters or QuotaLeaseParameters()
        self.destinations: dict[int, CoordinatedDestination] = {}
        # Counted for the whole process: the numbers keep increasing after a destination is dropped and added again.
        self._announcement_number = 0
        self._response_number = 0

    # Requests ------------------------------------------------------------------------------------

    def handle_request(self, now: float, sender: str, row: RequestRow) -> ResponseRow | None:
        """Record a sender's report and return the response to its request.

        Returns `None` if a newer request of that sender was handled before, or above `MAX_DESTINATIONS`.
        """
        destination = self._destination(row.dest)
        if destination is None or row.seq <= destination.grantor.latest_request.get(sender, 0):
            return None
        destination.last_request_at = now
        destination.reports.record(now, sender, row)
        self._record_retry_after(now, destination, row.retry_after_ms)
        self._update_verdict(now, destination)
        if destination.turn_holder == sender and row.demand <= 0.0:
            destination.end_turn(now, row.slow_start_rate)
        return self._respond(now, sender, destination, row)

    def _destination(self, dest: int) -> CoordinatedDestination | None:
        """Return the state of a destination, created if missing; `None` above `MAX_DESTINATIONS`."""
        destination = self.destinations.get(dest)
        if destination is None:
            if len(self.destinations) >= MAX_DESTINATIONS:
                return None
            grantor = LeaseGrantor(self.parameters, self.epoch, self._response_number)
            destination = CoordinatedDestination(grantor)
            self.destinations[dest] = destination
        return destination

    def _record_retry_after(
        self, now: float, destination: CoordinatedDestination, retry_after_ms: float
    ) -> None:
        until = now + retry_after_ms
        if until >= max(now, destination.retry_after_until) + MIN_RETRY_AFTER_MS:
            destination.retry_after_until = until
            self._schedule_announcement(now, destination, RETRY_AFTER_REPEATS)

    def _update_verdict(self, now: float, destination: CoordinatedDestination) -> None:
        destination.reports.discard_expired(now)
        previous = destination.verdict
        verdict = destination.reports.verdict(previous)
        if verdict is previous:
            return
        if previous is Verdict.DOWN:
            destination.recovered_at = destination.reports.up_since()
        if Verdict.DOWN in (previous, verdict):
            self._schedule_announcement(now, destination, ANNOUNCEMENT_REPEATS)
        destination.verdict = verdict
        destination.turn_holder = ""

    def _respond(
        self, now: float, sender: str, destination: CoordinatedDestination, row: RequestRow
    ) -> ResponseRow:
        grantor = destination.grantor
        mode = destination.grant_mode(now, sender)
        response = grantor.handle_request(now, sender, row.to_lease_request(), mode)
        assert response
        self._response_number = max(self._response_number, response.response_number)
        if destination.down and response.grant > 0.0:
            destination.turn_holder = sender
        # A new coordinator has no deposits yet.  Until it has, senders probe on their reserves: otherwise none would.
        turns_in_effect = destination.down and grantor.available_pool(now) > 0.0
        sharing_over = now - destination.recovered_at > RECOVERY_SHARING_MS
        return ResponseRow(
            row.dest,
            response.seq,
            response.epoch,
            response.response_number,
            min(1.0, response.grant),
            down=turns_in_effect,
            uncoordinated=not destination.down and sharing_over,
        )

    # Announcements -------------------------------------------------------------------------------

    def _schedule_announcement(self, now: float, destination: CoordinatedDestination, repeats: int) -> None:
        self._announcement_number += 1
        destination.announcement_number = self._announcement_number
        destination.repeats_left = max(destination.repeats_left, repeats)
        destination.next_repeat_at = now

    def due_announcements(self, now: float) -> list[AnnouncementRow]:
        """Return the announcements that are due to all members; the caller polls ten times a second."""
        rows = list[AnnouncementRow]()
        for dest, destination in list(self.destinations.items()):
            self._update_verdict(now, destination)
            if destination.repeats_left and now >= destination.next_repeat_at:
                destination.repeats_left -= 1
                destination.next_repeat_at = now + ANNOUNCEMENT_REPEAT_MS
                rows.append(self._announcement(now, dest, destination))
            is_idle = now - destination.last_request_at > DESTINATION_RETENTION_MS
            if is_idle and not destination.repeats_left:
                del self.destinations[dest]
        return rows

    def outage_announcements(self, now: float) -> list[AnnouncementRow]:
        """Return the newest announcement of each destination that is down, for a member that has joined."""
        return [
            self._announcement(now, dest, destination)
            for dest, destination in self.destinations.items()
            if destination.down
        ]

    def _announcement(self, now: float, dest: int, destination: CoordinatedDestination) -> AnnouncementRow:
        down: bool | None = None
        observation_age_ms = 0.0
        up_age_ms = 0.0
        match destination.verdict:
            case Verdict.DOWN:
                down = True
                observation_age_ms = age_ms(now, destination.reports.last_failure_at(default=now))
            case Verdict.UP:
                down = False
                observation_age_ms = age_ms(now, destination.reports.last_success_at())
                up_age_ms = age_ms(now, destination.reports.up_since())
        return AnnouncementRow(
            dest,
            self.epoch,
            destination.announcement_number,
            down,
            observation_age_ms,
            up_age_ms,
            age_ms(destination.retry_after_until, now),
        )
