"""The sender's role in coordinated probing: turns to probe a destination that is down, and quotas while it recovers.

`ProbingParticipant.tick` takes the health of the destinations as seen by the policy, and returns requests for
coordinators and events for the policy.  Without a recent response a sender acts on its own, as one of N senders that
do not communicate, within its own quota of the slow-start budget.  It starts at a random time, because all senders
that lose a coordinator lose it at the same time.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Sequence

from kestreltrack.decision import HealthReported, QuotaLeased, RetryAfterReceived
from kestreltrack.fleet.outage_probing.probe_turns import (
    MIN_QUOTA,
    TurnChange,
    advance_turn,
    turn_interval_ms,
)
from kestreltrack.fleet.outage_probing.request_rows import RequestContent, request_row, retry_after_content
from kestreltrack.fleet.outage_probing.state import (
    DestinationHealth,
    ProbedDestination,
    ProbingActions,
    ReceivedAnnouncement,
    idle_destination_health,
)
from kestreltrack.fleet.outage_probing.timing import (
    ANNOUNCEMENT_RETENTION_MS,
    DEPOSIT_INTERVAL_MS,
    MIN_RETRY_AFTER_MS,
    QUOTA_VALID_MS,
    RECOVERY_SHARING_MS,
    RECOVERY_TAIL_MS,
    REFUTATION_MS,
    REQUEST_INTERVAL_MS,
    SUCCESS_FRESH_MS,
)
from kestreltrack.fleet.outage_probing.wire import (
    MAX_AGE_MS,
    AnnouncementRow,
    ResponseRow,
    coordinator_of,
)
from kestreltrack.fleet.quota_leases import LeaseHolder, QuotaLeaseParameters

__all__ = ["DestinationHealth", "ProbingActions", "ProbingParticipant"]


class ProbingParticipant:
    """The participant role of one sender, for all destinations."""

    def __init__(
        self, started_at: float, seq: int, seed: int, parameters: QuotaLeaseParameters | None = None
    ) -> None:
        """Start without destinations.

        Args:
            started_at: Start time of this process on its own clock, in milliseconds.
            seq: Must be larger than the sequence numbers of all earlier processes: use the process start time.
            seed: Seed of all random choices.
            parameters: Lease parameters, which must be the same for all senders.
        """
        self.parameters = parameters or QuotaLeaseParameters()
        self.started_at = started_at
        self.seq = seq
        self.random = random.Random(seed)
        self.destinations: dict[int, ProbedDestination] = {}
        # The keys are the names of the exported gauges.
        self.counts = {
            "turns": 0,
            "asks": 0,
            "alone": 0,
            "words": 0,
            "words_dropped": 0,
            "refuted": 0,
            "waits": 0,
        }
        # The newest announcement about each destination.
        self._announcements: dict[int, ReceivedAnnouncement] = {}
        self._member_names: list[str] = []
        self._own_quota = 1.0

    # Ticks ---------------------------------------------------------------------------------------

    def tick(
        self,
        now: float,
        health_reports: Iterable[DestinationHealth],
        member_names: Sequence[str] | None,
        own_quota: float,
    ) -> ProbingActions:
        """Return the requests and events that are due; the caller ticks ten times a second.

        Args:
            now: Current time of this sender's clock in milliseconds.
            health_reports: Health of the destinations that have messages here and are down, in slow start, or in
                `destinations`.
            member_names: The members of the fleet, or `None` while they are unknown.
            own_quota: This sender's fraction of each slow-start budget: one divided by the number of senders.
        """
        actions = ProbingActions()
        self._own_quota = own_quota
        self._member_names = list(member_names or ())
        reports = {health.dest: health for health in health_reports}
        coordinated = {dest for dest, health in reports.items() if self._needs_coordination(now, health)}
        for dest, health in reports.items():
            if dest in coordinated:
                self._coordinate(now, health, actions)
        for health in reports.values():
            self._forward_retry_after(now, health, actions)
        for dest in [dest for dest in self.destinations if dest not in coordinated]:
            self._deposit_or_release(now, dest, dest in reports, actions)
        self._forget_old_announcements(now)
        return actions

    def stop(self, now: float) -> ProbingActions:
        """Revoke all quotas when this process stops: the next process of the same name may use them from now on."""
        until = now + self.parameters.deposit_ms
        return ProbingActions(events=[QuotaLeased(dest, 0.0, until) for dest in self.destinations])

    def _needs_coordination(self, now: float, health: DestinationHealth) -> bool:
        if health.down or health.in_slow_start:
            return True
        destination = self.destinations.get(health.dest)
        return destination is not None and now < max(
            destination.last_unhealthy_at + RECOVERY_TAIL_MS, destination.refuting_until
        )

    def _coordinate(self, now: float, health: DestinationHealth, actions: ProbingActions) -> None:
        """Issue the quota for a destination to the policy, and send a request if one is due."""
        destination = self._destination(now, health.dest, health.slow_start_rate)
        if health.down or health.in_slow_start:
            destination.last_unhealthy_at = now
        self._update_standalone(now, destination, health)
        if destination.standalone or (destination.last_answered_seq and not destination.uncoordinated):
            quota = self._advance_turn(now, destination, health, actions)
            actions.issue_quota(now, health.dest, destination, quota, QUOTA_VALID_MS)
        else:
            # The policy acts on its own until the coordinator has answered, and while it knows of no outage.
            destination.turn_started_at = None
            actions.revoke_quota(now, health.dest, destination)
        state_changed = health.reported_state(now) is not destination.reported_state
        if state_changed or now - destination.last_request_at >= REQUEST_INTERVAL_MS:
            self._add_request(now, destination, health, health.useful_quota(), actions)

    def _advance_turn(
        self, now: float, destination: ProbedDestination, health: DestinationHealth, actions: ProbingActions
    ) -> float:
        """Return the quota that the policy may use; record a started turn, and return the grant of an ended one."""
        result = advance_turn(now, destination, health)
        if result.change is TurnChange.STARTED:
            self.counts["turns"] += 1
            actions.started_turns.append(health.dest)
        elif result.change is TurnChange.RETURNED:
            self._add_request(now, destination, health, 0.0, actions)
        return result.quota

    def _destination(self, now: float, dest: int, slow_start_rate: float) -> ProbedDestination:
        destination = self.destinations.get(dest)
        if destination is None:
            holder = LeaseHolder(self.parameters, self._own_quota, self.started_at, seq=self.seq)
            # Counts as a response, so that the coordinator has time to answer before this sender acts on its own.
            destination = ProbedDestination(holder, last_response_at=now)
            destination.next_turn_at = self._random_turn_at(now, slow_start_rate)
            self.destinations[dest] = destination
        destination.lease_holder.own_quota = self._own_quota
        return destination

    def _random_turn_at(self, now: float, slow_start_rate: float) -> float:
        """Return a random time within one turn interval of a sender that acts on its own."""
        return now + self.random.random() * turn_interval_ms(slow_start_rate * self._own_quota)

    def _update_standalone(
        self, now: float, destination: ProbedDestination, health: DestinationHealth
    ) -> None:
        """Let this sender act on its own, from a random time on, once no coordinator answers."""
        standalone = now - destination.last_response_at > self.parameters.grant_ms
        if standalone and not destination.standalone:
            self.counts["alone"] += 1
            destination.next_turn_at = self._random_turn_at(now, health.slow_start_rate)
        destination.standalone = standalone

    def _forward_retry_after(self, now: float, health: DestinationHealth, actions: ProbingActions) -> None:
        """Forward a retry-after that this sender has received to the coordinator, which announces it to all."""
        if health.retry_after_until - now < MIN_RETRY_AFTER_MS:
            return
        destination = self._destination(now, health.dest, health.slow_start_rate)
        if health.retry_after_until < destination.reported_retry_after_until + MIN_RETRY_AFTER_MS:
            return
        destination.reported_retry_after_until = health.retry_after_until
        # A request sent in this tick already contains it.
        if destination.last_request_at < now:
            content = retry_after_content(health)
            self._add_request_with_state(now, destination, health, content, actions)

    def _deposit_or_release(
        self, now: float, dest: int, locally_healthy: bool, actions: ProbingActions
    ) -> None:
        """Release a destination that needs no coordination here, unless other senders can use this sender's quota."""
        if locally_healthy or not self._deposit_unused_quota(now, dest, actions):
            self._release(now, dest, actions)

    def _deposit_unused_quota(self, now: float, dest: int, actions: ProbingActions) -> bool:
        """Deposit the quota of a destination that was announced as down or recovering; return whether it was."""
        announcement = self._announcements.get(dest)
        destination = self.destinations[dest]
        if announcement is None or destination.standalone:
            return False
        retention_ms = ANNOUNCEMENT_RETENTION_MS if announcement.down else announcement.sharing_ms
        if now - announcement.received_at > retention_ms:
            return False
        last_contact_at = max(destination.last_response_at, announcement.received_at)
        destination.standalone = now - last_contact_at > self.parameters.deposit_ms
        if now - destination.last_request_at >= DEPOSIT_INTERVAL_MS:
            self._add_request(now, destination, idle_destination_health(now, dest), 0.0, actions)
        # A message for it may arrive at any time, and the policy must already have its quota then.
        usable = destination.lease_holder.usable_quota(now)
        quota = 0.0 if announcement.down else max(MIN_QUOTA, usable)
        actions.issue_quota(now, dest, destination, quota, 2.0 * DEPOSIT_INTERVAL_MS)
        return True

    def _release(self, now: float, dest: int, actions: ProbingActions) -> None:
        """Return the grant of a healthy destination, and drop its state once no coordinator can hold a deposit."""
        destination = self.destinations[dest]
        holder = destination.lease_holder
        actions.revoke_quota(now, dest, destination)
        if holder.granted_amount(now) > 0.0:
            self._add_request(now, destination, idle_destination_health(now, dest), 0.0, actions)
        elif (
            holder.deposited_amount(now) <= 0.0
            and now - destination.last_request_at > self.parameters.deposit_ms
        ):
            del self.destinations[dest]

    def _forget_old_announcements(self, now: float) -> None:
        self._announcements = {
            dest: announcement
            for dest, announcement in self._announcements.items()
            if now - announcement.received_at < ANNOUNCEMENT_RETENTION_MS
        }

    # Requests and responses ----------------------------------------------------------------------

    def _add_request(
        self,
        now: float,
        destination: ProbedDestination,
        health: DestinationHealth,
        demand: float,
        actions: ProbingActions,
    ) -> None:
        """Add a request with this sender's report to the coordinator, if one is known."""
        self._add_request_with_state(
            now, destination, health, RequestContent(health.reported_state(now), demand), actions
        )

    def _add_request_with_state(
        self,
        now: float,
        destination: ProbedDestination,
        health: DestinationHealth,
        content: RequestContent,
        actions: ProbingActions,
    ) -> None:
        coordinator = coordinator_of(health.dest, self._member_names)
        if not coordinator:
            return
        if coordinator != destination.coordinator:
            destination.coordinator = coordinator
            destination.down = False
        demand = min(1.0, max(0.0, content.demand))
        request = destination.lease_holder.make_request(now, coordinator, demand)
        self.seq = max(self.seq, request.seq)
        destination.last_request_at = now
        destination.reported_state = content.state
        self.counts["asks"] += 1
        actions.requests.setdefault(coordinator, []).append(request_row(now, health, content.state, request))

    def handle_response(self, now: float, coordinator: str, row: ResponseRow) -> None:
        """Apply a response of the current coordinator; ignore one that is late or from another member."""
        destination = self.destinations.get(row.dest)
        if destination is None or coordinator != destination.coordinator:
            return
        if row.seq < destination.last_answered_seq:
            return
        holder = destination.lease_holder
        requested_at = holder.pending_requests.get(row.seq, -math.inf)
        if now - requested_at > self.parameters.grant_ms:
            return
        previous_epoch = holder.epoch
        holder.handle_response(now, coordinator, row.to_lease_response())
        destination.last_response_at = now
        destination.last_answered_seq = row.seq
        destination.down = row.down
        destination.uncoordinated = row.uncoordinated
        if holder.epoch != previous_epoch:
            # The coordinator now knows this sender.  Deposits count from the next request on, so send it at once.
            destination.last_request_at = -math.inf

    # Announcements -------------------------------------------------------------------------------

    def handle_announcement(
        self,
        now: float,
        coordinator: str,
        row: AnnouncementRow,
        read_health: Callable[[int], DestinationHealth | None],
    ) -> ProbingActions:
        """Apply a coordinator's announcement if it is the newest one of the current coordinator.

        An announced outage is refuted if this sender has had a recent success.  An announcement is ignored if
        `read_health` returns `None`: the policy does not know the destination, or its endpoints fail independently.
        """
        actions = ProbingActions()
        health = read_health(row.dest)
        if health is None:
            return actions
        if self._is_stale(coordinator, row):
            self.counts["words_dropped"] += 1
            return actions
        refuted = bool(row.down) and not health.down and now - health.last_success_at < SUCCESS_FRESH_MS
        self._record_announcement(now, coordinator, row, refuted)
        destination = self._destination(now, row.dest, health.slow_start_rate)
        destination.standalone = False
        self._receive_retry_after(now, row, health, actions)
        if refuted:
            self._refute(now, destination, health, actions)
        elif row.down is not None:
            self._accept_verdict(now, destination, row, row.down, actions)
        return actions

    def _is_stale(self, coordinator: str, row: AnnouncementRow) -> bool:
        known = self._announcements.get(row.dest)
        if known and known.is_at_least_as_new_as(coordinator, row.epoch, row.announcement_number):
            return True
        return coordinator != coordinator_of(row.dest, self._member_names)

    def _record_announcement(self, now: float, coordinator: str, row: AnnouncementRow, refuted: bool) -> None:
        recovered = row.down is False and row.up_age_ms < MAX_AGE_MS
        self._announcements[row.dest] = ReceivedAnnouncement(
            coordinator,
            row.epoch,
            row.announcement_number,
            down=bool(row.down) and not refuted,
            received_at=now,
            sharing_ms=RECOVERY_SHARING_MS if recovered else 0.0,
        )
        self.counts["words"] += 1

    def _receive_retry_after(
        self, now: float, row: AnnouncementRow, health: DestinationHealth, actions: ProbingActions
    ) -> None:
        until = now + row.retry_after_ms
        if row.retry_after_ms > 0.0 and health.retry_after_until < until - MIN_RETRY_AFTER_MS:
            self.counts["waits"] += 1
            actions.events.append(RetryAfterReceived(row.dest, until, rejected=False))

    def _accept_verdict(
        self,
        now: float,
        destination: ProbedDestination,
        row: AnnouncementRow,
        down: bool,
        actions: ProbingActions,
    ) -> None:
        """Pass the announced health to the policy, without quota during an outage until this sender's turn."""
        event = HealthReported(row.dest, not down, now - row.observation_age_ms, now - row.up_age_ms)
        actions.events.append(event)
        if down and destination.turn_started_at is None:
            actions.issue_quota(now, row.dest, destination, 0.0, QUOTA_VALID_MS)

    def _refute(
        self, now: float, destination: ProbedDestination, health: DestinationHealth, actions: ProbingActions
    ) -> None:
        """Report this sender's recent success to the coordinator instead of accepting the announced outage."""
        self.counts["refuted"] += 1
        destination.refuting_until = now + REFUTATION_MS
        destination.uncoordinated = True
        demand = health.demand if health.in_slow_start else 0.0
        self._add_request(now, destination, health, demand, actions)
