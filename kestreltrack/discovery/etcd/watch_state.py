"""How the keys of a prefix are followed: what to ask, of which member, when to leave it, what to tell.

Pure: clock readings, answers and faults go in; the next step and what to tell come out (`source.py` performs).
Times are milliseconds of one clock that only goes forward.

| phase | input | next | told |
| --- | --- | --- | --- |
| RESTING | due, picture whole | OPENING at the best member | |
| RESTING | due, no picture, or it cannot be continued | RANGING | |
| RANGING | a page, more to come | RANGING at the same revision | |
| RANGING | the last page | OPENING | the whole picture |
| RANGING | compacted, another cluster | RESTING, then RANGING from the beginning, same member | |
| OPENING | created | WATCHING | |
| OPENING, WATCHING | compacted, another cluster, a revision that went back | RESTING, then RANGING | |
| WATCHING | events that are complete | WATCHING | them, but for those already told |
| WATCHING | silence, lag, no leader, cancelled | RESTING, then another member | |
| any | the connection broke | RESTING, then another member | |

**Freshness.** An open connection proves nothing, and a progress answer proves only what that member knows.  So the
watch is confirmed again and again: a linearizable read through the same member gives a revision Q that the
cluster has agreed on, and the watch has to reach Q, by events or a progress answer, within `answer_ms`.  The
picture is as old as the last read that was confirmed so.

**Crowds.** Senders that lose a member together come back spread over `spread_ms`, each failure doubles the wait
with jitter, and openings draw on a budget (a token bucket), whatever the reason.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

NEVER = -1e18
INITIAL_BACKOFF_MS = 200.0  # of a member after its first failure; doubles with each
PROGRESS_REQUESTS_PER_TIMEOUT = 5  # a watch that is behind is asked so many times before it is left


class FailureReason(Enum):
    """Why a member was left, or the picture given up."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "silent"
    LAGGING = "lagging"
    NO_LEADER = "no_leader"
    INVALID_TOKEN = "token"
    DENIED = "denied"
    CANCELLED = "cancelled"
    COMPACTED = "compacted"
    REVISION_REGRESSED = "went_back"
    CLUSTER_CHANGED = "other_cluster"
    INVALID_RESPONSE = "bad_answer"


class WatchPhase(Enum):
    """Where the pursuit stands."""

    BACKOFF = "resting"
    LISTING = "ranging"
    OPENING = "opening"
    WATCHING = "watching"


@dataclass(frozen=True, slots=True)
class WatchParameters:
    """The operator's figures."""

    member_count: int
    page_size: int = 1000  # keys a page of the whole list
    confirm_interval_ms: float = 1000.0  # between confirmations
    response_timeout_ms: float = 1000.0  # for any answer, and for the watch to reach a confirmed revision
    reconnect_spread_ms: float = 200.0  # over which a crowd that lost a member comes back
    max_backoff_ms: float = 5000.0  # the longest rest of a member that fails
    open_burst: float = 6.0  # openings at once
    open_interval_ms: float = 1000.0  # and one more after each such time


# Steps -------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing for so long."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class ReadPage:
    """Read the keys behind `after` (all where empty) at a revision (0: the newest), linearizably."""

    member_index: int
    after_key: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class OpenWatch:
    """Watch from a revision on."""

    member_index: int
    start_revision: int


@dataclass(frozen=True, slots=True)
class ConfirmRevision:
    """Read the newest revision linearizably through the member that is watched."""

    member_index: int


@dataclass(frozen=True, slots=True)
class RequestProgress:
    """Ask the watch how far it is."""


@dataclass(frozen=True, slots=True)
class CloseWatch:
    """Close the watch."""


Step = Wait | ReadPage | OpenWatch
WatchAction = ConfirmRevision | RequestProgress | CloseWatch

# What came, and what is passed on -----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class KeyChange:
    """A key that was written, or deleted (no value)."""

    key: bytes
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class WatchResponse:
    """One response of a watch."""

    cluster_id: int
    revision: int
    created: bool = False
    cancelled: FailureReason | None = None
    fragment: bool = False
    changes: tuple[KeyChange, ...] = ()


@dataclass(frozen=True, slots=True)
class PrefixUpdate:
    """The whole picture at a revision, or the changes up to it in order, each revision complete."""

    revision: int
    complete: bool
    changes: tuple[KeyChange, ...]


@dataclass(slots=True)
class _MemberBackoff:
    consecutive_failures: int = 0
    retry_at: float = NEVER  # rests until then


class WatchStateMachine:
    """One follower of one prefix."""

    def __init__(self, parameters: WatchParameters, rng: random.Random) -> None:
        """Nothing is known yet; the first step is a read of all."""
        self.parameters, self.rng = parameters, rng
        self.phase, self.member_index = WatchPhase.BACKOFF, rng.randrange(parameters.member_count)
        self.member_backoffs = [_MemberBackoff() for _ in range(parameters.member_count)]
        self.cluster_id, self.delivered_revision = 0, 0  # the newest revision that was told completely
        self.confirmed_at = NEVER  # the picture was right then
        self.event_counts: dict[str, int] = {}
        self._can_resume = False  # the picture can be continued from `applied`
        self._wait_until, self._open_tokens, self._tokens_updated_at = NEVER, parameters.open_burst, NEVER
        self._listed_keys, self._list_revision, self._list_started_at = list[KeyChange](), 0, NEVER
        self._fragments = list[KeyChange]()  # of a response whose fragments are still coming
        self._request_started_at = NEVER  # begin of the confirmation that is out, or of the opening
        self._next_confirmation_at, self._revision_at_request = (
            NEVER,
            0,
        )  # next one; what was applied when it began
        self._pending_confirmation: tuple[int, float, float] | None = (
            None  # revision to reach, its read's begin, known since
        )
        self._next_progress_at = (
            NEVER  # the watch is asked how far it is, again and again while `_need` is open
        )

    # What next -----------------------------------------------------------------------------------

    def next_step(self, now: float) -> Step:
        """What to do now; called whenever the last step is over."""
        if self.phase is WatchPhase.BACKOFF:
            if now < self._wait_until:
                return Wait(self._wait_until - now)
            if (short := self._take_open_token(now)) > 0:
                return Wait(short)
            self.phase = WatchPhase.OPENING if self._can_resume else WatchPhase.LISTING
            self._listed_keys, self._list_revision = [], 0
        if self.phase is WatchPhase.LISTING:
            self._list_started_at = self._list_started_at if self._list_revision else now
            after = self._listed_keys[-1].key if self._listed_keys else b""
            return ReadPage(self.member_index, after, self._list_revision)
        self.phase, self._request_started_at, self._pending_confirmation = WatchPhase.OPENING, now, None
        self._fragments = []
        return OpenWatch(self.member_index, self.delivered_revision + 1)

    def _take_open_token(self, now: float) -> float:
        """Take one opening from the budget; returns how long to wait where there is none."""
        gained = (
            (now - self._tokens_updated_at) / self.parameters.open_interval_ms
            if self._tokens_updated_at > NEVER
            else 0.0
        )
        self._open_tokens, self._tokens_updated_at = (
            min(self.parameters.open_burst, self._open_tokens + gained),
            now,
        )
        if self._open_tokens < 1.0 - 1e-9:
            return max(1.0, (1.0 - self._open_tokens) * self.parameters.open_interval_ms)
        self._open_tokens -= 1.0
        return 0.0

    # The whole list ------------------------------------------------------------------------------

    def page_received(
        self, now: float, cluster_id: int, revision: int, keys: tuple[KeyChange, ...], more: bool
    ) -> PrefixUpdate | None:
        """A page came; `revision` is its header's.  Returns the whole picture after the last."""
        if not self._list_revision:
            self._list_revision = revision
            if self.cluster_id and cluster_id != self.cluster_id:
                self._count_failure(FailureReason.CLUSTER_CHANGED)
            elif revision < self.delivered_revision:
                self._count_failure(FailureReason.REVISION_REGRESSED)
            self.cluster_id = cluster_id
        elif cluster_id != self.cluster_id:
            self._restart_listing(FailureReason.CLUSTER_CHANGED)
            return None
        self._listed_keys.extend(keys)
        if more and keys:
            return None
        told = PrefixUpdate(self._list_revision, True, tuple(self._listed_keys))
        self.delivered_revision, self._can_resume, self._listed_keys = self._list_revision, True, []
        self.confirmed_at, self.phase = max(self.confirmed_at, self._list_started_at), WatchPhase.OPENING
        return told

    def _restart_listing(self, reason: FailureReason) -> None:
        """Read all once more at the same member, as soon as the budget lets: it is not at fault."""
        self._count_failure(reason)
        self._can_resume, self._fragments, self._pending_confirmation, self._request_started_at = (
            False,
            [],
            None,
            NEVER,
        )
        self.phase, self._wait_until = WatchPhase.BACKOFF, NEVER

    # The watch -----------------------------------------------------------------------------------

    def response_received(self, now: float, response: WatchResponse) -> PrefixUpdate | None:
        """A response of the watch came; returns what it tells."""
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
            # One that lags is not told by its revision: the store may have gone back.  The confirmation tells.
            self.phase, self._next_confirmation_at, self._request_started_at = WatchPhase.WATCHING, now, NEVER
            return None
        if response.changes or self._fragments:
            self._fragments.extend(response.changes)
            if response.fragment:
                return None  # a revision may end in the next one
            parts, self._fragments = self._fragments, []
            return self._deliver_new_changes(now, parts)
        self._advance_to(now, response.revision)
        return None

    def _deliver_new_changes(self, now: float, changes: list[KeyChange]) -> PrefixUpdate | None:
        fresh = tuple(change for change in changes if change.revision > self.delivered_revision)
        if len(fresh) < len(changes):
            self._increment_count("repeated", len(changes) - len(fresh))
        if not fresh:
            return None
        self._advance_to(now, max(change.revision for change in fresh))
        return PrefixUpdate(self.delivered_revision, False, fresh)

    def _advance_to(self, now: float, revision: int) -> None:
        self.delivered_revision = max(self.delivered_revision, revision)
        if self._pending_confirmation and self.delivered_revision >= self._pending_confirmation[0]:
            self._record_confirmation(self._pending_confirmation[1])

    def _record_confirmation(self, read_started_at: float) -> None:
        self.confirmed_at, self._pending_confirmation = max(self.confirmed_at, read_started_at), None
        self.member_backoffs[self.member_index].consecutive_failures = 0

    def due_actions(self, now: float) -> list[WatchAction]:
        """What to do beside listening; called when something came, or `patience` is over."""
        if (
            self._request_started_at > NEVER
            and now - self._request_started_at >= self.parameters.response_timeout_ms
        ):
            self.step_failed(now, FailureReason.TIMEOUT)
        elif (
            self._pending_confirmation
            and now - self._pending_confirmation[2] >= self.parameters.response_timeout_ms
        ):
            self.step_failed(now, FailureReason.LAGGING)
        if self.phase is WatchPhase.OPENING:
            return []
        if self.phase is not WatchPhase.WATCHING:
            return [CloseWatch()]
        if self._pending_confirmation:
            if now < self._next_progress_at:
                return []
            self._next_progress_at = now + self.parameters.response_timeout_ms / PROGRESS_REQUESTS_PER_TIMEOUT
            return [RequestProgress()]
        if self._request_started_at > NEVER or now < self._next_confirmation_at:
            return []
        self._request_started_at, self._revision_at_request = now, self.delivered_revision
        return [ConfirmRevision(self.member_index)]

    def listen_timeout_ms(self, now: float) -> float:
        """How long to listen before `tasks` is asked again, in milliseconds."""
        if self._request_started_at > NEVER:
            due = self._request_started_at + self.parameters.response_timeout_ms
        elif self._pending_confirmation:
            due = min(
                self._pending_confirmation[2] + self.parameters.response_timeout_ms, self._next_progress_at
            )
        else:
            due = self._next_confirmation_at
        return max(0.0, due - now)

    def confirmation_received(self, now: float, cluster_id: int, revision: int) -> None:
        """The confirming read came back: what the cluster had agreed on when it began, or later."""
        began, self._request_started_at = self._request_started_at, NEVER
        self._next_confirmation_at = began + self.parameters.confirm_interval_ms
        if self.phase is not WatchPhase.WATCHING:
            return
        if cluster_id != self.cluster_id:
            self._restart_listing(FailureReason.CLUSTER_CHANGED)
        elif revision < self._revision_at_request:
            self._restart_listing(FailureReason.REVISION_REGRESSED)
        elif revision <= self.delivered_revision:
            self._record_confirmation(began)
        else:
            self._pending_confirmation, self._next_progress_at = (revision, began, now), NEVER

    # Faults --------------------------------------------------------------------------------------

    def step_failed(self, now: float, reason: FailureReason) -> None:
        """The step that was under way failed: go to another member, or wait."""
        self._fragments, self._pending_confirmation, self._request_started_at = [], None, NEVER
        if reason is FailureReason.COMPACTED:
            return self._restart_listing(reason)
        self._count_failure(reason)
        at = self.member_backoffs[self.member_index]
        at.consecutive_failures += 1
        most = min(
            self.parameters.max_backoff_ms, INITIAL_BACKOFF_MS * 2.0 ** min(at.consecutive_failures - 1, 12)
        )
        at.retry_at = now + most * (0.5 + 0.5 * self.rng.random())
        self._choose_member(now)
        return None

    def members_replaced(self, member_count: int, now: float, same_members: bool) -> None:
        """The operator named other members, or gave new keys for the `same`: go there now, without a rest."""
        if not same_members:
            self._can_resume, self.cluster_id, self.delivered_revision = False, 0, 0
        self.member_backoffs, self.member_index = (
            [_MemberBackoff() for _ in range(member_count)],
            self.rng.randrange(member_count),
        )
        self._fragments, self._pending_confirmation, self._request_started_at, self._open_tokens = (
            [],
            None,
            NEVER,
            self.parameters.open_burst,
        )
        self.phase, self._wait_until = WatchPhase.BACKOFF, now

    def _choose_member(self, now: float) -> None:
        """The member that is free first; among those free now, one by lot."""
        free = [n for n, m in enumerate(self.member_backoffs) if m.retry_at <= now]
        self.phase, self._listed_keys, self._list_revision = WatchPhase.BACKOFF, [], 0
        if free:
            self.member_index = self.rng.choice(free)
            self._wait_until = now + self.rng.random() * self.parameters.reconnect_spread_ms
        else:
            self.member_index = min(
                range(len(self.member_backoffs)), key=lambda n: self.member_backoffs[n].retry_at
            )
            self._wait_until = self.member_backoffs[self.member_index].retry_at

    def age_ms(self, now: float) -> float:
        """How old the picture may be; endless before the first."""
        return now - self.confirmed_at

    def _count_failure(self, reason: FailureReason) -> None:
        self._increment_count(reason.value)

    def _increment_count(self, name: str, amount: int = 1) -> None:
        self.event_counts[name] = self.event_counts.get(name, 0) + amount
