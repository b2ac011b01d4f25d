"""The watch's state machine against a plain model of etcd's history.

Whatever is received in whatever order, the follower ends with the store's content and passes on each change exactly
once; each planted defect is detected.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import Phase as Stage
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from kestreltrack.discovery.etcd.errors import FailureReason
from kestreltrack.discovery.etcd.watch_state import WatchStateMachine
from kestreltrack.discovery.etcd.watch_types import (
    CloseWatch,
    ConfirmRevision,
    KeyChange,
    OpenWatch,
    PrefixUpdate,
    ReadPage,
    RequestProgress,
    Wait,
    WatchParameters,
    WatchPhase,
    WatchResponse,
)

KEYS = [b"a", b"b", b"c", b"d", b"e"]
MEMBER_COUNT = 3
PARAMETERS = WatchParameters(member_count=MEMBER_COUNT, page_size=2, open_interval_ms=200.0)


class Model(RuleBasedStateMachine):
    """A store with members that lag, streams that break and repeat, and one follower."""

    create_follower: Callable[[], WatchStateMachine] = staticmethod(
        lambda: WatchStateMachine(PARAMETERS, random.Random(3))
    )

    def __init__(self) -> None:
        super().__init__()
        self.follower = self.create_follower()
        self.now = 0.0
        # The store: its history, and what each member has of it.
        self.cluster_id = 1
        self.revision = 2
        self.compacted_revision = 0
        self.events = [KeyChange(key, b"0", 2) for key in KEYS]  # three pages
        self.member_revisions = [2] * MEMBER_COUNT
        self.lagging_members = set[int]()
        # What the follower has passed on.
        self.content = dict[bytes, bytes]()
        self.delivered_revision = 0
        # The open watch: its member and the next revision to send, responses on the way, and pending requests.
        self.watch: tuple[int, int] | None = None
        self.pending_responses = list[WatchResponse]()
        self.last_responses = list[WatchResponse]()
        self.confirmation_requested = False
        self.progress_requested = False

    # The store ---------------------------------------------------------------------------------

    def content_at(self, revision: int) -> dict[bytes, bytes]:
        content = dict[bytes, bytes]()
        for event in self.events:
            if event.revision <= revision:
                apply_change(content, event)
        return dict(sorted(content.items()))

    @rule(
        writes=st.dictionaries(st.sampled_from(KEYS), st.one_of(st.none(), st.binary(max_size=1)), max_size=3)
    )
    def write(self, writes: dict[bytes, bytes | None]) -> None:
        """Commit one transaction: one revision, also where it touches only keys outside the prefix."""
        self.revision += 1
        content = self.content_at(self.revision)
        for key, value in writes.items():
            if value is not None or key in content:
                self.events.append(KeyChange(key, value, self.revision))
        self.member_revisions = [
            revision if member in self.lagging_members else self.revision
            for member, revision in enumerate(self.member_revisions)
        ]

    @rule()
    def compact(self) -> None:
        self.compacted_revision = self.revision

    @rule(member=st.integers(0, MEMBER_COUNT - 1))
    def lag(self, member: int) -> None:
        self.lagging_members.add(member)

    @rule(member=st.integers(0, MEMBER_COUNT - 1))
    def catch_up(self, member: int) -> None:
        self.lagging_members.discard(member)
        self.member_revisions[member] = self.revision

    @rule(same_cluster=st.booleans(), lost_revisions=st.integers(0, 3))
    def restored_from_a_backup(self, same_cluster: bool, lost_revisions: int) -> None:
        self.cluster_id += not same_cluster
        self.revision = max(1, self.revision - lost_revisions - 1)
        self.compacted_revision = 0
        self.events = [event for event in self.events if event.revision <= self.revision]
        self.member_revisions = [self.revision] * MEMBER_COUNT
        self.lagging_members = set()
        self.connection_breaks()
        if same_cluster:
            # The history may not grow past the follower unnoticed: no field of the API would show it.
            self.heal_and_follow()

    # The follower's steps ------------------------------------------------------------------------

    def receive_update(self, update: PrefixUpdate | None) -> None:
        """Check what the follower passes on, and apply it."""
        if update is None:
            return
        if update.complete:
            self.content = {change.key: change.value or b"" for change in update.changes}
            assert self.content == self.content_at(update.revision), (
                "a complete update is the store's content"
            )
        else:
            due = [
                event for event in self.events if self.delivered_revision < event.revision <= update.revision
            ]
            assert list(update.changes) == due, "each change exactly once, in order, revisions complete"
            for change in update.changes:
                apply_change(self.content, change)
        self.delivered_revision = update.revision

    def watch_closed(self) -> None:
        self.watch = None
        self.pending_responses = []
        self.last_responses = []
        self.confirmation_requested = False
        self.progress_requested = False

    @rule()
    def connection_breaks(self) -> None:
        if self.watch:
            self.watch_closed()
            self.follower.step_failed(self.now, FailureReason.UNREACHABLE)

    @rule(fails=st.booleans())
    def step(self, fails: bool = False) -> None:
        if self.watch:
            return
        step = self.follower.next_step(self.now)
        if isinstance(step, Wait):
            assert step.delay_ms > 0
            self.now += step.delay_ms
        elif isinstance(step, OpenWatch):
            self.watch = (step.member_index, step.start_revision)
            member_revision = self.member_revisions[step.member_index]
            self.pending_responses = [WatchResponse(self.cluster_id, member_revision, created=True)]
        else:
            self.read_page(step, fails)

    def read_page(self, step: ReadPage, fails: bool) -> None:
        if fails or step.member_index in self.lagging_members:
            self.now += PARAMETERS.response_timeout_ms
            self.follower.step_failed(self.now, FailureReason.TIMEOUT)
        elif 0 < step.revision < self.compacted_revision:
            self.follower.step_failed(self.now, FailureReason.COMPACTED)
        elif step.revision > self.revision:
            self.follower.step_failed(self.now, FailureReason.INVALID_RESPONSE)
        else:
            content = self.content_at(step.revision or self.revision)
            remaining = [KeyChange(key, value, 0) for key, value in content.items() if key > step.after_key]
            page = tuple(remaining[: PARAMETERS.page_size])
            more = len(page) < len(remaining)
            self.receive_update(self.follower.page_received(self.cluster_id, self.revision, page, more))

    @rule(revision_count=st.integers(1, 4), fragmented=st.booleans())
    def member_sends(self, revision_count: int = 4, fragmented: bool = False) -> None:
        """Let the member put its next responses on the stream."""
        if not self.watch:
            return
        member, start = self.watch
        member_revision = self.member_revisions[member]
        if start < self.compacted_revision and start <= member_revision:
            self.pending_responses.append(
                WatchResponse(self.cluster_id, member_revision, cancelled=FailureReason.COMPACTED)
            )
            self.watch = (member, self.revision + 100)
            return
        end = min(member_revision, start + revision_count - 1)
        changes = [event for event in self.events if start <= event.revision <= end]
        if end >= start:
            self.watch = (member, end + 1)
        response = WatchResponse(self.cluster_id, member_revision, changes=tuple(changes))
        if changes and fragmented:
            self.pending_responses += [
                replace(response, changes=(change,), fragment=index < len(changes) - 1)
                for index, change in enumerate(changes)
            ]
        elif changes:
            self.pending_responses.append(response)
        elif self.progress_requested and start > member_revision:
            self.progress_requested = False
            self.pending_responses.append(WatchResponse(self.cluster_id, member_revision))

    @rule()
    def member_repeats(self) -> None:
        within_batch = any(response.fragment for response in self.pending_responses[:1])
        if self.last_responses and not self.last_responses[0].fragment and not within_batch:
            self.pending_responses[:0] = self.last_responses

    @rule()
    def response_arrives(self) -> None:
        if not self.pending_responses:
            return
        response = self.pending_responses.pop(0)
        repeatable = response.changes and not response.fragment and not self.follower._fragments
        self.last_responses = [response] if repeatable else []
        self.receive_update(self.follower.response_received(self.now, response))
        self.close_watch_that_was_left()

    @rule()
    def a_write_falls_between_two_pages(self) -> None:
        self.step(fails=False)
        self.write({KEYS[0]: b"5", KEYS[4]: b"6"})
        self.step(fails=False)

    @rule()
    def a_batch_comes_twice(self) -> None:
        self.write({key: b"7" for key in KEYS[:2]})
        self.member_sends(revision_count=4)
        while self.pending_responses:
            self.response_arrives()
        self.member_repeats()
        self.response_arrives()

    @rule(received_count=st.integers(1, 2))
    def a_batch_is_cut_in_the_middle(self, received_count: int) -> None:
        self.write({key: b"9" for key in KEYS[:3]})
        self.write({key: b"8" for key in KEYS[1:]})
        self.member_sends(revision_count=4, fragmented=True)
        for _ in range(received_count):
            self.response_arrives()
        self.connection_breaks()

    @rule(span_ms=st.sampled_from([1.0, 50.0, 400.0, 1100.0]))
    def time_passes(self, span_ms: float) -> None:
        self.now += span_ms
        if self.watch:
            for action in self.follower.due_actions(self.now):
                self.confirmation_requested |= isinstance(action, ConfirmRevision)
                self.progress_requested |= isinstance(action, RequestProgress)
                if isinstance(action, CloseWatch):
                    self.watch_closed()

    def close_watch_that_was_left(self) -> None:
        if self.watch and self.follower.phase not in (WatchPhase.OPENING, WatchPhase.WATCHING):
            self.watch_closed()

    @rule()
    def confirmation_arrives(self) -> None:
        if self.confirmation_requested and self.watch and self.watch[0] not in self.lagging_members:
            self.confirmation_requested = False
            self.follower.confirmation_received(self.now, self.cluster_id, self.revision)
            self.close_watch_that_was_left()

    # What must hold ------------------------------------------------------------------------------

    @invariant()
    def skipped_revisions_held_no_change(self) -> None:
        """A progress response may advance the revision only where no change in between was left out."""
        advanced_to = self.follower.delivered_revision
        same_history = self.follower._can_resume and self.cluster_id == self.follower.cluster_id
        if advanced_to > self.delivered_revision and same_history:
            if advanced_to <= self.revision:
                assert not [
                    event for event in self.events if self.delivered_revision < event.revision <= advanced_to
                ]
            self.delivered_revision = advanced_to

    def follows_confirmed(self) -> bool:
        return (
            self.follower.confirmed_at >= self.now - 500.0
            and self.follower.delivered_revision == self.revision
            and self.follower.phase is WatchPhase.WATCHING
        )

    def heal_and_follow(self) -> None:
        """Mend all faults; then the follower has the store's content, and its age is known."""
        for member in range(MEMBER_COUNT):
            self.catch_up(member)
        for _ in range(300):
            self.step(fails=False)
            self.member_sends()
            while self.pending_responses:
                self.response_arrives()
            self.time_passes(50.0)
            self.confirmation_arrives()
            if self.follows_confirmed():
                break
        assert self.content == self.content_at(self.revision)
        assert self.follower.delivered_revision == self.revision
        assert self.follower.age_ms(self.now) < 2000.0
        self.delivered_revision = self.revision

    def teardown(self) -> None:
        self.heal_and_follow()


def apply_change(content: dict[bytes, bytes], change: KeyChange) -> None:
    """Apply a change; a key that is written again moves to the end."""
    content.pop(change.key, None)
    if change.value is not None:
        content[change.key] = change.value


CI = settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[Stage.generate],
    suppress_health_check=list(HealthCheck),
)


def test_any_interleaving_ends_with_the_stores_content() -> None:
    run_state_machine_as_test(Model, settings=CI)


# Planted defects -----------------------------------------------------------------------------------


class IgnoresCompaction(WatchStateMachine):
    def response_received(self, now: float, response: WatchResponse) -> PrefixUpdate | None:
        if response.cancelled is FailureReason.COMPACTED:
            return None
        return super().response_received(now, response)


class SkipsARevision(WatchStateMachine):
    def next_step(self, now: float) -> Any:
        step = super().next_step(now)
        if isinstance(step, OpenWatch) and step.start_revision > 3:
            return replace(step, start_revision=step.start_revision + 1)
        return step


class DeliversRepeats(WatchStateMachine):
    def _deliver_new_changes(self, changes: list[KeyChange]) -> PrefixUpdate | None:
        self._advance_to(max(change.revision for change in changes))
        return PrefixUpdate(self.delivered_revision, False, tuple(changes))


class DeliversHalfARevision(WatchStateMachine):
    def response_received(self, now: float, response: WatchResponse) -> PrefixUpdate | None:
        return super().response_received(now, replace(response, fragment=False))


class KeepsFragmentsOfABrokenStream(WatchStateMachine):
    def step_failed(self, now: float, reason: FailureReason) -> None:
        fragments = self._fragments
        super().step_failed(now, reason)
        self._fragments = fragments

    def next_step(self, now: float) -> Any:
        fragments = self._fragments
        step = super().next_step(now)
        self._fragments = fragments
        return step


class AcceptsAnotherCluster(WatchStateMachine):
    def response_received(self, now: float, response: WatchResponse) -> PrefixUpdate | None:
        return super().response_received(now, replace(response, cluster_id=self.cluster_id))

    def confirmation_received(self, now: float, cluster_id: int, revision: int) -> None:
        super().confirmation_received(now, self.cluster_id, max(revision, self._revision_at_request))


class NeverConfirms(WatchStateMachine):
    def due_actions(self, now: float) -> list[Any]:
        if self.delivered_revision >= 0:
            return []
        return [action for action in super().due_actions(now) if not isinstance(action, ConfirmRevision)]


class ListsAtChangingRevisions(WatchStateMachine):
    def next_step(self, now: float) -> Any:
        step = super().next_step(now)
        return replace(step, revision=0) if isinstance(step, ReadPage) else step


DEFECTS = [
    IgnoresCompaction,
    SkipsARevision,
    DeliversRepeats,
    DeliversHalfARevision,
    KeepsFragmentsOfABrokenStream,
    AcceptsAnotherCluster,
    NeverConfirms,
    ListsAtChangingRevisions,
]


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda defect: defect.__name__)
def test_planted_defect_is_detected(defect: type[WatchStateMachine]) -> None:
    class ModelWithDefect(Model):
        create_follower = staticmethod(lambda: defect(PARAMETERS, random.Random(3)))

    with pytest.raises(AssertionError):
        run_state_machine_as_test(ModelWithDefect, settings=settings(CI, max_examples=1000))


# Reconnections: spread, budget, backoff --------------------------------------------------------------


def test_senders_that_lose_a_member_together_reconnect_spread_out() -> None:
    delays_ms = []
    for seed in range(300):
        follower = WatchStateMachine(replace(PARAMETERS, reconnect_spread_ms=200.0), random.Random(seed))
        follower.members.current = 0
        follower.step_failed(0.0, FailureReason.UNREACHABLE)
        step = follower.next_step(0.0)
        assert isinstance(step, Wait) and follower.members.current != 0, "another member, not this one"
        delays_ms.append(step.delay_ms)

    counts_by_tenth = [sum(20.0 * n <= delay < 20.0 * (n + 1) for delay in delays_ms) for n in range(10)]
    assert max(delays_ms) <= 200.0 and min(counts_by_tenth) > 0 and max(counts_by_tenth) < 60


def test_openings_stay_within_the_budget_whatever_fails() -> None:
    parameters = replace(PARAMETERS, open_burst=3.0, open_interval_ms=1000.0)
    follower = WatchStateMachine(parameters, random.Random(1))
    now = 0.0
    openings = 0
    while now < 60_000.0:
        step = follower.next_step(now)
        if isinstance(step, Wait):
            now += step.delay_ms
        else:
            openings += 1
            reason = FailureReason.COMPACTED if openings % 2 else FailureReason.UNREACHABLE
            follower.step_failed(now, reason)
    assert openings <= 3 + 61


def test_backoff_of_a_failing_member_grows_within_bounds() -> None:
    follower = WatchStateMachine(replace(PARAMETERS, member_count=1, open_burst=100.0), random.Random(1))
    backoffs_ms = list[float]()
    now = 0.0
    for _ in range(12):
        follower.step_failed(now, FailureReason.UNREACHABLE)
        retry_at = follower.members.backoffs[0].retry_at
        backoffs_ms.append(retry_at - now)
        now = retry_at
    assert 100.0 <= backoffs_ms[0] <= 200.0 and 2500.0 <= backoffs_ms[-1] <= 5000.0
    assert backoffs_ms[3] > backoffs_ms[0]
