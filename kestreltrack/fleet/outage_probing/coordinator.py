"""The coordinator's side: whether a destination is down, whose turn it is to probe it, who may use how much after.

While a destination is down, all of the deposits here are granted to one sender at a time.  It gives the grant back
after one probe, and the next turn comes after `PROBE_TURN_MS`, or later where the pool allows fewer calls.
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

# A verdict is sent to all so many times: at a loss of 10% one member in a thousand misses it.
ANNOUNCEMENT_REPEATS = 3
ANNOUNCEMENT_REPEAT_MS = 200.0
# A retry-after is sent once: a member that misses it finds out by its own call.
RETRY_AFTER_REPEATS = 1
# Destinations that one coordinator has state of: memory is bounded, whatever is requested.
MAX_DESTINATIONS = 10_000
# A destination that nobody has sent a request about for so long is forgotten.
DESTINATION_RETENTION_MS = 2.0 * DOWN_REPORT_TTL_MS
# The sender that had the last turn lets the others go first for so long.
REPEATED_TURN_DELAY_MS = 2.0 * REQUEST_INTERVAL_MS
# Stands for a pool of no calls, so that the time between turns stays finite.
MIN_POOL_RATE_PER_S = 1e-3


@dataclass(slots=True)
class CoordinatedDestination:
    """One destination."""

    grantor: LeaseGrantor
    reports: OutageReports = field(default_factory=OutageReports)
    verdict: Verdict = Verdict.UNKNOWN
    # When it was up again after an outage.
    recovered_at: float = -math.inf
    # The sender whose turn it is, and the one that had the last turn; empty for none.
    turn_holder: str = ""
    last_turn_holder: str = ""
    next_turn_at: float = -math.inf
    last_request_at: float = 0.0
    # The newest announcement, and how often and when it is still to be sent.
    announcement_number: int = 0
    repeats_left: int = 0
    next_repeat_at: float = 0.0
    # The latest retry-after that a sender has reported.
    retry_after_until: float = -math.inf

    @property
    def down(self) -> bool:
        """Whether the verdict is that it is down."""
        return self.verdict is Verdict.DOWN

    def turn_holder_has_grant(self, now: float) -> bool:
        """Return whether the sender whose turn it is still has a grant."""
        return any(until > now for _, until in self.grantor.grants.get(self.turn_holder, ()))

    def grant_mode(self, now: float, sender: str) -> GrantMode:
        """Return how much a sender may be granted: a fair share, or during an outage everything in its turn."""
        if not self.down:
            return GrantMode.FAIR_SHARE
        if self.turn_holder not in ("", sender) and self.turn_holder_has_grant(now):
            return GrantMode.NOTHING
        # Else a sender that alone cannot reach the destination might have all the turns.
        repeated = self.last_turn_holder == sender and len(self.reports.down_reports) > 1
        delay_ms = REPEATED_TURN_DELAY_MS if repeated else 0.0
        return GrantMode.EXCLUSIVE if now >= self.next_turn_at + delay_ms else GrantMode.NOTHING

    def end_turn(self, now: float, slow_start_rate: float) -> None:
        """End the present turn; the next comes as the pool allows."""
        pool_rate = slow_start_rate * self.grantor.available_pool(now)
        self.last_turn_holder = self.turn_holder
        self.turn_holder = ""
        self.next_turn_at = now + max(PROBE_TURN_MS, 1000.0 / max(pool_rate, MIN_POOL_RATE_PER_S))


class ProbingCoordinator:
    """All destinations that this member coordinates."""

    def __init__(self, epoch: int, parameters: QuotaLeaseParameters | None = None) -> None:
        """Begin without a destination.

        Args:
            epoch: The start of this process; a later process of the same name has a larger one.
            parameters: Lease parameters, which all senders must have alike.
        """
        self.epoch = epoch
        self.parameters = parameters or QuotaLeaseParameters()
        self.destinations: dict[int, CoordinatedDestination] = {}
        # The numbers are the process's, not the destination's: after it was forgotten they go on.
        self._announcement_number = 0
        self._response_number = 0

    # Requests ------------------------------------------------------------------------------------

    def handle_request(self, now: float, sender: str, row: RequestRow) -> ResponseRow | None:
        """Take a sender's report and request, and return the response.

        Returns none for a request that is older than another of that sender, or beyond `MAX_DESTINATIONS`.
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
        """Return the state of a destination, new where there was none; none beyond the limit."""
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
        # While there are no deposits yet (this process is new) all use their own reserve: else nobody would probe.
        takes_turns = destination.down and grantor.available_pool(now) > 0.0
        sharing_over = now - destination.recovered_at > RECOVERY_SHARING_MS
        return ResponseRow(
            row.dest,
            response.seq,
            response.epoch,
            response.response_number,
            min(1.0, response.grant),
            down=takes_turns,
            uncoordinated=not destination.down and sharing_over,
        )

    # Announcements -------------------------------------------------------------------------------

    def _schedule_announcement(self, now: float, destination: CoordinatedDestination, repeats: int) -> None:
        self._announcement_number += 1
        destination.announcement_number = self._announcement_number
        destination.repeats_left = max(destination.repeats_left, repeats)
        destination.next_repeat_at = now

    def due_announcements(self, now: float) -> list[AnnouncementRow]:
        """Return what all members have to be sent now; to be called ten times a second."""
        rows = list[AnnouncementRow]()
        for dest, destination in list(self.destinations.items()):
            self._update_verdict(now, destination)
            if destination.repeats_left and now >= destination.next_repeat_at:
                destination.repeats_left -= 1
                destination.next_repeat_at = now + ANNOUNCEMENT_REPEAT_MS
                rows.append(self._announcement(now, dest, destination))
            unused = now - destination.last_request_at > DESTINATION_RETENTION_MS
            if unused and not destination.repeats_left:
                del self.destinations[dest]
        return rows

    def outage_announcements(self, now: float) -> list[AnnouncementRow]:
        """Return what a new member has to be sent: the newest announcement about each destination that is down."""
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
