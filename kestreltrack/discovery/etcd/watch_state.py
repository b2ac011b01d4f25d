"""The state machine that lists and watches the keys of a prefix, and selects the member of the cluster to use.

It performs no I/O: clock readings, responses and failures are its input, the next step and updates its output
(`source` performs the steps).  Times are milliseconds of one monotonic clock.

| phase | input | next phase | delivered update |
| --- | --- | --- | --- |
| BACKOFF | delay elapsed, the local state can be resumed | OPENING at the selected member | |
| BACKOFF | delay elapsed, no local state, or it cannot be resumed | LISTING | |
| LISTING | a page, more to come | LISTING at the same revision | |
| LISTING | the last page | OPENING | the complete content |
| LISTING | compacted, another cluster | BACKOFF, then LISTING from the beginning, same member | |
| OPENING | created | WATCHING | |
| OPENING, WATCHING | compacted, another cluster, a revision that regressed | BACKOFF, then LISTING | |
| WATCHING | the last fragment of a batch of events | WATCHING | those not delivered before |
| WATCHING | timeout, lag, no leader, cancelled | BACKOFF, then another member | |
| any | the connection broke | BACKOFF, then another member | |

**Freshness.** An open connection does not show that the watch is up to date, and a progress response shows only what
that member knows.  The watch is therefore confirmed periodically: a linearizable read through the same member returns
a revision that the cluster has committed, and the watch has to reach that revision, by events or a progress response,
within `response_timeout_ms`.  The age of the local state is the time since the last listing or confirmed read began.

`reconnection` determines the spread, the backoff and the rate limit of reconnections.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from kestreltrack.discovery.etcd.errors import FailureReason
from kestreltrack.discovery.etcd.reconnection import NEVER, MemberSelector, OpenBudget
from kestreltrack.discovery.etcd.watch_types import (
    CloseWatch,
    ConfirmRevision,
    KeyChange,
    OpenWatch,
    PrefixUpdate,
    ReadPage,
    RequestProgress,
    Step,
    Wait,
    WatchAction,
    WatchParameters,
    WatchPhase,
    WatchResponse,
)

# How often a watch that has not reached a confirmed revision is asked for its progress before it times out.
PROGRESS_REQUESTS_PER_TIMEOUT = 5


@dataclass(frozen=True, slots=True)
class _PendingConfirmation:
    """A committed revision that the watch has not reached yet.

    Attributes:
        revision: The revision that the confirming read returned.
        read_started_at: When that read began.
        received_at: When that read returned.
    """

    revision: int
    read_started_at: float
    received_at: float


class WatchStateMachine:
    """The state of the watch of one prefix.

    Attributes:
        parameters: The operator's settings.
        phase: The current phase.
        members: The selected member, and the backoff of each member.
        cluster_id: The id of the watched cluster; 0 while it is unknown.
        delivered_revision: The newest revision that was delivered completely.
        confirmed_at: The latest time at which the local state is known to have been up to date.
        event_counts: The numbers of failures and of repeated events, by the name of their counter.
    """

    def __init__(self, parameters: WatchParameters, rng: random.Random) -> None:
        """Start without local state; the first step begins a listing."""
        self.parameters = parameters
        self.phase = WatchPhase.BACKOFF
        self.members = MemberSelector(parameters, rng)
        self.cluster_id = 0
        self.delivered_revision = 0
        self.confirmed_at = NEVER
        self.event_counts: dict[str, int] = {}
        self._open_budget = OpenBudget(parameters)
        self._wait_until = NEVER
        # Whether a watch that starts after `delivered_revision` continues the local state.
        self._can_resume = False
        self._listed_keys = list[KeyChange]()
        # The revision of the listing; 0 before its first page.
        self._list_revision = 0
        self._list_started_at = NEVER
        # The changes of a batch whose last fragment has not been received yet.
        self._fragments = list[KeyChange]()
        # When the pending opening or confirming read began; `NEVER` if none is pending.
        self._request_started_at = NEVER
        self._next_confirmation_at = NEVER
        # `delivered_revision` when the confirming read began.
        self._revision_at_request = 0
        self._pending_confirmation: _PendingConfirmation | None = None
        self._next_progress_at = NEVER

    # Steps ---------------------------------------------------------------------------------------

    def next_step(self, now: float) -> Step:
        """Return the next step; called whenever the previous one has ended."""
        if self.phase is WatchPhase.BACKOFF:
            if now < self._wait_until:
                return Wait(self._wait_until - now)
            token_wait_ms = self._open_budget.take(now)
            if token_wait_ms > 0:
                return Wait(token_wait_ms)
            self.phase = WatchPhase.OPENING if self._can_resume else WatchPhase.LISTING
            self._discard_listing()
        if self.phase is WatchPhase.LISTING:
            return self._next_page(now)
        self.phase = WatchPhase.OPENING
        self._reset_watch()
        self._request_started_at = now
        return OpenWatch(self.members.current, self.delivered_revision + 1)

    def _next_page(self, now: float) -> ReadPage:
        if not self._list_revision:
            self._list_started_at = now
        after_key = self._listed_keys[-1].key if self._listed_keys else b""
        return ReadPage(self.members.current, after_key, self._list_revision)

    def _discard_listing(self) -> None:
        self._listed_keys = []
        self._list_revision = 0

    def _reset_watch(self) -> None:
        """Discard the state of one watch: fragments, and the pending request and confirmation."""
        self._fragments = []
        self._pending_confirmation = None
        self._request_started_at = NEVER

    # Listing -------------------------------------------------------------------------------------

    def page_received(
        self, cluster_id: int, revision: int, keys: tuple[KeyChange, ...], more: bool
    ) -> PrefixUpdate | None:
        """Handle a page of the listing; return the complete content after the last page.

        Args:
            cluster_id: The cluster's id in the header of the response.
            revision: The revision in the header of the response.
            keys: The keys of the page with their values.
            more: Whether there are further keys.
        """
        if not self._list_revision:
            self._begin_listing(cluster_id, revision)
        elif cluster_id != self.cluster_id:
            self._restart_listing(FailureReason.CLUSTER_CHANGED)
            return None
        self._listed_keys.extend(keys)
        if more and keys:
            return None
        return self._finish_listing()

    def _begin_listing(self, cluster_id: int, revision: int) -> None:
        self._list_revision = revision
        if self.cluster_id and cluster_id != self.cluster_id:
            self._count_failure(FailureReason.CLUSTER_CHANGED)
        elif revision < self.delivered_revision:
            self._count_failure(FailureReason.REVISION_REGRESSED)
        self.cluster_id = cluster_id

    def _finish_listing(self) -> PrefixUpdate:
        update = PrefixUpdate(self._list_revision, True, tuple(self._listed_keys))
        self.delivered_revision = self._list_revision
        self._can_resume = True
        self._listed_keys = []
        self.confirmed_at = max(self.confirmed_at, self._list_started_at)
        self.phase = WatchPhase.OPENING
        return update

    def _restart_listing(self, reason: FailureReason) -> None:
        """Restart the listing as soon as the rate limit allows, at the same member, because it has not failed."""
        self._count_failure(reason)
        self._can_resume = False
        self._reset_watch()
        self.phase = WatchPhase.BACKOFF
        self._wait_until = NEVER

    # Watching ------------------------------------------------------------------------------------

    def response_received(self, now: float, response: WatchResponse) -> PrefixUpdate | None:
        """Handle a response of the watch; return the changes to deliver, if any."""
        if response.cancelled is FailureReason.COMPACTED:
            self._restart_listing(FailureReason.COMPACTED)
            return None
        if response.cancelled is not None:
            self.step_failed(now, response.cancelled)
            return None
        if self.cluster_id and response.cluster_id != self.cluster_id:
            self._restart_listing(FailureReason.CLUSTER_CHANGED)
            return None
        if response.created:
            self._watch_created(now)
            return None
        return self._collect_changes(response)

    def _watch_created(self, now: float) -> None:
        # A low revision in this response does not show that the member lags, because the store itself may have been
        # restored to an older state.  The confirmation distinguishes the two.
        self.phase = WatchPhase.WATCHING
        self._next_confirmation_at = now
        self._request_started_at = NEVER

    def _collect_changes(self, response: WatchResponse) -> PrefixUpdate | None:
        if not response.changes and not self._fragments:
            self._advance_to(response.revision)
            return None
        self._fragments.extend(response.changes)
        if response.fragment:
            return None  # the next response may contain further changes of the same revision
        changes = self._fragments
        self._fragments = []
        return self._deliver_new_changes(changes)

    def _deliver_new_changes(self, changes: list[KeyChange]) -> PrefixUpdate | None:
        new_changes = tuple(change for change in changes if change.revision > self.delivered_revision)
        if len(new_changes) < len(changes):
            self._increment_count("repeated", len(changes) - len(new_changes))
        if not new_changes:
            return None
        self._advance_to(max(change.revision for change in new_changes))
        return PrefixUpdate(self.delivered_revision, False, new_changes)

    def _advance_to(self, revision: int) -> None:
        self.delivered_revision = max(self.delivered_revision, revision)
        pending = self._pending_confirmation
        if pending is not None and self.delivered_revision >= pending.revision:
            self._record_confirmation(pending.read_started_at)

    def _record_confirmation(self, read_started_at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, read_started_at)
        self._pending_confirmation = None
        self.members.record_success()

    # Confirmations -------------------------------------------------------------------------------

    def due_actions(self, now: float) -> list[WatchAction]:
        """Return the actions that are due while the watch is open.

        Called after each response or confirmation, and when `receive_timeout_ms` has elapsed.
        """
        self._check_timeouts(now)
        if self.phase is WatchPhase.OPENING:
            return []
        if self.phase is not WatchPhase.WATCHING:
            return [CloseWatch()]
        if self._pending_confirmation is not None:
            return self._due_progress_request(now)
        if self._request_started_at > NEVER or now < self._next_confirmation_at:
            return []
        self._request_started_at = now
        self._revision_at_request = self.delivered_revision
        return [ConfirmRevision(self.members.current)]

    def _check_timeouts(self, now: float) -> None:
        timeout_ms = self.parameters.response_timeout_ms
        pending = self._pending_confirmation
        if self._request_started_at > NEVER and now - self._request_started_at >= timeout_ms:
            self.step_failed(now, FailureReason.TIMEOUT)
        elif pending is not None and now - pending.received_at >= timeout_ms:
            self.step_failed(now, FailureReason.LAGGING)

    def _due_progress_request(self, now: float) -> list[WatchAction]:
        if now < self._next_progress_at:
            return []
        self._next_progress_at = now + self.parameters.response_timeout_ms / PROGRESS_REQUESTS_PER_TIMEOUT
        return [RequestProgress()]

    def receive_timeout_ms(self, now: float) -> float:
        """Return the time after which `due_actions` must be called, even if nothing was received."""
        timeout_ms = self.parameters.response_timeout_ms
        if self._request_started_at > NEVER:
            due_at = self._request_started_at + timeout_ms
        elif self._pending_confirmation is not None:
            due_at = min(self._pending_confirmation.received_at + timeout_ms, self._next_progress_at)
        else:
            due_at = self._next_confirmation_at
        return max(0.0, due_at - now)

    def confirmation_received(self, now: float, cluster_id: int, revision: int) -> None:
        """Handle the result of a confirming read: a committed revision, no older than the start of the read."""
        read_started_at = self._request_started_at
        self._request_started_at = NEVER
        self._next_confirmation_at = read_started_at + self.parameters.confirm_interval_ms
        if self.phase is not WatchPhase.WATCHING:
            return
        if cluster_id != self.cluster_id:
            self._restart_listing(FailureReason.CLUSTER_CHANGED)
        elif revision < self._revision_at_request:
            self._restart_listing(FailureReason.REVISION_REGRESSED)
        elif revision <= self.delivered_revision:
            self._record_confirmation(read_started_at)
        else:
            self._pending_confirmation = _PendingConfirmation(revision, read_started_at, now)
            self._next_progress_at = NEVER

    # Failures ------------------------------------------------------------------------------------

    def step_failed(self, now: float, reason: FailureReason) -> None:
        """Handle the failure of the current step: select the next member, and wait for its spread or backoff."""
        if reason is FailureReason.COMPACTED:
            self._restart_listing(reason)
            return
        self._reset_watch()
        self._count_failure(reason)
        self.members.record_failure(now)
        self.phase = WatchPhase.BACKOFF
        self._discard_listing()
        self._wait_until = self.members.select(now)

    def members_replaced(self, member_count: int, now: float, same_members: bool) -> None:
        """Switch to the members of a new configuration at once, without a backoff.

        Args:
            member_count: The number of members.
            now: The reading of the clock.
            same_members: Whether only the credentials changed, so that the local state can be resumed.
        """
        if not same_members:
            self._can_resume = False
            self.cluster_id = 0
            self.delivered_revision = 0
        self.members.replace_members(member_count)
        self._open_budget.fill()
        self._reset_watch()
        self.phase = WatchPhase.BACKOFF
        self._wait_until = now

    def age_ms(self, now: float) -> float:
        """Return the greatest age that the local state may have; practically infinite before the first listing."""
        return now - self.confirmed_at

    def _count_failure(self, reason: FailureReason) -> None:
        self._increment_count(reason.value)

    def _increment_count(self, name: str, amount: int = 1) -> None:
        self.event_counts[name] = self.event_counts.get(name, 0) + amount
